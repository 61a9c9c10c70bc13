// Package admission decides which requests a target runs, which wait in its queue and
// which are refused. A target never has more requests outstanding than slots; a short
// queue, bounded by its length and by the deadlines of the requests in it, absorbs bursts.
// Under overload, requests of higher priority run first, among equals those on which another
// service waits, then those of each tenant in turn (see flows), and the queueing delay is estimated from the service times of the
// classes in the queue, so that short requests are not refused because others are long.
// Bounding the work in front of each target keeps the queue where requests can still be
// refused. A target may name a rate besides: it then gets no more requests per second, and the
// queue, the estimates and the time after which a refused request is to come back follow the rate.
//
// The package does no I/O and reads no clock: the caller passes the time and carries out
// the returned actions.
package admission

import (
	"slices"
	"time"
)

// Config bounds the work of one target.
type Config struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// InitialSlots bounds Slots until the first response of the target, which may name a rate; 0 means no
	// bound.
	InitialSlots int
	// QueueLength bounds the requests that wait for a slot.
	QueueLength int
	// WarmUp is the duration over which the slots of a new target open.
	WarmUp time.Duration
	// CountHeld means that the target never responds to a request that it has no room for. What it may
	// still hold of the requests that were given up then counts; see Abandon.
	CountHeld bool
	// Inherited is the number of requests of an earlier process of the daemon that the target may hold.
	// Each response shows that one of them has begun.
	Inherited int
}

// Request holds the properties of a request on which admission depends.
type Request struct {
	// ID is unique among the requests of a target.
	ID       uint64
	Deadline time.Time
	// SoftDeadline is the time up to which a response is of full use to the caller;
	// zero means that it equals Deadline.
	SoftDeadline time.Time
	// Priority orders the queue: a request of higher priority runs first and is shed
	// last.
	Priority int
	// Nested means that another target waits for the response while it runs a request of its own. Of
	// equal priority nested requests run first, since the work of the waiting target is lost otherwise.
	Nested bool
	// Tenant is the customer for whom the request runs. The slots are shared fairly among the tenants
	// that have requests of equal rank; the empty tenant is one as any other.
	Tenant string
	// Class groups requests of similar service time, such as those of one route.
	Class string
	// Bounded means that the request is refused at once unless a slot is free or the estimated
	// wait is at most MaxWait: its sender can offer it to other targets.
	Bounded bool
	MaxWait time.Duration
	// Draw is uniform from 0 up to 1. A bounded request is refused with the probability of
	// Target.FailureRate, so that requests go to targets that fail less where there are any.
	Draw float64
}

// Verdict is the decision on a request.
type Verdict int

// The verdicts on a request.
const (
	// Run means that the request holds a slot until Complete or Release.
	Run Verdict = iota
	// Wait means that the request is queued and a later Action decides.
	Wait
	// Refuse means that the request must not run.
	Refuse
)

// Reason is the cause of a refusal.
type Reason int

// The reasons of a refusal.
const (
	// NoReason is set for requests that are not refused.
	NoReason Reason = iota
	// Overloaded means that the queue is full or the estimated response time too long,
	// or that the request is shed in favour of one of higher priority.
	Overloaded
	// Expired means that the deadline has passed.
	Expired
	// Leaving means that the target accepts no new work.
	Leaving
	// Evacuated means that the target is to receive no requests for now.
	Evacuated
)

// Action is the verdict on the request with an ID. Reason is set with Refuse only.
type Action struct {
	ID      uint64
	Verdict Verdict
	Reason  Reason
}

// Load is the work of a target at one time.
type Load struct {
	// Outstanding is the number of requests that hold a slot.
	Outstanding int
	// Queued is the number of requests that wait for one.
	Queued int
	// Slots is the number of slots in use or free, without those that warm-up keeps closed and those
	// that the rate of the target leaves idle.
	Slots int
}

// Target is the admission state of one target. It is not safe for concurrent use.
type Target struct {
	config      Config
	started     time.Time
	leaving     bool
	outstanding int
	queue       []*queuedRequest // in the order in which they run; see order
	arrivals    uint64
	flows       flows
	service     ewma // service time over all classes
	classes     map[string]*serviceEstimate
	failures    failureRate
	pacer       pacer
	responded   bool // see Config.InitialSlots
	held        heldRequests
}

// NewTarget returns the state of a target that starts at now, without work.
func NewTarget(config Config, now time.Time) *Target {
	return &Target{config: config, started: now, classes: make(map[string]*serviceEstimate), held: heldRequests{inherited: config.Inherited}}
}

