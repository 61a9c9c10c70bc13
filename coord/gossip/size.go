package gossip

import "strings"

// Upper bounds, in bytes, of the encoded parts of a message without the characters of their strings
// and, for a body, without its hashes. Each distinct string is encoded once per message, with the
// overhead stringSize, and referred to by its index.
const (
	headerSize = 40
	// partsSize is that of the revisions of the parts of the configuration.
	partsSize  = 24
	stringSize = 3
	recordSize = 56
	targetSize = 18
	claimSize  = 28
	updateSize = 40
	bodySize   = 24
	hashSize   = 4
)

// sizer sums an upper bound of the encoded size of a message.
type sizer struct {
	counted map[string]struct{}
	// countedBefore are strings that another sizer has already counted.
	countedBefore map[string]struct{}
	total         int
}

func newSizer() *sizer { return &sizer{counted: make(map[string]struct{}), total: headerSize} }

// Size returns an upper bound of the encoded size, in bytes.
func (m *Message) Size() int { return sizeOf(m).total }

func sizeOf(m *Message) *sizer {
	s := newSizer()
	s.text(m.From.Host)
	s.text(m.From.Zone)
	s.address(m.From.Address)
	if m.Revisions.Rollouts != 0 {
		s.total += partsSize
	}
	s.body(m.Body)
	s.parts(m)
	return s
}

// parts adds the rumours of a message.
func (s *sizer) parts(m *Message) {
	for i := range m.Records {
		s.record(&m.Records[i])
	}
	for i := range m.Claims {
		s.claim(&m.Claims[i])
	}
	for i := range m.Updates {
		s.update(&m.Updates[i])
	}
}

// cost returns the bytes that the rumours of a message would add.
func (s *sizer) cost(m *Message) int {
	trial := &sizer{counted: make(map[string]struct{}), countedBefore: s.counted}
	trial.parts(m)
	return trial.total
}

func (s *sizer) text(text string) {
	if _, ok := s.countedBefore[text]; ok {
		return
	}
	if _, ok := s.counted[text]; ok {
		return
	}
	s.counted[text] = struct{}{}
	s.total += stringSize + len(text)
}

// address counts the host part of an address; a port needs no string.
func (s *sizer) address(address string) {
	host := address
	if colon := strings.LastIndexByte(address, ':'); colon >= 0 {
		host = address[:colon]
	}
	s.text(host)
}

func (s *sizer) record(r *Record) {
	s.total += recordSize
	s.text(r.Host)
	s.text(r.Zone)
	s.text(r.Region)
	s.address(r.PeerAddress)
	s.address(r.GossipAddress)
	s.address(r.AdminAddress)
	for i := range r.Targets {
		s.total += targetSize
		s.text(r.Targets[i].Service)
		s.text(r.Targets[i].Version)
	}
}

func (s *sizer) claim(c *Claim) {
	s.total += claimSize
	s.text(c.Host)
}

func (s *sizer) update(u *Update) {
	s.total += updateSize
	s.text(u.Host)
	if u.Halt != nil {
		s.text(u.Halt.Service)
		s.text(u.Halt.Version)
	}
	if u.Unreachable != nil {
		s.text(u.Unreachable.Zone)
	}
}

func (s *sizer) body(b Body) {
	s.total += bodySize
	switch body := b.(type) {
	case Probe:
		s.text(body.Target)
	case Ack:
		s.text(body.Target)
	case ProbeRequest:
		s.text(body.Target)
		s.address(body.Address)
	case BucketHashes:
		s.total += hashSize * len(body.Hashes)
	case RecordHashes:
		s.total += hashSize * (len(body.Buckets) + len(body.Hashes))
	case RecordRequest:
		s.total += hashSize * len(body.Hashes)
	case Suspicions:
		s.total += hashSize * len(body.Keys)
	}
}
