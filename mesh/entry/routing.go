package entry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/settings"
)

// routing holds the balancing plan of each service that has received requests. A plan is
// built when a request finds that the service's split, the member list or a halt has
// changed; a request that finds the plan current takes no lock and allocates nothing.
type routing struct {
	self          balance.Locality
	retrySettings settings.Retry
	index         atomic.Pointer[balance.Index]
	halts         atomic.Pointer[map[string]halt] // by service
	plans         atomic.Pointer[map[string]*servicePlan]
	serviceTimes  balance.ServiceTimes
	// mutex serializes changes to the fields above.
	mutex          sync.Mutex
	hostsByService atomic.Pointer[serviceHosts]
	// The fields below are guarded by mutex.
	members         []gossip.Member
	evacuated       []string // zones whose endpoints receive no requests
	pendingVersions *balance.PendingVersions
	start           time.Time
	holdTimer       *time.Timer // ends the hold of a pending version
}

// halt names the version of a service that is not chosen while the rollout of the ticket
// runs.
type halt struct {
	version string
	ticket  uint64
}

// covers reports whether the halt stops the new version of the rollout.
func (h halt) covers(rollout *revision.Rollout) bool {
	return rollout != nil && rollout.Ticket == h.ticket && rollout.To == h.version
}

// servicePlan is a plan with the state from which it was built. The retry budget belongs to
// the service from its first request on, so that no service uses up another's.
type servicePlan struct {
	*balance.Plan
	budget   *retry.Budget
	returns  *retry.Returns // of refused callers; belongs to the service as the budget does
	revision uint64
	split    *revision.Split
	index    *balance.Index
	halt     halt
}

// newRouting returns a routing without members. A new version of a service is pending, and
// receives no requests, for the time hold.
func newRouting(self balance.Locality, retrySettings settings.Retry, hold time.Duration) *routing {
	r := &routing{self: self, retrySettings: retrySettings, pendingVersions: balance.NewPendingVersions(hold, 0), start: time.Now()}
	r.index.Store(balance.NewIndex(self, nil, nil))
	r.halts.Store(&map[string]halt{})
	r.plans.Store(&map[string]*servicePlan{})
	r.hostsByService.Store(&serviceHosts{})
	return r
}

func (r *routing) setMembers(members []gossip.Member) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.members = members
	r.hostsByService.Store(countServiceHosts(members))
	r.index.Store(r.newIndex())
	r.applyLimits()
}

// newIndex lists the endpoints of the members. The index is rebuilt when the hold of the
// first pending version ends. The caller holds mutex.
func (r *routing) newIndex() *balance.Index {
	pending, next := r.pendingVersions.Update(r.members, time.Since(r.start))
	if r.holdTimer != nil {
		r.holdTimer.Stop()
	}
	if len(pending) > 0 {
		r.holdTimer = time.AfterFunc(next, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.index.Store(r.newIndex())
		})
	}
	return balance.NewIndex(r.self, r.usableMembers(), r.index.Load()).WithPending(pending)
}

func (r *routing) setRetrySettings(retrySettings settings.Retry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.retrySettings = retrySettings
	r.applyLimits()
}

// applyLimits sets the limits of every budget. The caller holds mutex.
func (r *routing) applyLimits() {
	for _, plan := range *r.plans.Load() {
		plan.budget.SetLimits(r.limits())
	}
}

// limits returns the retry limits of this daemon, with its part of the reserve that all
// daemons share if there is one. The caller holds mutex.
func (r *routing) limits() retry.Limits {
	limits := retry.Limits{Shares: retry.SharesOf(r.retrySettings.Share, r.retrySettings.NestedShare), Reserve: r.retrySettings.Reserve}
	if r.retrySettings.FleetReserve > 0 {
		// Members that appear dead count too: they may serve on the other side of a network
		// partition, and the sum over all daemons has to stay bounded.
		limits.Reserve = r.retrySettings.FleetReserve / float64(max(len(r.members), 1))
	}
	return limits
}

// newBudget returns the retry budget of a service. A budget that is shared with other
// daemons starts empty. The caller holds mutex.
func (r *routing) newBudget() *retry.Budget {
	if r.retrySettings.FleetReserve > 0 {
		return retry.NewEmptyBudget(r.limits())
	}
	return retry.NewBudget(r.limits())
}

// setHalted halts a version, unless a later rollout of the service was halted: a host that joins
// receives the halts of all rollouts in any order.
func (r *routing) setHalted(service, version string, ticket uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if (*r.halts.Load())[service].ticket > ticket {
		return
	}
	halts := maps.Clone(*r.halts.Load())
	halts[service] = halt{version, ticket}
	r.halts.Store(&halts)
}

// plan returns the plan of a service at a snapshot, or nil if the snapshot has no split of
// the service.
func (r *routing) plan(snapshot *revision.Snapshot, service string) *servicePlan {
	split, ok := snapshot.Split(service)
	if !ok {
		return nil
	}
	current := (*r.plans.Load())[service]
	if r.upToDate(current, split) {
		return current
	}
	return r.rebuild(snapshot, split)
}

// upToDate reports whether a plan was built from the current state.
func (r *routing) upToDate(current *servicePlan, split *revision.Split) bool {
	return current != nil &&
		current.split == split &&
		current.index == r.index.Load() &&
		current.halt == (*r.halts.Load())[split.Service]
}

func (r *routing) rebuild(snapshot *revision.Snapshot, split *revision.Split) *servicePlan {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	plans := *r.plans.Load()
	current := plans[split.Service]
	if r.upToDate(current, split) {
		return current
	}
	next := r.build(snapshot, split, current)
	if current != nil && current.revision > snapshot.Revision() {
		return next // a request on an older snapshot does not replace a newer plan
	}
	plans = maps.Clone(plans)
	plans[split.Service] = next
	r.plans.Store(&plans)
	return next
}

func (r *routing) build(snapshot *revision.Snapshot, split *revision.Split, current *servicePlan) *servicePlan {
	next := &servicePlan{
		revision: snapshot.Revision(),
		split:    split,
		index:    r.index.Load(),
		halt:     (*r.halts.Load())[split.Service],
	}
	input := balance.PlanInput{Split: split, Index: next.index, Halted: next.halt.covers(split.Rollout)}
	next.budget, next.returns = r.newBudget(), &retry.Returns{}
	if current != nil {
		input.Previous = current.Plan
		next.budget, next.returns = current.budget, current.returns
	}
	next.Plan = balance.NewPlan(input)
	return next
}
