package membership

import (
	"net"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/membership/memberpb"
)

// maxSlots and maxTTL bound what a datagram may state.
const (
	maxSlots = 1 << 20
	maxTTL   = 24 * time.Hour
)

// Decode returns the message in a datagram. A datagram that refers to a string
// that it lacks, or states an impossible value, is refused whole.
func Decode(data []byte) (gossip.Message, error) {
	var d memberpb.Datagram
	if err := proto.Unmarshal(data, &d); err != nil {
		return gossip.Message{}, errDatagram.Wrap(err, "decode")
	}
	dec := decoder{strings: d.Strings}
	m := gossip.Message{
		From: gossip.Sender{
			Host:    dec.text(d.Host),
			Zone:    dec.text(d.Zone),
			Address: dec.address(d.Address),
		},
		Revision: d.Revision,
		Body:     dec.body(&d),
	}
	for _, r := range d.Records {
		m.Records = append(m.Records, dec.record(r))
	}
	for _, c := range d.Claims {
		m.Claims = append(m.Claims, dec.claim(c))
	}
	for _, n := range d.Notices {
		m.Updates = append(m.Updates, dec.notice(n))
	}
	dec.require(m.From.Host != "" && m.From.Zone != "" && m.From.Address != "", "a sender")
	if dec.missing != "" {
		return gossip.Message{}, errDatagram.New("decode: no %s", dec.missing)
	}
	return m, nil
}

// decoder resolves strings and notes the first thing that is missing.
type decoder struct {
	strings []string
	missing string
}

func (d *decoder) require(ok bool, what string) {
	if !ok && d.missing == "" {
		d.missing = what
	}
}

func (d *decoder) text(index uint32) string {
	if int64(index) >= int64(len(d.strings)) {
		d.require(false, "such string")
		return ""
	}
	return d.strings[index]
}

func (d *decoder) name(index uint32, what string) string {
	name := d.text(index)
	d.require(name != "", what)
	return name
}

func (d *decoder) address(a *memberpb.Address) string {
	if a == nil {
		d.require(false, "address")
		return ""
	}
	d.require(a.Port <= 65535, "port below 65536")
	if a.Port == 0 {
		return d.text(a.Ip)
	}
	return net.JoinHostPort(d.text(a.Ip), strconv.Itoa(int(a.Port)))
}

func (d *decoder) body(datagram *memberpb.Datagram) gossip.Body {
	switch body := datagram.Body.(type) {
	case *memberpb.Datagram_Probe:
		return gossip.Probe{Number: body.Probe.GetNumber(), Target: d.text(body.Probe.GetTarget())}
	case *memberpb.Datagram_Ack:
		return gossip.Ack{Number: body.Ack.GetNumber(), Target: d.text(body.Ack.GetTarget())}
	case *memberpb.Datagram_ProbeRequest:
		request := body.ProbeRequest
		return gossip.ProbeRequest{
			Number:  request.GetNumber(),
			Target:  d.text(request.GetTarget()),
			Address: d.address(request.GetAddress()),
		}
	case *memberpb.Datagram_Root:
		return gossip.RootHashes{Records: body.Root.GetRecords(), Updates: body.Root.GetNotices()}
	case *memberpb.Datagram_Buckets:
		return gossip.BucketHashes{Hashes: body.Buckets.GetHashes()}
	case *memberpb.Datagram_Listing:
		return gossip.RecordHashes{Buckets: body.Listing.GetBuckets(), Hashes: body.Listing.GetHashes()}
	case *memberpb.Datagram_Wanted:
		return gossip.RecordRequest{Hashes: body.Wanted.GetHashes()}
	case *memberpb.Datagram_Supply:
		return gossip.Delta{}
	case *memberpb.Datagram_DoubtsRequest:
		return gossip.SuspicionsRequest{}
	case *memberpb.Datagram_Doubts:
		return gossip.Suspicions{Keys: body.Doubts.GetKeys()}
	}
	return nil
}

func (d *decoder) record(r *memberpb.Record) gossip.Record {
	out := gossip.Record{
		Host:          d.name(r.GetHost(), "host"),
		Zone:          d.name(r.GetZone(), "zone"),
		Region:        d.text(r.GetRegion()),
		Incarnation:   r.GetIncarnation(),
		Sequence:      r.GetSequence(),
		PeerAddress:   d.address(r.GetPeer()),
		GossipAddress: d.address(r.GetGossip()),
		AdminAddress:  d.address(r.GetAdmin()),
		Leaving:       r.GetLeaving(),
	}
	d.require(out.GossipAddress != "", "gossip address")
	for _, t := range r.GetTargets() {
		out.Targets = append(out.Targets, d.target(t))
	}
	return out
}

func (d *decoder) target(t *memberpb.Target) gossip.Target {
	d.require(t.GetSlots() <= maxSlots, "possible number of slots")
	return gossip.Target{
		Service: d.name(t.GetService(), "service"),
		Version: d.name(t.GetVersion(), "version"),
		Slots:   int(t.GetSlots()),
		State:   d.state(t.GetState()),
	}
}

func (d *decoder) state(state memberpb.TargetState) gossip.TargetState {
	switch state {
	case memberpb.TargetState_TARGET_STATE_COLD:
		return gossip.TargetCold
	case memberpb.TargetState_TARGET_STATE_READY:
		return gossip.TargetReady
	case memberpb.TargetState_TARGET_STATE_LEAVING:
		return gossip.TargetLeaving
	}
	d.require(false, "known target state")
	return ""
}

func (d *decoder) claim(c *memberpb.Claim) gossip.Claim {
	return gossip.Claim{
		Host:        d.name(c.GetHost(), "host"),
		Incarnation: c.GetIncarnation(),
		Sequence:    c.GetSequence(),
		Dead:        c.GetDead(),
	}
}

func (d *decoder) notice(n *memberpb.Notice) gossip.Update {
	d.require(n.GetTtlMs() <= uint64(maxTTL/time.Millisecond), "possible TTL")
	out := gossip.Update{
		Host: d.name(n.GetHost(), "host"),
		TTL:  time.Duration(n.GetTtlMs()) * time.Millisecond,
	}
	switch statement := n.GetStatement().(type) {
	case *memberpb.Notice_Crash:
		out.Crash = &gossip.Crash{
			Fingerprint: statement.Crash.GetFingerprint(),
			Number:      statement.Crash.GetNumber(),
		}
	case *memberpb.Notice_Trip:
		out.Halt = &gossip.Halt{
			Service: d.text(statement.Trip.GetService()),
			Version: d.text(statement.Trip.GetVersion()),
			Ticket:  statement.Trip.GetTicket(),
		}
	case *memberpb.Notice_Unreachable:
		out.Unreachable = &gossip.Unreachable{Zone: d.text(statement.Unreachable.GetZone())}
	default:
		d.require(false, "known statement")
	}
	return out
}
