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
	// since is when the request began to wait.
	since time.Time
	// late means that the request is not expected in time even if it runs now; see isLate.
	late bool
}

// rank compares two requests without regard to shares: by priority, nested ones first, those that can
// still be in time before those that can't.
func (q *queuedRequest) rank(other *queuedRequest) int {
	switch {
	case q.Priority != other.Priority:
		return cmp.Compare(other.Priority, q.Priority)
	case q.Nested != other.Nested:
		return trueFirst(q.Nested)
	case q.late != other.late:
		return trueFirst(other.late)
	}
	return 0
}

// trueFirst compares a value with its opposite.
func trueFirst(value bool) int {
	if value {
		return -1
	}
	return 1
}

// byArrival orders the requests of one tenant.
func byArrival(a, b *queuedRequest) int {
	if rank := a.rank(b); rank != 0 {
		return rank
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// byShare orders the requests of all tenants.
func byShare(a, b *queuedRequest) int {
	if rank := a.rank(b); rank != 0 {
		return rank
	}
	if a.start != b.start {
		return cmp.Compare(a.start, b.start)
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// order sorts the queue into the order in which its requests run. The queue is short, so that all virtual
// start times are computed anew: those of a tenant change with each of its requests that leaves the queue.
func (t *Target) order(now time.Time) {
	if len(t.queue) == 0 {
		return
	}
	for _, q := range t.queue {
		q.late = t.isLate(q, now)
	}
	slices.SortFunc(t.queue, byArrival)
	t.flows.startPass()
	for _, q := range t.queue {
		q.start = t.flows.nextStart(q.Tenant, t.cost(q.Class))
	}
	slices.SortFunc(t.queue, byShare)
}

const (
	// lateDeviations is the number of mean deviations of the service time by which a response must be
	// expected before the soft deadline. With none, 0.85 of the requests served in an overload of 1.3
	// are in time, with two 0.95 (TestFloodOfOneTenantLeavesTheOthersServed).
	lateDeviations = 2
	// maxLateMargin bounds that margin, as a fraction of the time that a request could wait when it came,
	// so that requests of a class with little time to spare are not late from the start.
	maxLateMargin = 0.5
)

// isLate reports whether a response is not expected well before the soft deadline even if the request runs
// now. Without the margin, a queue under overload runs each request when about half of the responses are
// still in time.
func (t *Target) isLate(q *queuedRequest, now time.Time) bool {
	if q.SoftDeadline.IsZero() {
		return false
	}
	service := t.serviceTime(q.Class, now)
	spare := q.SoftDeadline.Sub(q.since) - service
	margin := min(lateDeviations*t.deviation(q.Class), time.Duration(maxLateMargin*float64(spare)))
	return q.SoftDeadline.Sub(now)-service < max(margin, 0)
}

// deviation returns the mean deviation of the service time of a class.
func (t *Target) deviation(class string) time.Duration {
	if estimate := t.classes[class]; estimate != nil {
		return estimate.deviation.value
	}
	return 0
}

// cost is the work that a request of a class takes from the share of its tenant: the estimated service
// time. Classes that have not run yet count as the mean, and as equal if nothing has run.
func (t *Target) cost(class string) time.Duration {
	return max(cmp.Or(t.ServiceTime(class), t.service.value), 1)
}

// insert adds a request to the queue and returns its position.
func (t *Target) insert(r Request, now time.Time) int {
	t.arrivals++
	t.flows.enqueue(r.Tenant)
	t.queue = append(t.queue, &queuedRequest{Request: r, arrival: t.arrivals, since: now})
	t.order(now)
	return t.indexOf(t.arrivals)
}

func (t *Target) indexOf(arrival uint64) int {
	return slices.IndexFunc(t.queue, func(q *queuedRequest) bool { return q.arrival == arrival })
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

// shedLateBacklog refuses the requests that can no longer be in time, but for those that may keep the
// slots busy: another target may still have a free slot for them.
func (t *Target) shedLateBacklog(now time.Time) []Action {
	var actions []Action
	for i := t.minBacklog(now); i < len(t.queue); {
		if t.queue[i].SoftDeadline.IsZero() || !now.Add(t.serviceTime(t.queue[i].Class, now)).After(t.queue[i].SoftDeadline) {
			i++
			continue
		}
		actions = append(actions, t.shed(i))
	}
	return actions
}
