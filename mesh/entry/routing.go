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

// routing keeps the balancing table of each service that was called. Tables are
// built when a call finds that its service's split, the membership or a trip
// changed; a call that finds them current takes no lock and allocates nothing.
type routing struct {
	self   balance.Place
	budget settings.Retry
	index  atomic.Pointer[balance.Index]
	trips  atomic.Pointer[map[string]trip] // by service
	plans  atomic.Pointer[map[string]*servicePlan]
	// building serialises changes to the above.
	building sync.Mutex
	// All below are guarded by building.
	members   []gossip.Member
	newcomers *balance.Newcomers
	start     time.Time
	release   *time.Timer // ends the hold of a version
}

// trip is the version of a service that is no longer chosen for a move.
type trip struct {
	version string
	ticket  uint64
}

func (t trip) covers(move *revision.Rollout) bool {
	return move != nil && move.Ticket == t.ticket && move.To == t.version
}

// servicePlan is a plan with what it was built from. The retry budget is that of
// the service from its first call on, so that no service uses up another's.
type servicePlan struct {
	*balance.Plan
	budget   *retry.Budget
	revision uint64
	split    *revision.Split
	index    *balance.Index
	trip     trip
}

// newRouting returns a routing without members. New versions of a service are held
// back for a time.
func newRouting(self balance.Place, budget settings.Retry, hold time.Duration) *routing {
	r := &routing{self: self, budget: budget, newcomers: balance.NewNewcomers(hold, 0), start: time.Now()}
	r.index.Store(balance.NewIndex(self, nil, nil))
	r.trips.Store(&map[string]trip{})
	r.plans.Store(&map[string]*servicePlan{})
	return r
}

func (r *routing) setMembers(members []gossip.Member) {
	r.building.Lock()
	defer r.building.Unlock()
	r.members = members
	r.index.Store(r.newIndex())
	r.applyLimits()
}

// newIndex lists the endpoints of the members. It is made anew once the first version
// that it holds back is not to be any more. The caller holds building.
func (r *routing) newIndex() *balance.Index {
	held, next := r.newcomers.Note(r.members, time.Since(r.start))
	if r.release != nil {
		r.release.Stop()
	}
	if len(held) > 0 {
		r.release = time.AfterFunc(next, func() {
			r.building.Lock()
			defer r.building.Unlock()
			r.index.Store(r.newIndex())
		})
	}
	return balance.NewIndex(r.self, r.members, r.index.Load()).Holding(held)
}

func (r *routing) setBudget(budget settings.Retry) {
	r.building.Lock()
	defer r.building.Unlock()
	r.budget = budget
	r.applyLimits()
}

// applyLimits hands the limits to every budget. The caller holds building.
func (r *routing) applyLimits() {
	for _, plan := range *r.plans.Load() {
		plan.budget.SetLimits(r.limits())
	}
}

// limits returns this daemon's part of the retries. The caller holds building.
func (r *routing) limits() retry.Limits {
	limits := retry.Limits{Share: r.budget.Share, Reserve: r.budget.Reserve}
	if r.budget.FleetReserve > 0 {
		// Members that seem dead count too: they may serve on the other side of a cut,
		// and the sum over all daemons is bounded.
		limits.Reserve = r.budget.FleetReserve / max(len(r.members), 1)
	}
	return limits
}

// newBudget returns the budget of a service's retries. One that is shared with other
// daemons begins empty. The caller holds building.
func (r *routing) newBudget() *retry.Budget {
	if r.budget.FleetReserve > 0 {
		return retry.NewEmptyBudget(r.limits())
	}
	return retry.NewBudget(r.limits())
}

func (r *routing) setTripped(service, version string, ticket uint64) {
	r.building.Lock()
	defer r.building.Unlock()
	trips := maps.Clone(*r.trips.Load())
	trips[service] = trip{version, ticket}
	r.trips.Store(&trips)
}

// plan returns the table of a service at a snapshot, or nil if the snapshot has
// no split of the service.
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

func (r *routing) upToDate(current *servicePlan, split *revision.Split) bool {
	return current != nil &&
		current.split == split &&
		current.index == r.index.Load() &&
		current.trip == (*r.trips.Load())[split.Service]
}

func (r *routing) rebuild(snapshot *revision.Snapshot, split *revision.Split) *servicePlan {
	r.building.Lock()
	defer r.building.Unlock()
	plans := *r.plans.Load()
	current := plans[split.Service]
	if r.upToDate(current, split) {
		return current
	}
	next := r.build(snapshot, split, current)
	if current != nil && current.revision > snapshot.Revision() {
		return next // a call on an older snapshot does not replace a newer plan
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
		trip:     (*r.trips.Load())[split.Service],
	}
	input := balance.Input{Split: split, Index: next.index, Tripped: next.trip.covers(split.Rollout)}
	next.budget = r.newBudget()
	if current != nil {
		input.Previous = current.Plan
		next.budget = current.budget
	}
	next.Plan = balance.NewPlan(input)
	return next
}
