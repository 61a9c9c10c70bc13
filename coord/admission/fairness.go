package admission

import "time"

const (
	// minFlowSweep is the number of flows from which on those that are not needed are removed.
	minFlowSweep = 64
	// maxIdleRuns is the number of requests of other tenants for which the last one of a tenant counts
	// against its share. A claim is never more than the work of one request, so that little is lost.
	maxIdleRuns = 256
)

// flows divides the slots of a target among tenants by start-time fair queueing (Goyal, Vin and Cheng,
// 1996). Virtual time is work received, with all tenants of equal weight. A request starts at the virtual
// time at which its tenant's earlier work ends, and the one with the earliest start runs next. A tenant
// that had nothing to run gains no claim for that time: its next request starts at the present virtual
// time, which is the latest start of a request that ran.
//
// It answers the load of one tenant that sends many times its usual requests: they queue behind each
// other, and a request of another tenant passes them.
type flows struct {
	byTenant map[string]*flow
	now      time.Duration // virtual
	pass     uint64
	runs     uint64
	sweepAt  int
}

// flow is the work of one tenant.
type flow struct {
	finish time.Duration // virtual time at which the work that ran ends
	queued int           // requests in the queue
	last   uint64        // value of flows.runs as of the last request that ran
	// next is the start of the tenant's next queued request in the given pass over the queue.
	next time.Duration
	pass uint64
}

func (f *flows) get(tenant string) *flow {
	if one := f.byTenant[tenant]; one != nil {
		return one
	}
	if f.byTenant == nil {
		f.byTenant = make(map[string]*flow)
	}
	f.sweep()
	one := &flow{finish: f.now, last: f.runs}
	f.byTenant[tenant] = one
	return one
}

// sweep removes the flows that are as those of unknown tenants, and those unused for long, whenever their
// number has doubled.
func (f *flows) sweep() {
	if len(f.byTenant) < max(f.sweepAt, minFlowSweep) {
		return
	}
	for tenant, one := range f.byTenant {
		if one.queued == 0 && (one.finish <= f.now || f.runs-one.last > maxIdleRuns) {
			delete(f.byTenant, tenant)
		}
	}
	f.sweepAt = 2 * len(f.byTenant)
}

// enqueue counts a request that begins to wait.
func (f *flows) enqueue(tenant string) {
	one := f.get(tenant)
	if one.queued == 0 {
		one.finish = max(one.finish, f.now)
	}
	one.queued++
}

// dequeue counts a request that no longer waits.
func (f *flows) dequeue(tenant string) { f.get(tenant).queued-- }

// run counts the work of a request that runs.
func (f *flows) run(tenant string, cost time.Duration) {
	one := f.get(tenant)
	if one.queued == 0 {
		one.finish = max(one.finish, f.now)
	}
	f.now = max(f.now, one.finish)
	one.finish += cost
	f.runs++
	one.last = f.runs
}

// reset forgets all shares, when nothing runs or waits.
func (f *flows) reset() {
	f.now = 0
	clear(f.byTenant)
}

// startPass begins a pass over the queue, in which nextStart is called for each request.
func (f *flows) startPass() { f.pass++ }

// nextStart returns the start of the tenant's next request of the pass, which has the given cost.
func (f *flows) nextStart(tenant string, cost time.Duration) time.Duration {
	one := f.get(tenant)
	if one.pass != f.pass {
		one.pass, one.next = f.pass, one.finish
	}
	start := one.next
	one.next += cost
	return start
}