// SetSlots changes the number of slots. Running requests are not affected.
func (t *Target) SetSlots(slots int) { t.config.Slots = slots }

// RecordResponse records that the target has responded, which ends Config.InitialSlots. It returns the
// actions on queued requests.
func (t *Target) RecordResponse(now time.Time) []Action {
	if t.responded {
		return nil
	}
	t.responded = true
	return t.Tick(now)
}

// Load returns the work at the time now.
func (t *Target) Load(now time.Time) Load {
	return Load{Outstanding: t.outstanding, Queued: len(t.queue), Slots: max(min(t.openSlots(now), t.RatedSlots()), 1)}
}

// Cold reports whether the target is still in its warm-up.
// The time of a periodic call may lie before its start.
func (t *Target) Cold(now time.Time) bool {
	return t.config.WarmUp > 0 && now.Sub(t.started) < t.config.WarmUp
}

// Available reports whether a request submitted now would run at once.
func (t *Target) Available(now time.Time) bool {
	return !t.leaving && len(t.queue) == 0 && t.mayRun(now)
}

// openSlots returns the number of slots that are open at the time now. The first one is
// open from the start; the others open at a constant rate over the warm-up.
func (t *Target) openSlots(now time.Time) int {
	open := min(t.warmSlots(now), t.heldRoom(now))
	if t.config.InitialSlots > 0 && !t.responded {
		return min(open, t.config.InitialSlots)
	}
	return open
}

func (t *Target) warmSlots(now time.Time) int {
	if t.config.Slots <= 1 || !t.Cold(now) {
		return t.config.Slots
	}
	elapsed := max(now.Sub(t.started), 0)
	opened := int64(t.config.Slots-1) * int64(elapsed) / int64(t.config.WarmUp)
	return 1 + int(opened)
}

// Submit decides on a new request. It returns the verdict on it, and the refusals of
// queued requests that are shed for it.
func (t *Target) Submit(r Request, now time.Time) (Action, []Action) {
	switch {
	case t.leaving:
		return refusal(r, Leaving), nil
	case !now.Before(r.Deadline):
		return refusal(r, Expired), nil
	case r.Bounded && r.Draw < t.FailureRate(now):
		return refusal(r, Overloaded), nil
	case t.Available(now):
		t.run(r, now)
		return Action{ID: r.ID, Verdict: Run}, nil
	case r.Bounded && r.MaxWait <= 0:
		return refusal(r, Overloaded), nil
	}
	position := t.insert(r, now)
	if t.refuses(r, position, now) {
		return t.shed(position), nil
	}
	return t.boundQueue(r, position, now)
}

// refuses reports whether a request waits too long at a position.
func (t *Target) refuses(r Request, position int, now time.Time) bool {
	if r.Bounded && t.queueDelay(position, now) > r.MaxWait {
		return true
	}
	return t.missesDeadline(r, position, now) || position >= t.minBacklog(now) && t.missesSoftDeadline(r, position, now)
}

// boundQueue sheds requests after r was inserted at a position: the last one if the queue is too long,
// which may be r, and those behind r that would now miss their deadlines. The last one is of the lowest
// priority, and among equals of the tenant with the most work ahead of its share.
func (t *Target) boundQueue(r Request, position int, now time.Time) (Action, []Action) {
	var shed []Action
	if last := len(t.queue) - 1; last >= t.config.QueueLength {
		refused := t.shed(last)
		if position == last {
			return refused, nil
		}
		shed = append(shed, refused)
	}
	return Action{ID: r.ID, Verdict: Wait}, append(shed, t.shedLate(position+1, now)...)
}

// shedLate refuses the requests at position from and behind it that would miss their
// deadlines.
func (t *Target) shedLate(from int, now time.Time) []Action {
	var shed []Action
	for i := from; i < len(t.queue); {
		if !t.missesDeadline(t.queue[i].Request, i, now) {
			i++
			continue
		}
		shed = append(shed, t.shed(i))
	}
	return shed
}

// missesDeadline reports whether a request with ahead others before it is expected to
// complete after its deadline.
func (t *Target) missesDeadline(r Request, ahead int, now time.Time) bool {
	return t.completionTime(r, ahead, now).After(r.Deadline)
}

