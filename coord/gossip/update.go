package gossip

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// updateID identifies an update: the same statement by the same host.
type updateID struct {
	host  string
	crash Crash
	halt  Halt
	zone  string
}

func (u *Update) id() updateID {
	id := updateID{host: u.Host}
	if u.Crash != nil {
		id.crash = *u.Crash
	}
	if u.Halt != nil {
		id.halt = *u.Halt
	}
	if u.Unreachable != nil {
		id.zone = u.Unreachable.Zone
	}
	return id
}

// valid reports whether exactly one statement is set and the TTL is positive.
func (u *Update) valid() bool {
	statements := 0
	for _, set := range []bool{u.Crash != nil, u.Halt != nil, u.Unreachable != nil} {
		if set {
			statements++
		}
	}
	return statements == 1 && u.TTL > 0
}

// hash returns the update's part of the hash of all updates. Reports of unreachable zones are
// renewed often, so their part is 0.
func (u *Update) hash() uint64 {
	if u.Unreachable != nil {
		return 0
	}
	digest := xxhash.New()
	for _, part := range []string{u.Host, u.haltService(), u.haltVersion()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	hash := digest.Sum64()
	if u.Crash != nil {
		hash ^= u.Crash.hash()
	}
	if u.Halt != nil {
		hash ^= u.Halt.Ticket + 1
	}
	return hash
}

// hash mixes both numbers. Combined by XOR alone, the hashes of several crashes of a host could
// cancel each other out.
func (c *Crash) hash() uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], c.Fingerprint)
	binary.LittleEndian.PutUint64(data[8:], c.Number)
	return xxhash.Sum64(data[:])
}

func (u *Update) haltService() string {
	if u.Halt == nil {
		return ""
	}
	return u.Halt.Service
}

func (u *Update) haltVersion() string {
	if u.Halt == nil {
		return ""
	}
	return u.Halt.Version
}

// storedUpdate is an update with the time at which it expires on this host's clock.
type storedUpdate struct {
	update  Update
	expires time.Time
}

// updates is a bounded list of updates in the order of arrival.
type updates struct {
	stored []storedUpdate
	limit  int
}

func (s *updates) find(id updateID) int {
	return slices.IndexFunc(s.stored, func(su storedUpdate) bool { return su.update.id() == id })
}

// add stores an update and reports whether it is new, and whether it is to be spread. A renewal
// is spread if it extends the stored update by at least a quarter of its TTL; otherwise it is
// ignored.
func (s *updates) add(u Update, now time.Time) (isNew, spread bool) {
	expires := now.Add(u.TTL)
	if at := s.find(u.id()); at >= 0 {
		stored := &s.stored[at]
		if expires.Sub(stored.expires) < u.TTL/4 {
			return false, false
		}
		stored.update, stored.expires = u, expires
		return false, true
	}
	if len(s.stored) >= s.limit {
		s.evict()
	}
	s.stored = append(s.stored, storedUpdate{update: u, expires: expires})
	return true, true
}

// evict removes the oldest update, a halt only if there is nothing else: a host that returns
// must not send to a version that was halted.
func (s *updates) evict() {
	at := slices.IndexFunc(s.stored, func(su storedUpdate) bool { return su.update.Halt == nil })
	at = max(at, 0)
	s.stored = slices.Delete(s.stored, at, at+1)
}

// expire removes the updates that have expired.
func (s *updates) expire(now time.Time) {
	s.stored = slices.DeleteFunc(s.stored, func(su storedUpdate) bool { return !su.expires.After(now) })
}

// get returns an update with its remaining TTL, or false if it is absent or has expired.
func (s *updates) get(id updateID, now time.Time) (Update, bool) {
	at := s.find(id)
	if at < 0 {
		return Update{}, false
	}
	return s.stored[at].remaining(now)
}

// remaining returns the update with its remaining TTL, or false if it has expired.
func (su *storedUpdate) remaining(now time.Time) (Update, bool) {
	u := su.update
	u.TTL = su.expires.Sub(now)
	return u, u.TTL > 0
}

// all returns the updates that have not expired, with their remaining TTL.
func (s *updates) all(now time.Time) []Update {
	var all []Update
	for i := range s.stored {
		if u, ok := s.stored[i].remaining(now); ok {
			all = append(all, u)
		}
	}
	return all
}

// root returns the hash of all updates, independent of their order.
func (s *updates) root() uint64 {
	var root uint64
	for i := range s.stored {
		root ^= s.stored[i].update.hash()
	}
	return root
}
