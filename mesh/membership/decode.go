package membership

import (
	"net"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/membership/memberpb"
)

// maxTTL is the longest TTL accepted in a datagram.
const (
	maxTTL = 24 * time.Hour
)

// Decode returns the message in a datagram. A datagram with a string index outside its table,
// without a required field or with a value out of range is refused whole; the error names the first
// fault.
func Decode(data []byte) (gossip.Message, error) {
	var d memberpb.Datagram
	if err := proto.Unmarshal(data, &d); err != nil {
		return gossip.Message{}, errDatagram.Wrap(err, "decode")
	}
	dec := decoder{strings: d.Strings}
	m := gossip.Message{
		From: gossip.Sender{
			Host:    dec.stringAt(d.Host),
			Zone:    dec.stringAt(d.Zone),
			Address: dec.address(d.Address),
		},
		Revisions: gossip.Revisions{Latest: d.Revision, Configuration: d.Configuration, Rollouts: d.Rollouts},
		Body:      dec.body(&d),
	}
	for _, r := range d.Records {
		m.Records = append(m.Records, dec.record(r))
	}
	for _, c := range d.Claims {
		m.Claims = append(m.Claims, dec.claim(c))
	}
	for _, n := range d.Notices {
		m.Updates = append(m.Updates, dec.update(n))
	}
	dec.require(m.From.Host != "" && m.From.Zone != "" && m.From.Address != "", "sender (host, zone and address are required)")
	if dec.invalid != "" {
		return gossip.Message{}, errDatagram.New("decode: missing or invalid %s", dec.invalid)
	}
	return m, nil
}

// decoder resolves string indexes and records the first part that is missing or invalid.
type decoder struct {
	strings []string
	invalid string
}

// require records what as missing or invalid unless ok is set or another fault was recorded before.
func (d *decoder) require(ok bool, what string) {
	if !ok && d.invalid == "" {
		d.invalid = what
	}
}

// stringAt returns the string at an index of the table.
func (d *decoder) stringAt(index uint32) string {
	if int64(index) >= int64(len(d.strings)) {
		d.require(false, "string index")
		return ""
	}
	return d.strings[index]
}

// requiredString returns the string at the index, which must not be empty.
func (d *decoder) requiredString(index uint32, what string) string {
	text := d.stringAt(index)
	d.require(text != "", what)
	return text
}

// address joins IP and port. With port 0, the IP holds the whole address.
func (d *decoder) address(a *memberpb.Address) string {
	if a == nil {
		d.require(false, "address")
		return ""
	}
	d.require(a.Port <= 65535, "port (at most 65535)")
	if a.Port == 0 {
		return d.stringAt(a.Ip)
	}
	return net.JoinHostPort(d.stringAt(a.Ip), strconv.Itoa(int(a.Port)))
}

// body returns nil for a datagram without a body or with one of an unknown kind.
func (d *decoder) body(datagram *memberpb.Datagram) gossip.Body {
	switch body := datagram.Body.(type) {
	case *memberpb.Datagram_Probe:
		return gossip.Probe{Number: body.Probe.GetNumber(), Target: d.stringAt(body.Probe.GetTarget())}
	case *memberpb.Datagram_Ack:
		return gossip.Ack{Number: body.Ack.GetNumber(), Target: d.stringAt(body.Ack.GetTarget())}
	case *memberpb.Datagram_ProbeRequest:
		request := body.ProbeRequest
		return gossip.ProbeRequest{
			Number:  request.GetNumber(),
			Target:  d.stringAt(request.GetTarget()),
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
		Host:          d.requiredString(r.GetHost(), "host"),
		Zone:          d.requiredString(r.GetZone(), "zone"),
		Region:        d.stringAt(r.GetRegion()),
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
	d.require(t.GetSlots() <= gossip.MaxSlots, "number of slots (at most 1048576)")
	return gossip.Target{
		Service: d.requiredString(t.GetService(), "service"),
		Version: d.requiredString(t.GetVersion(), "version"),
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
	d.require(false, "target state")
	return ""
}

func (d *decoder) claim(c *memberpb.Claim) gossip.Claim {
	return gossip.Claim{
		Host:        d.requiredString(c.GetHost(), "host"),
		Incarnation: c.GetIncarnation(),
		Sequence:    c.GetSequence(),
		Dead:        c.GetDead(),
	}
}

func (d *decoder) update(n *memberpb.Notice) gossip.Update {
	d.require(n.GetTtlMs() <= uint64(maxTTL/time.Millisecond), "TTL (at most 24h)")
	out := gossip.Update{
		Host: d.requiredString(n.GetHost(), "host"),
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
			Service: d.stringAt(statement.Trip.GetService()),
			Version: d.stringAt(statement.Trip.GetVersion()),
			Ticket:  statement.Trip.GetTicket(),
		}
	case *memberpb.Notice_Unreachable:
		out.Unreachable = &gossip.Unreachable{Zone: d.stringAt(statement.Unreachable.GetZone())}
	default:
		d.require(false, "statement of an update")
	}
	return out
}
