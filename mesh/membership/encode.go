package membership

import (
	"net"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/membership/memberpb"
)

// Encode returns the datagram for a message: a memberpb.Datagram whose host names, addresses and
// other strings are indexes into one table, so that each distinct string is sent once.
func Encode(m *gossip.Message) ([]byte, error) {
	e := encoder{indexes: make(map[string]uint32), datagram: &memberpb.Datagram{}}
	d := e.datagram
	d.Host = e.stringIndex(m.From.Host)
	d.Zone = e.stringIndex(m.From.Zone)
	d.Address = e.address(m.From.Address)
	d.Revision = m.Revisions.Latest
	d.Configuration = m.Revisions.Configuration
	d.Rollouts = m.Revisions.Rollouts
	e.body(m.Body)
	for i := range m.Records {
		d.Records = append(d.Records, e.record(&m.Records[i]))
	}
	for i := range m.Claims {
		d.Claims = append(d.Claims, e.claim(&m.Claims[i]))
	}
	for i := range m.Updates {
		d.Notices = append(d.Notices, e.update(&m.Updates[i]))
	}
	data, err := proto.Marshal(d)
	if err != nil {
		return nil, errDatagram.Wrap(err, "encode for %s", m.From.Host)
	}
	return data, nil
}

// encoder builds a datagram with its table of distinct strings.
type encoder struct {
	indexes  map[string]uint32
	datagram *memberpb.Datagram
}

// stringIndex returns the index of text in the table and adds it if it is absent.
func (e *encoder) stringIndex(text string) uint32 {
	if index, ok := e.indexes[text]; ok {
		return index
	}
	index := uint32(len(e.datagram.Strings))
	e.indexes[text] = index
	e.datagram.Strings = append(e.datagram.Strings, text)
	return index
}

// address splits "ip:port". Any other address is sent whole as the IP, with port 0.
func (e *encoder) address(address string) *memberpb.Address {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return &memberpb.Address{Ip: e.stringIndex(address)}
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil || portNumber == 0 {
		return &memberpb.Address{Ip: e.stringIndex(address)}
	}
	return &memberpb.Address{Ip: e.stringIndex(host), Port: uint32(portNumber)}
}

func (e *encoder) body(b gossip.Body) {
	d := e.datagram
	switch body := b.(type) {
	case gossip.Probe:
		d.Body = &memberpb.Datagram_Probe{Probe: e.probe(body.Number, body.Target)}
	case gossip.Ack:
		d.Body = &memberpb.Datagram_Ack{Ack: e.probe(body.Number, body.Target)}
	case gossip.ProbeRequest:
		d.Body = &memberpb.Datagram_ProbeRequest{ProbeRequest: &memberpb.ProbeRequest{
			Number:  body.Number,
			Target:  e.stringIndex(body.Target),
			Address: e.address(body.Address),
		}}
	case gossip.RootHashes:
		d.Body = &memberpb.Datagram_Root{Root: &memberpb.Root{Records: body.Records, Notices: body.Updates}}
	case gossip.BucketHashes:
		d.Body = &memberpb.Datagram_Buckets{Buckets: &memberpb.Buckets{Hashes: body.Hashes}}
	case gossip.RecordHashes:
		d.Body = &memberpb.Datagram_Listing{Listing: &memberpb.Listing{Buckets: body.Buckets, Hashes: body.Hashes}}
	case gossip.RecordRequest:
		d.Body = &memberpb.Datagram_Wanted{Wanted: &memberpb.Wanted{Hashes: body.Hashes}}
	case gossip.Delta:
		d.Body = &memberpb.Datagram_Supply{Supply: &memberpb.Supply{}}
	case gossip.SuspicionsRequest:
		d.Body = &memberpb.Datagram_DoubtsRequest{DoubtsRequest: &memberpb.DoubtsRequest{}}
	case gossip.Suspicions:
		d.Body = &memberpb.Datagram_Doubts{Doubts: &memberpb.Doubts{Keys: body.Keys}}
	}
}

func (e *encoder) probe(number uint64, target string) *memberpb.Probe {
	return &memberpb.Probe{Number: number, Target: e.stringIndex(target)}
}

func (e *encoder) record(r *gossip.Record) *memberpb.Record {
	out := &memberpb.Record{
		Host:        e.stringIndex(r.Host),
		Zone:        e.stringIndex(r.Zone),
		Region:      e.stringIndex(r.Region),
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Peer:        e.address(r.PeerAddress),
		Gossip:      e.address(r.GossipAddress),
		Admin:       e.address(r.AdminAddress),
		Leaving:     r.Leaving,
	}
	for i := range r.Targets {
		out.Targets = append(out.Targets, e.target(&r.Targets[i]))
	}
	return out
}

func (e *encoder) target(t *gossip.Target) *memberpb.Target {
	return &memberpb.Target{
		Service: e.stringIndex(t.Service),
		Version: e.stringIndex(t.Version),
		Slots:   uint32(max(t.Slots, 0)),
		State:   encodeState(t.State),
	}
}

func encodeState(state gossip.TargetState) memberpb.TargetState {
	switch state {
	case gossip.TargetCold:
		return memberpb.TargetState_TARGET_STATE_COLD
	case gossip.TargetReady:
		return memberpb.TargetState_TARGET_STATE_READY
	case gossip.TargetLeaving:
		return memberpb.TargetState_TARGET_STATE_LEAVING
	}
	return memberpb.TargetState_TARGET_STATE_UNSPECIFIED
}

func (e *encoder) claim(c *gossip.Claim) *memberpb.Claim {
	return &memberpb.Claim{
		Host:        e.stringIndex(c.Host),
		Incarnation: c.Incarnation,
		Sequence:    c.Sequence,
		Dead:        c.Dead,
	}
}

func (e *encoder) update(u *gossip.Update) *memberpb.Notice {
	out := &memberpb.Notice{Host: e.stringIndex(u.Host), TtlMs: uint64(u.TTL / time.Millisecond)}
	switch {
	case u.Crash != nil:
		out.Statement = &memberpb.Notice_Crash{Crash: &memberpb.Crash{
			Fingerprint: u.Crash.Fingerprint,
			Number:      u.Crash.Number,
		}}
	case u.Halt != nil:
		out.Statement = &memberpb.Notice_Trip{Trip: &memberpb.Trip{
			Service: e.stringIndex(u.Halt.Service),
			Version: e.stringIndex(u.Halt.Version),
			Ticket:  u.Halt.Ticket,
		}}
	case u.Unreachable != nil:
		out.Statement = &memberpb.Notice_Unreachable{
			Unreachable: &memberpb.Unreachable{Zone: e.stringIndex(u.Unreachable.Zone)},
		}
	}
	return out
}
