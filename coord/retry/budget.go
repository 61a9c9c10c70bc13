package retry

import "sync/atomic"

// tokensPerRetry is the cost of one retry. It makes a deposit of a fraction of a retry an
// integer number of tokens.
const tokensPerRetry = 1000

// Limits are the limits of a Budget.
type Limits struct {
	// Share is the part of a retry that each request deposits: the long-term ratio of
	// retries to requests.
	Share float64
	// Reserve is the number of retries that a full budget holds. It may be a fraction: the part of
	// one process in a reserve that many share.
	Reserve float64
}

// DefaultLimits are the limits of a daemon that shares no reserve with others.
var DefaultLimits = Limits{Share: 0.1, Reserve: 20}

// Budget bounds retries to a share of requests: it is a token bucket that requests fill and
// retries drain. It is safe for concurrent use.
type Budget struct {
	share   atomic.Int64 // tokens that a request deposits
	reserve atomic.Int64 // tokens that a full budget holds
	spent   atomic.Int64 // tokens missing from a full budget
}

// NewBudget returns a full budget.
func NewBudget(limits Limits) *Budget {
	b := &Budget{}
	b.SetLimits(limits)
	return b
}

// NewEmptyBudget returns an empty budget, which requests fill. It is for a process that shares
// the reserve with others: one that restarts repeatedly must not add a full reserve with each
// start.
func NewEmptyBudget(limits Limits) *Budget {
	b := NewBudget(limits)
	b.spent.Store(b.reserve.Load())
	return b
}

// SetLimits changes the limits. An empty budget stays empty.
func (b *Budget) SetLimits(limits Limits) {
	b.share.Store(int64(limits.Share * tokensPerRetry))
	b.reserve.Store(int64(limits.Reserve * tokensPerRetry))
	for {
		spent := b.spent.Load()
		if spent <= b.reserve.Load() || b.spent.CompareAndSwap(spent, b.reserve.Load()) {
			return
		}
	}
}

// Remaining returns the number of retries that the budget holds.
func (b *Budget) Remaining() float64 {
	return float64(max(b.reserve.Load()-b.spent.Load(), 0)) / tokensPerRetry
}

// Deposit adds a request's share of a retry to the budget.
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

// TryWithdraw withdraws one retry and reports whether the budget held one. A full budget that
// holds less than one, since many processes share the reserve, is emptied and grants a retry with
// the probability of its content, so that all of them together retry as much as the reserve
// allows. The draw is uniform from 0 up to 1.
func (b *Budget) TryWithdraw(draw float64) bool {
	for {
		spent, reserve := b.spent.Load(), b.reserve.Load()
		held := reserve - spent
		cost := int64(tokensPerRetry)
		switch {
		case held >= tokensPerRetry:
		case reserve < tokensPerRetry && held > 0 && spent == 0:
			cost = held
		default:
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+cost) {
			return draw*tokensPerRetry < float64(cost)
		}
	}
}
