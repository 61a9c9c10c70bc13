// Package lease decides who holds a lease kept in the platform's table, without
// synchronised clocks. A holder renews by raising a counter. A challenger takes
// over after it has itself watched the counter stand still for a whole term on
// its own monotonic clock. Every write of a holder compares the fencing row, which
// only a takeover writes, so the late write of a holder that was paused past its
// term fails (after Gray and Cheriton, "Leases", 1989, and Burrows, "The Chubby
// lock service", 2006, for the token).
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"sassafrasnotch.example/coord/store"
)

const (
	keyPrefix   = "lease/"
	epochSuffix = "/epoch"
)

// Key returns the key of the row that renewals write.
func Key(name string) string { return keyPrefix + name }

// FenceKey returns the key of the fencing row. It is apart from the row that
// renewals write, so that its version stays the same for a whole tenure.
func FenceKey(name string) string { return keyPrefix + name + epochSuffix }

// Record is the value of the row at Key.
type Record struct {
	Holder string `json:"holder"`
	// Epoch grows with each takeover.
	Epoch uint64 `json:"epoch"`
	// Counter grows with each renewal.
	Counter uint64 `json:"counter"`
}

// Fence is the value of the row at EpochKey.
type Fence struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// Rows is both rows as just read; a row of version 0 is absent.
type Rows struct {
	Lease store.Row
	Fence store.Row
}

// Kind is what a host is to do.
type Kind int

// The decisions.
const (
	// Wait means to do nothing until the next view.
	Wait Kind = iota
	// Acquire means to commit the decision's writes and read again.
	Acquire
	// Renew means that the host holds the lease and is to commit the writes.
	Renew
	// Lost means that the host held the lease and no longer does.
	Lost
)

// String returns the name of the decision.
func (k Kind) String() string {
	return [...]string{"wait", "acquire", "renew", "lost"}[k]
}

// Decision is what a host is to do, with the transaction that does it.
type Decision struct {
	Kind     Kind
	Compares []store.Compare
	Writes   []store.Write
}

// Candidate is one process's part in one lease. It is not safe for concurrent
// use.
type Candidate struct {
	name, holder string
	term         time.Duration
	seen         bool
	watched      uint64        // version of the lease row
	since        time.Duration // when watched was first seen
	held         bool
	epoch        uint64 // while held
	fence        uint64 // version of the fencing row, while held
}

// New returns a candidate that has seen nothing. Holder identifies the process,
// not only its host: it must differ after a restart. Term is the time without a
// renewal after which a lease may be taken over.
func New(name, holder string, term time.Duration) *Candidate {
	return &Candidate{name: name, holder: holder, term: term}
}

// Decide returns what to do given both rows as just read, at a moment of the
// process's monotonic clock. Whether a write took effect is learned from the
// next view alone, so that a lost answer needs no care.
func (c *Candidate) Decide(view Rows, now time.Duration) (Decision, error) {
	row, fence, err := view.decode()
	if err != nil {
		return Decision{}, fmt.Errorf("lease: %s: %w", c.name, err)
	}
	c.watch(view.Lease.Version, now)
	if c.owns(view, row, fence) {
		c.held, c.epoch, c.fence = true, fence.Epoch, view.Fence.Version
		return c.renewal(view, row)
	}
	if c.held {
		c.held = false
		return Decision{Kind: Lost}, nil
	}
	if view.Lease.Version != 0 && now-c.since < c.term {
		return Decision{Kind: Wait}, nil
	}
	return c.takeover(view, fence)
}

// Held reports whether the last view showed this process as the holder, and the
// epoch of its tenure. It promises nothing about the present: that is what
// Compare is for.
func (c *Candidate) Held() (epoch uint64, ok bool) { return c.epoch, c.held }

// Compare returns what every write of the holder must compare: it holds for
// exactly the tenure of this process.
func (c *Candidate) Compare() store.Compare {
	return store.Compare{Key: FenceKey(c.name), Version: c.fence}
}

// ReleaseWrites returns the writes that end the tenure; they go with Compare into one
// transaction. Both rows are deleted: a later tenure gets a row of another
// version, so a write that compares the deleted one still fails.
func (c *Candidate) ReleaseWrites() []store.Write {
	return []store.Write{
		{Key: Key(c.name), Delete: true},
		{Key: FenceKey(c.name), Delete: true},
	}
}

func (c *Candidate) owns(view Rows, row Record, fence Fence) bool {
	if view.Lease.Version == 0 || row.Holder != c.holder || fence.Holder != c.holder {
		return false
	}
	return row.Epoch == fence.Epoch
}

// watch notes when the lease row last changed.
func (c *Candidate) watch(version uint64, now time.Duration) {
	if c.seen && version == c.watched {
		return
	}
	c.seen = true
	c.watched = version
	c.since = now
}

func (c *Candidate) renewal(view Rows, row Record) (Decision, error) {
	row.Counter++
	return c.decision(Renew, view, write(Key(c.name), row))
}

func (c *Candidate) takeover(view Rows, fence Fence) (Decision, error) {
	epoch := fence.Epoch + 1
	return c.decision(Acquire, view,
		write(Key(c.name), Record{Holder: c.holder, Epoch: epoch}),
		write(FenceKey(c.name), Fence{Holder: c.holder, Epoch: epoch}),
	)
}

// encoded is a write or the reason why it could not be made.
type encoded struct {
	write store.Write
	err   error
}

func write(key string, value any) encoded {
	data, err := json.Marshal(value)
	return encoded{store.Write{Key: key, Value: data}, err}
}

// decision compares both rows as they were read.
func (c *Candidate) decision(kind Kind, view Rows, writes ...encoded) (Decision, error) {
	d := Decision{Kind: kind, Compares: []store.Compare{
		{Key: Key(c.name), Version: view.Lease.Version},
		{Key: FenceKey(c.name), Version: view.Fence.Version},
	}}
	for _, w := range writes {
		if w.err != nil {
			return Decision{}, fmt.Errorf("lease: %s: %w", c.name, w.err)
		}
		d.Writes = append(d.Writes, w.write)
	}
	return d, nil
}

func (v Rows) decode() (Record, Fence, error) {
	var row Record
	var fence Fence
	if v.Lease.Version != 0 {
		if err := json.Unmarshal(v.Lease.Value, &row); err != nil {
			return row, fence, fmt.Errorf("decode lease row: %w", err)
		}
	}
	if v.Fence.Version != 0 {
		if err := json.Unmarshal(v.Fence.Value, &fence); err != nil {
			return row, fence, fmt.Errorf("decode fencing row: %w", err)
		}
	}
	return row, fence, nil
}
