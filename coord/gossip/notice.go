package gossip

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// noticeID identifies a notice: the same statement by the same host.
type noticeID struct {
	host  string
	crash Crash
	trip  Halt
	zone  string
}

func (n *Update) id() noticeID {
	id := noticeID{host: n.Host}
	if n.Crash != nil {
		id.crash = *n.Crash
	}
	if n.Halt != nil {
		id.trip = *n.Halt
	}
	if n.Unreachable != nil {
		id.zone = n.Unreachable.Zone
	}
	return id
}

// valid reports whether exactly one statement is set and the TTL is positive.
func (n *Update) valid() bool {
	statements := 0
	for _, set := range []bool{n.Crash != nil, n.Halt != nil, n.Unreachable != nil} {
		if set {
			statements++
		}
	}
	return statements == 1 && n.TTL > 0
}

// hash identifies a notice in the hash of all. Reports of unreachable zones
// are renewed often and take no part.
func (n *Update) hash() uint64 {
	if n.Unreachable != nil {
		return 0
	}
	digest := xxhash.New()
	for _, text := range []string{n.Host, n.tripService(), n.tripVersion()} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	hash := digest.Sum64()
	if n.Crash != nil {
		hash ^= n.Crash.hash()
	}
	if n.Halt != nil {
		hash ^= n.Halt.Ticket + 1
	}
	return hash
}

// hash mixes both numbers, so that several crashes of a host do not cancel out.
func (c *Crash) hash() uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], c.Fingerprint)
	binary.LittleEndian.PutUint64(bytes[8:], c.Number)
	return xxhash.Sum64(bytes[:])
}

func (n *Update) tripService() string {
	if n.Halt == nil {
		return ""
	}
	return n.Halt.Service
}

func (n *Update) tripVersion() string {
	if n.Halt == nil {
		return ""
	}
	return n.Halt.Version
}

// heldNotice is a notice with the time at which it expires here.
type heldNotice struct {
	notice  Update
	expires time.Time
}

// notices is a bounded store, ordered by arrival.
type notices struct {
	held  []heldNotice
	limit int
}

func (s *notices) find(id noticeID) int {
	return slices.IndexFunc(s.held, func(h heldNotice) bool { return h.notice.id() == id })
}

// add stores a notice and reports whether it is new, and whether it is worth
// spreading: a renewal that extends the stored one by a quarter of its TTL is.
func (s *notices) add(n Update, now time.Time) (fresh, spread bool) {
	expires := now.Add(n.TTL)
	if at := s.find(n.id()); at >= 0 {
		held := &s.held[at]
		if expires.Sub(held.expires) < n.TTL/4 {
			return false, false
		}
		held.notice, held.expires = n, expires
		return false, true
	}
	if len(s.held) >= s.limit {
		s.evict()
	}
	s.held = append(s.held, heldNotice{notice: n, expires: expires})
	return true, true
}

// evict removes the oldest notice, a trip only if there is nothing else: a host
// that returns must not send to a version that tripped.
func (s *notices) evict() {
	at := slices.IndexFunc(s.held, func(h heldNotice) bool { return h.notice.Halt == nil })
	at = max(at, 0)
	s.held = slices.Delete(s.held, at, at+1)
}

// expire removes the notices whose time has passed.
func (s *notices) expire(now time.Time) {
	s.held = slices.DeleteFunc(s.held, func(h heldNotice) bool { return !h.expires.After(now) })
}

// get returns a notice with the TTL that is left, or false.
func (s *notices) get(id noticeID, now time.Time) (Update, bool) {
	at := s.find(id)
	if at < 0 {
		return Update{}, false
	}
	return s.held[at].at(now)
}

func (h *heldNotice) at(now time.Time) (Update, bool) {
	n := h.notice
	n.TTL = h.expires.Sub(now)
	return n, n.TTL > 0
}

// all returns the notices that hold, with the TTL that is left.
func (s *notices) all(now time.Time) []Update {
	var all []Update
	for i := range s.held {
		if n, ok := s.held[i].at(now); ok {
			all = append(all, n)
		}
	}
	return all
}

// root hashes all notices.
func (s *notices) root() uint64 {
	var root uint64
	for i := range s.held {
		root ^= s.held[i].notice.hash()
	}
	return root
}
