package membership

import (
	"net"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/membership/memberpb"
)

// Encode returns the datagram for a message.
func Encode(m *gossip.Message) ([]byte, error) {
	e := encoder{indexes: make(map[string]uint32), datagram: &memberpb.Datagram{}}
	d := e.datagram
	d.Host = e.text(m.From.Host)
	d.Zone = e.text(m.From.Zone)
	d.Address = e.address(m.From.Address)
	d.Revision = m.Revision
	e.body(m.Body)
	for i := range m.Records {
		d.Records = append(d.Records, e.record(&m.Records[i]))
	}
	for i := range m.Claims {
		d.Claims = append(d.Claims, e.claim(&m.Claims[i]))
	}
	for i := range m.Updates {
		d.Notices = append(d.Notices, e.notice(&m.Updates[i]))
	}
	data, err := proto.Marshal(d)
	if err != nil {
		return nil, errDatagram.Wrap(err, "encode for %s", m.From.Host)
	}
	return data, nil
}

// encoder gathers the distinct strings of a datagram.
type encoder struct {
	indexes  map[string]uint32
	datagram *memberpb.Datagram
}

func (e *encoder) text(text string) uint32 {
	if index, ok := e.indexes[text]; ok {
		return index
	}
	index := uint32(len(e.datagram.Strings))
	e.indexes[text] = index
	e.datagram.Strings = append(e.datagram.Strings, text)
	return index
}

// address splits "ip:port". Anything else travels whole, with port 0.
func (e *encoder) address(address string) *memberpb.Address {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return &memberpb.Address{Ip: e.text(address)}
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 {
		return &memberpb.Address{Ip: e.text(address)}
	}
	return &memberpb.Address{Ip: e.text(host), Port: uint32(number)}
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
			Target:  e.text(body.Target),
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
	return &memberpb.Probe{Number: number, Target: e.text(target)}
}

func (e *encoder) record(r *gossip.Record) *memberpb.Record {
	out := &memberpb.Record{
		Host:        e.text(r.Host),
		Zone:        e.text(r.Zone),
		Region:      e.text(r.Region),
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
		Service: e.text(t.Service),
		Version: e.text(t.Version),
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
		Host:        e.text(c.Host),
		Incarnation: c.Incarnation,
		Sequence:    c.Sequence,
		Dead:        c.Dead,
	}
}

func (e *encoder) notice(n *gossip.Update) *memberpb.Notice {
	out := &memberpb.Notice{Host: e.text(n.Host), TtlMs: uint64(n.TTL / time.Millisecond)}
	switch {
	case n.Crash != nil:
		out.Statement = &memberpb.Notice_Crash{Crash: &memberpb.Crash{
			Fingerprint: n.Crash.Fingerprint,
			Number:      n.Crash.Number,
		}}
	case n.Halt != nil:
		out.Statement = &memberpb.Notice_Trip{Trip: &memberpb.Trip{
			Service: e.text(n.Halt.Service),
			Version: e.text(n.Halt.Version),
			Ticket:  n.Halt.Ticket,
		}}
	case n.Unreachable != nil:
		out.Statement = &memberpb.Notice_Unreachable{
			Unreachable: &memberpb.Unreachable{Zone: e.text(n.Unreachable.Zone)},
		}
	}
	return out
}
