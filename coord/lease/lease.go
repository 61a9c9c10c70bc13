// Package lease elects the holder of a lease kept in the table of the store, without
// synchronized clocks. The lease holder renews by raising a counter. A challenger takes over
// once it has itself observed the counter unchanged for a whole term on its own monotonic
// clock. Every write of a lease holder compares the fencing row, which only a takeover writes,
// so a late write of a lease holder that was paused past its term fails (after Gray and
// Cheriton, "Leases", 1989, and, for the fencing token, Burrows, "The Chubby lock service",
// 2006).
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

// Key returns the key of the lease row, which renewals write.
func Key(name string) string { return keyPrefix + name }

// FenceKey returns the key of the fencing row. It is separate from the lease row, so that its
// version stays the same for a whole tenure (the time from a takeover to a release or the next
// takeover).
func FenceKey(name string) string { return keyPrefix + name + epochSuffix }

// Record is the value of the lease row, at Key.
type Record struct {
	Holder string `json:"holder"`
	// Epoch grows with each takeover.
	Epoch uint64 `json:"epoch"`
	// Counter grows with each renewal.
	Counter uint64 `json:"counter"`
}

// Fence is the value of the fencing row, at FenceKey.
type Fence struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// Rows are both rows of a lease as just read. A row of version 0 is absent.
type Rows struct {
	Lease store.Row
	Fence store.Row
}

// Kind is the kind of a Decision.
type Kind int

// The kinds of decisions.
const (
	// Wait means to do nothing until the rows are read again.
	Wait Kind = iota
	// Acquire means to commit the writes and read the rows again.
	Acquire
	// Renew means that the process holds the lease and is to commit the writes.
	Renew
	// Lost means that the process held the lease and no longer does.
	Lost
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"wait", "acquire", "renew", "lost"}[k]
}

// Decision is what a process is to do, with the compares and writes of the transaction that
// does it.
type Decision struct {
	Kind     Kind
	Compares []store.Compare
	Writes   []store.Write
}

// Candidate is the state of one process that competes for one lease. It is not safe for
// concurrent use.
type Candidate struct {
	name, holder string
	term         time.Duration
	observed     bool
	leaseVersion store.Position // version of the lease row
	changedAt    time.Duration  // when leaseVersion was first observed
	held         bool
	epoch        uint64         // while held
	fenceVersion store.Position // version of the fencing row, while held
}

// New returns a candidate that has not observed the rows yet. Holder identifies the process,
// not only its host: it must differ after a restart. Term is the time without a renewal after
// which the lease may be taken over.
func New(name, holder string, term time.Duration) *Candidate {
	return &Candidate{name: name, holder: holder, term: term}
}

// Decide returns what to do, given both rows as just read at time now of the process's
// monotonic clock. Whether a write took effect is learned only from the rows read next, so a
// lost response needs no handling. An error means that a row could not be decoded or encoded.
func (c *Candidate) Decide(rows Rows, now time.Duration) (Decision, error) {
	record, fence, err := rows.decode()
	if err != nil {
		return Decision{}, fmt.Errorf("lease: %s: %w", c.name, err)
	}
	c.observe(rows.Lease.Version, now)
	if c.owns(rows, record, fence) {
		c.held, c.epoch, c.fenceVersion = true, fence.Epoch, rows.Fence.Version
		return c.renewal(rows, record)
	}
	if c.held {
		c.held = false
		return Decision{Kind: Lost}, nil
	}
	if rows.Lease.Version != 0 && now-c.changedAt < c.term {
		return Decision{Kind: Wait}, nil
	}
	return c.takeover(rows, fence)
}

// Held reports whether the rows last passed to Decide showed this process as the lease holder,
// and the epoch of its tenure. It guarantees nothing about the present; writes are guarded by
// Compare.
func (c *Candidate) Held() (epoch uint64, ok bool) { return c.epoch, c.held }

// Compare returns the compare that every write of the lease holder must contain. It succeeds
// only during the tenure of this process.
func (c *Candidate) Compare() store.Compare {
	return store.Compare{Key: FenceKey(c.name), Version: c.fenceVersion}
}

// ReleaseWrites returns the writes that end the tenure. They are committed in one transaction
// with Compare. Both rows are deleted: a later tenure creates rows of other versions, so a
// write that compares a deleted row still fails.
func (c *Candidate) ReleaseWrites() []store.Write {
	return []store.Write{
		{Key: Key(c.name), Delete: true},
		{Key: FenceKey(c.name), Delete: true},
	}
}

func (c *Candidate) owns(rows Rows, record Record, fence Fence) bool {
	if rows.Lease.Version == 0 || record.Holder != c.holder || fence.Holder != c.holder {
		return false
	}
	return record.Epoch == fence.Epoch
}

// observe records when the lease row last changed.
func (c *Candidate) observe(version store.Position, now time.Duration) {
	if c.observed && version == c.leaseVersion {
		return
	}
	c.observed = true
	c.leaseVersion = version
	c.changedAt = now
}

func (c *Candidate) renewal(rows Rows, record Record) (Decision, error) {
	record.Counter++
	return c.newDecision(Renew, rows, encodeWrite(Key(c.name), record))
}

func (c *Candidate) takeover(rows Rows, fence Fence) (Decision, error) {
	epoch := fence.Epoch + 1
	return c.newDecision(Acquire, rows,
		encodeWrite(Key(c.name), Record{Holder: c.holder, Epoch: epoch}),
		encodeWrite(FenceKey(c.name), Fence{Holder: c.holder, Epoch: epoch}),
	)
}

// encodedWrite is a write or the error of its encoding.
type encodedWrite struct {
	write store.Write
	err   error
}

func encodeWrite(key string, value any) encodedWrite {
	data, err := json.Marshal(value)
	return encodedWrite{store.Write{Key: key, Value: data}, err}
}

// newDecision returns a decision whose transaction compares both rows as they were read.
func (c *Candidate) newDecision(kind Kind, rows Rows, writes ...encodedWrite) (Decision, error) {
	d := Decision{Kind: kind, Compares: []store.Compare{
		{Key: Key(c.name), Version: rows.Lease.Version},
		{Key: FenceKey(c.name), Version: rows.Fence.Version},
	}}
	for _, w := range writes {
		if w.err != nil {
			return Decision{}, fmt.Errorf("lease: %s: %w", c.name, w.err)
		}
		d.Writes = append(d.Writes, w.write)
	}
	return d, nil
}

func (r Rows) decode() (Record, Fence, error) {
	var record Record
	var fence Fence
	if r.Lease.Version != 0 {
		if err := json.Unmarshal(r.Lease.Value, &record); err != nil {
			return record, fence, fmt.Errorf("decode lease row: %w", err)
		}
	}
	if r.Fence.Version != 0 {
		if err := json.Unmarshal(r.Fence.Value, &fence); err != nil {
			return record, fence, fmt.Errorf("decode fencing row: %w", err)
		}
	}
	return record, fence, nil
}
