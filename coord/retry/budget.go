package retry

import "sync/atomic"

// tokensPerRetry is the cost of one retry. It makes a deposit of a fraction of a retry an
// integer number of tokens.
const tokensPerRetry = 1000

// Limits are the limits of a Budget.
type Limits struct {
	// Shares are the parts of a retry that requests deposit: the long-term ratio of retries to
	// requests.
	Shares Shares
	// Reserve is the number of retries that a full budget holds. It may be a fraction: the part of
	// one process in a reserve that many share.
	Reserve float64
}

// DefaultLimits are the limits of a daemon that shares no reserve with others.
var DefaultLimits = Limits{Shares: SharesOf(0.1, 0), Reserve: 20}

const (
	// parentPart is the part of the reserve that a service may use for repeated runs that make nested
	// requests, counted in these.
	parentPart = 0.2
	// unusedPart is the part of the reserve that a service with nested requests does not use, since
	// repeated runs elsewhere bring as many arrivals beyond the first: with their own retries
	// 0.2 × 1.14.
	unusedPart = 0.23
	// nestedPart is the part of the reserve that nested requests alone may use.
	nestedPart = 0.38
	// nestedMemory is the number of requests from outside after a nested one for which both parts are
	// kept.
	nestedMemory = 1000
)

// Budget bounds the retries of a service to shares of its requests: it is a token bucket that
// requests fill and retries drain. A second bucket bounds the repeated runs that make nested requests,
// by the number of these, so that the budgets of two services of a chain don't multiply. It is safe
// for concurrent use.
type Budget struct {
	limits  atomic.Pointer[Limits]
	all     bucket
	parents bucket // in nested requests that repeated runs make
	// nestedSeen falls from nestedMemory with each request from outside since the last nested one.
	nestedSeen atomic.Int64
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
	b.all.empty()
	b.parents.empty()
	return b
}

// SetLimits changes the limits. An empty budget stays empty.
func (b *Budget) SetLimits(limits Limits) {
	b.limits.Store(&limits)
	b.all.setSize(limits.Reserve)
	b.parents.setSize(parentPart * limits.Reserve)
}

// Remaining returns the number of retries that the budget holds.
func (b *Budget) Remaining() float64 { return b.all.held() }

// Deposit adds a request's share of a retry to the budget.
func (b *Budget) Deposit(kind Kind) {
	if kind.Nested {
		b.nestedSeen.Store(nestedMemory)
	} else if seen := b.nestedSeen.Load(); seen > 0 {
		b.nestedSeen.CompareAndSwap(seen, seen-1)
	}
	share := b.limits.Load().Shares.of(kind)
	b.all.deposit(share)
	if kind.CallsPerRun > 0 {
		b.parents.deposit(share * kind.parentCost())
	}
}

// parentCost is the number of arrivals beyond the first that a repeated run causes at any one
// service, at most.
func (k Kind) parentCost() float64 { return max(k.CallsPerRun, 1) }

// TryWithdraw withdraws one retry and reports whether the budget held one. Requests from outside
// leave the last part of the reserve to nested ones. A full budget that holds less than one retry,
// since many processes share the reserve, is emptied and grants a retry with the probability of its
// content, so that all of them together retry as much as the reserve allows. The draw is uniform from
// 0 up to 1.
func (b *Budget) TryWithdraw(kind Kind, draw float64) bool {
	if kind.CallsPerRun == 0 {
		return draw < b.all.withdraw(1, b.keptFrom(kind))
	}
	cost := kind.parentCost()
	run := b.parents.withdraw(cost, 0)
	if draw >= run {
		return false
	}
	granted := b.all.withdraw(1, b.keptFrom(kind))
	if granted == 0 {
		b.parents.deposit(run * cost)
	}
	return draw/run < granted
}

// keptFrom returns the part of the reserve that requests of a kind leave.
func (b *Budget) keptFrom(kind Kind) float64 {
	switch {
	case kind.Nested:
		return unusedPart
	case b.nestedSeen.Load() > 0:
		return unusedPart + nestedPart
	}
	return 0
}
