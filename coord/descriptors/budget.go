// Package descriptors divides the file descriptors that a process may open among its parts, so that no
// part can take those that the others need to work. It answers a load of more connections than the
// process may hold, whichever part they belong to.
package descriptors

import (
	"math"
	"sync"
)

// Part is a part of the process that opens connections.
type Part int

const (
	// Callers are the connections of callers.
	Callers Part = iota
	// PeersAccepted and PeersDialed are the connections from and to other daemons.
	PeersAccepted
	PeersDialed
	// Targets are the connections to the targets on this host.
	Targets
	// Store are the connections to the platform's store.
	Store
	// Admin are the connections of operators, announcing targets and readiness checks.
	Admin
	partCount
)

var partNames = [partCount]string{"callers", "peers accepted", "peers dialed", "targets", "store", "admin"}

// String implements fmt.Stringer.
func (p Part) String() string { return partNames[p] }

// Parts returns all parts.
func Parts() []Part {
	parts := make([]Part, partCount)
	for i := range parts {
		parts[i] = Part(i)
	}
	return parts
}

const (
	// reserveDivisor sets the descriptors that no part receives: those of files, listeners and the
	// runtime.
	reserveDivisor = 16
	minReserve     = 16 // descriptors
	// shareUnits is the number of units of guaranteed: the shares of the parts and the descriptors that
	// are guaranteed to none.
	shareUnits = 64
	minShare   = 4 // descriptors
)

// guaranteed is the share of each part in units, of shareUnits. What is guaranteed to no part goes to
// whichever needs it first.
var guaranteed = [partCount]int{Callers: 16, PeersAccepted: 8, PeersDialed: 8, Targets: 4, Store: 2, Admin: 2}

// Budget counts the descriptors that the parts hold. It is safe for concurrent use.
//
// Invariants: the parts together hold at most total. A part that holds less than its guaranteed share
// can acquire another descriptor, whatever the others hold.
type Budget struct {
	limit, total int

	mu      sync.Mutex
	shares  [partCount]int
	held    [partCount]int
	refused [partCount]uint64
}

// NewBudget returns a budget for a process that may open limit descriptors.
func NewBudget(limit int) *Budget {
	b := &Budget{limit: limit, total: max(limit-max(limit/reserveDivisor, minReserve), int(partCount)*minShare)}
	for part, units := range guaranteed {
		b.shares[part] = max(b.total/shareUnits*units, minShare)
	}
	return b
}

// Unlimited returns a budget that no process exhausts.
func Unlimited() *Budget { return NewBudget(math.MaxInt32) }

// Most returns how many descriptors the part can hold while the others hold no more than their shares.
func (b *Budget) Most(part Part) int {
	most := b.total
	for other, share := range b.shares {
		if Part(other) != part {
			most -= share
		}
	}
	return most
}

// Acquire counts one more descriptor of the part. It returns false, without counting, if the part holds
// its guaranteed share and what remains is guaranteed to others.
func (b *Budget) Acquire(part Part) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[part] >= b.shares[part] && b.committed() >= b.total {
		b.refused[part]++
		return false
	}
	b.held[part]++
	return true
}

// Release counts one descriptor of the part less.
func (b *Budget) Release(part Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[part]--
}

// committed returns the descriptors that are held or guaranteed. The caller holds mu.
func (b *Budget) committed() int {
	sum := 0
	for part, held := range b.held {
		sum += max(held, b.shares[part])
	}
	return sum
}

// Usage is what a part holds of the budget.
type Usage struct {
	Part Part
	Held int
	// Guaranteed is the share of the part.
	Guaranteed int
	// Refused is the number of descriptors that the part did not receive since the start.
	Refused uint64
}

// Usage returns what each part holds.
func (b *Budget) Usage() []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := make([]Usage, partCount)
	for part := range usage {
		usage[part] = Usage{Part(part), b.held[part], b.shares[part], b.refused[part]}
	}
	return usage
}

// Limit returns the descriptors that the process may open.
func (b *Budget) Limit() int { return b.limit }
