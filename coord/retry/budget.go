package retry

import "sync/atomic"

// tokenUnit is one retry in the budget's unit.
const tokenUnit = 1000

// Limits bound retries.
type Limits struct {
	// Share is the part of the calls that may be retried.
	Share float64
	// Reserve is the number of retries that a full budget holds.
	Reserve int
}

// DefaultLimits hold for a daemon that shares no budget with others.
var DefaultLimits = Limits{Share: 0.1, Reserve: 20}

// Budget bounds retries to a share of calls: it is a token bucket that calls
// fill and retries empty. It is safe for concurrent use.
type Budget struct {
	share   atomic.Int64 // tokens that a call adds, in tokenUnit
	reserve atomic.Int64 // tokens that a full budget holds, in tokenUnit
	spent   atomic.Int64 // in tokenUnit; 0 is a full budget
}

// NewBudget returns a full budget.
func NewBudget(limits Limits) *Budget {
	b := &Budget{}
	b.SetLimits(limits)
	return b
}

// NewEmptyBudget returns a budget that calls have yet to fill. It is for a process
// that shares the reserve with others: one that restarts again and again must not
// bring a full reserve each time.
func NewEmptyBudget(limits Limits) *Budget {
	b := NewBudget(limits)
	b.spent.Store(b.reserve.Load())
	return b
}

// SetLimits changes the limits. An empty budget stays empty.
func (b *Budget) SetLimits(limits Limits) {
	b.share.Store(int64(limits.Share * tokenUnit))
	b.reserve.Store(int64(limits.Reserve) * tokenUnit)
	for {
		spent := b.spent.Load()
		if spent <= b.reserve.Load() || b.spent.CompareAndSwap(spent, b.reserve.Load()) {
			return
		}
	}
}

// Remaining returns the retries that the budget holds.
func (b *Budget) Remaining() float64 {
	return float64(max(b.reserve.Load()-b.spent.Load(), 0)) / tokenUnit
}

// Deposit adds a call's share to the budget.
func (b *Budget) Deposit() {
	for {
		spent := b.spent.Load()
		if spent == 0 {
			return
		}
		if b.spent.CompareAndSwap(spent, max(spent-b.share.Load(), 0)) {
			return
		}
	}
}

// TryWithdraw takes one retry out of the budget and reports whether it held one.
func (b *Budget) TryWithdraw() bool {
	for {
		spent := b.spent.Load()
		if spent+tokenUnit > b.reserve.Load() {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+tokenUnit) {
			return true
		}
	}
}