// missesSoftDeadline reports whether a request with ahead others before it is expected to
// complete after its soft deadline.
func (t *Target) missesSoftDeadline(r Request, ahead int, now time.Time) bool {
	return !r.SoftDeadline.IsZero() && t.completionTime(r, ahead, now).After(r.SoftDeadline)
}

// completionTime estimates when a request with ahead others before it completes.
func (t *Target) completionTime(r Request, ahead int, now time.Time) time.Time {
	return now.Add(t.queueDelay(ahead, now) + t.serviceTime(r.Class, now))
}

// minBacklogFraction is the number of queue positions, as a fraction of the open slots,
// that requests may take although they will miss their soft deadlines. They keep the slots
// busy between a completion and the next arrival.
const minBacklogFraction = 0.25

func (t *Target) minBacklog(now time.Time) int {
	return max(int(minBacklogFraction*float64(t.openSlots(now))), 1)
}

// queueDelay estimates the time until a request with ahead others before it runs: one
// running request has to complete, those ahead have to start, and the rate has to allow it.
func (t *Target) queueDelay(ahead int, now time.Time) time.Duration {
	work := t.service.value
	for _, r := range t.queue[:ahead] {
		work += t.serviceTime(r.Class, now)
	}
	return max(work/time.Duration(max(t.openSlots(now), 1)), t.pacer.delay(ahead, now))
}

// serviceTime estimates how long a request of a class runs. It is 0 for a class without a
// completed request, so that the first ones are admitted and give an estimate.
func (t *Target) serviceTime(class string, now time.Time) time.Duration {
	if estimate := t.classes[class]; estimate != nil {
		return estimate.decayed(now)
	}
	return 0
}

// ServiceTime returns the recent mean time for which requests of a class run, whatever its age; 0 if
// none has completed.
func (t *Target) ServiceTime(class string) time.Duration {
	if estimate := t.classes[class]; estimate != nil {
		return estimate.value
	}
	return 0
}

// RetryAfter estimates the time until a refused request could run: the delay of the whole
// queue.
func (t *Target) RetryAfter(now time.Time) time.Duration { return t.queueDelay(len(t.queue), now) }

// Wait estimates how long a request submitted now waits for a slot; 0 if one is free.
func (t *Target) Wait(now time.Time) time.Duration {
	if t.Available(now) {
		return 0
	}
	return t.queueDelay(len(t.queue), now)
}

// Complete frees the slot of a request that ran, records its service time under its class
// and returns the actions on queued requests.
func (t *Target) Complete(class string, duration time.Duration, now time.Time) []Action {
	t.recordService(class, duration, now)
	t.recordProgress(duration, now)
	return t.Release(now)
}

// Release frees the slot of a request that was not dispatched, without recording a service
// time, and returns the actions on queued requests.
func (t *Target) Release(now time.Time) []Action {
	t.outstanding--
	return t.Tick(now)
}

// Tick returns the actions on queued requests that are due at now: those whose deadline
// has passed are refused, and those for which a slot is open and the rate allows it run. Callers call
// it at regular intervals, since slots open and deadlines pass without another event, and after
// NextRun.
func (t *Target) Tick(now time.Time) []Action {
	var actions []Action
	for i := 0; i < len(t.queue); {
		if now.Before(t.queue[i].Deadline) {
			i++
			continue
		}
		actions = append(actions, refusal(t.remove(i), Expired))
	}
	t.order(now)
	for len(t.queue) > 0 && t.mayRun(now) {
		t.run(t.queue[0].Request, now)
		actions = append(actions, Action{ID: t.remove(0).ID, Verdict: Run})
	}
	actions = append(actions, t.shedLateBacklog(now)...)
	if t.outstanding == 0 && len(t.queue) == 0 {
		t.flows.reset()
	}
	return actions
}

// Cancel removes a request from the queue and reports whether it was queued.
func (t *Target) Cancel(id uint64) bool {
	i := slices.IndexFunc(t.queue, func(q *queuedRequest) bool { return q.ID == id })
	if i < 0 {
		return false
	}
	t.remove(i)
	return true
}

// Leave refuses all queued requests and those submitted later. Running requests keep their
// slots.
func (t *Target) Leave() []Action {
	t.leaving = true
	actions := make([]Action, 0, len(t.queue))
	for _, q := range t.queue {
		actions = append(actions, refusal(q.Request, Leaving))
	}
	t.queue = nil
	return actions
}

func refusal(r Request, reason Reason) Action {
	return Action{ID: r.ID, Verdict: Refuse, Reason: reason}
}
