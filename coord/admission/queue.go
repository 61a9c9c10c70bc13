package admission

import (
	"cmp"
	"slices"
	"time"
)

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	Request
	arrival uint64
	// start is the virtual time at which the request is due by the share of its tenant; see flows.
	start time.Duration
	// late means that the request can't be in time even if it runs now.
	late bool
}

// rank compares two requests without regard to shares: by priority, nested ones first, those that can
// still be in time before those that can't.
func (q *queuedRequest) rank(other *queuedRequest) int {
	return cmp.Or(
		cmp.Compare(other.Priority, q.Priority),
		compareBool(other.Nested, q.Nested),
		compareBool(q.late, other.late),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// byArrival orders the requests of one tenant.
func byArrival(a, b queuedRequest) int {
	return cmp.Or(a.rank(&b), cmp.Compare(a.arrival, b.arrival))
}

// byShare orders the requests of all tenants.
func byShare(a, b queuedRequest) int {
	return cmp.Or(a.rank(&b), cmp.Compare(a.start, b.start), cmp.Compare(a.arrival, b.arrival))
}

// order sorts the queue into the order in which its requests run. The queue is short, so that all virtual
// start times are computed anew: those of a tenant change with each of its requests that leaves the queue.
func (t *Target) order(now time.Time) {
	if len(t.queue) == 0 {
		return
	}
	for i := range t.queue {
		t.queue[i].late = t.isLate(&t.queue[i].Request, now)
	}
	slices.SortFunc(t.queue, byArrival)
	t.flows.startPass()
	for i := range t.queue {
		t.queue[i].start = t.flows.nextStart(t.queue[i].Tenant, t.cost(t.queue[i].Class))
	}
	slices.SortFunc(t.queue, byShare)
}

// isLate reports whether the request would be late if it ran now.
func (t *Target) isLate(*Request, time.Time) bool { return false }

// cost is the work that a request of a class takes from the share of its tenant: the estimated service
// time. Classes that have not run yet count as the mean, and as equal if nothing has run.
func (t *Target) cost(class string) time.Duration {
	return max(cmp.Or(t.ServiceTime(class), t.service.value), 1)
}

// insert adds a request to the queue and returns its position.
func (t *Target) insert(r Request, now time.Time) int {
	t.arrivals++
	t.flows.enqueue(r.Tenant)
	t.queue = append(t.queue, queuedRequest{Request: r, arrival: t.arrivals})
	t.order(now)
	return t.indexOf(t.arrivals)
}

func (t *Target) indexOf(arrival uint64) int {
	return slices.IndexFunc(t.queue, func(q queuedRequest) bool { return q.arrival == arrival })
}

// remove takes the request at a position out of the queue.
func (t *Target) remove(position int) Request {
	r := t.queue[position].Request
	t.queue = slices.Delete(t.queue, position, position+1)
	t.flows.dequeue(r.Tenant)
	return r
}

// shed removes the request at a position and returns its refusal.
func (t *Target) shed(position int) Action { return refusal(t.remove(position), Overloaded) }
