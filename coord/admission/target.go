// Package admission decides which requests a target runs, which wait and
// which are refused. A target never has more requests outstanding than slots;
// a short queue, bounded by its length and by the deadlines of those who wait,
// absorbs bursts. It answers overload by requests of unlike length and urgency:
// the urgent ones, as calls for which a caller's work waits, run first, and a
// wait is judged by the service times of the routes in the queue, so that short
// calls are not refused for the length of others. Bounding the work before each
// replica keeps queueing where it can still be refused.
//
// The decisions are pure: the caller gives the time and carries them out.
package admission

import (
	"slices"
	"time"
)

// Config bounds the work of one target.
type Config struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// QueueLength bounds the requests that wait for a slot.
	QueueLength int
	// WarmUp is the time over which a new target's slots open.
	WarmUp time.Duration
}

// Request is the part of a request that admission looks at.
type Request struct {
	ID       uint64
	Deadline time.Time
	// SoftDeadline is the time up to which an answer is of full use; zero means up to
	// the deadline.
	SoftDeadline time.Time
	// Priority orders the requests that wait; higher runs first and is kept
	// longer.
	Priority int
	// Class groups requests that take about the same time, as those of a route.
	Class string
}

// Verdict is what becomes of a request.
type Verdict int

// The verdicts on a request.
const (
	// Run means that the request holds a slot until Done.
	Run Verdict = iota
	// Wait means that a later Action decides.
	Wait
	// Refuse means that the request must not run.
	Refuse
)

// Reason tells why a request is refused.
type Reason int

// The reasons of a refusal.
const (
	NoReason Reason = iota
	// Overloaded means that the request would wait too long or has to make
	// room for one of higher priority.
	Overloaded
	// Expired means that the deadline has passed.
	Expired
	// Leaving means that the target takes no new work.
	Leaving
)

// Action is the decision on one request.
type Action struct {
	ID      uint64
	Verdict Verdict
	Reason  Reason
}

// Load is the work of a target.
type Load struct {
	Outstanding int
	Queued      int
	// Slots is the number of slots open now.
	Slots int
}

// Target is the admission state of one target. It is not safe for concurrent
// use.
type Target struct {
	config      Config
	started     time.Time
	leaving     bool
	outstanding int
	queue       []Request // by priority, then in order of arrival
	took        average
	kinds       map[string]*estimate
}

// NewTarget returns the state of a cold target without work.
func NewTarget(config Config, now time.Time) *Target {
	return &Target{config: config, started: now, kinds: make(map[string]*estimate)}
}

// SetSlots changes the number of slots. Requests that run are not affected.
func (t *Target) SetSlots(slots int) { t.config.Slots = slots }

// Load returns the work at the time now.
func (t *Target) Load(now time.Time) Load {
	return Load{Outstanding: t.outstanding, Queued: len(t.queue), Slots: t.open(now)}
}

// Cold reports whether slots are still closed.
func (t *Target) Cold(now time.Time) bool { return now.Sub(t.started) < t.config.WarmUp }

// Available reports whether a request that arrives now would run at once.
func (t *Target) Available(now time.Time) bool {
	return !t.leaving && len(t.queue) == 0 && t.outstanding < t.open(now)
}

// open returns the number of slots open at the time now. They open evenly
// over the warm-up, the first one at once.
func (t *Target) open(now time.Time) int {
	if t.config.Slots <= 1 || !t.Cold(now) {
		return t.config.Slots
	}
	elapsed := max(now.Sub(t.started), 0)
	opened := int64(t.config.Slots-1) * int64(elapsed) / int64(t.config.WarmUp)
	return 1 + int(opened)
}

// Submit decides on a new request. The actions concern other requests, which
// lose their place in the queue.
func (t *Target) Submit(r Request, now time.Time) (Action, []Action) {
	switch {
	case t.leaving:
		return refuse(r, Leaving), nil
	case !now.Before(r.Deadline):
		return refuse(r, Expired), nil
	case t.Available(now):
		t.outstanding++
		return Action{ID: r.ID, Verdict: Run}, nil
	}
	place := t.place(r)
	if t.late(r, place, now) || place >= t.reserve(now) && t.useless(r, place, now) {
		return refuse(r, Overloaded), nil
	}
	return t.enqueue(r, place, now)
}

// enqueue puts the request behind those of its priority and above, and refuses
// those that can no longer be in time for it. When the queue is full, the
// youngest request of the lowest priority, which may be r, is refused.
func (t *Target) enqueue(r Request, place int, now time.Time) (Action, []Action) {
	var shed []Action
	if len(t.queue) >= t.config.QueueLength {
		last := len(t.queue) - 1
		if place > last {
			return refuse(r, Overloaded), nil
		}
		shed = append(shed, refuse(t.queue[last], Overloaded))
		t.queue = t.queue[:last]
	}
	t.queue = slices.Insert(t.queue, place, r)
	return Action{ID: r.ID, Verdict: Wait}, append(shed, t.shedLate(place+1, now)...)
}

// shedLate refuses the requests from a place in the queue on that would miss
// their deadlines.
func (t *Target) shedLate(from int, now time.Time) []Action {
	var shed []Action
	for i := from; i < len(t.queue); {
		if !t.late(t.queue[i], i, now) {
			i++
			continue
		}
		shed = append(shed, refuse(t.queue[i], Overloaded))
		t.queue = slices.Delete(t.queue, i, i+1)
	}
	return shed
}

// place returns the place in the queue of a request that arrives.
func (t *Target) place(r Request) int {
	place := len(t.queue)
	for place > 0 && t.queue[place-1].Priority < r.Priority {
		place--
	}
	return place
}

// late reports whether a request with ahead others before it would miss its
// deadline, judging by recent service times.
func (t *Target) late(r Request, ahead int, now time.Time) bool {
	return t.answered(r, ahead, now).After(r.Deadline)
}

// useless reports whether a request with ahead others before it would be answered
// after the time for which its answer is of full use.
func (t *Target) useless(r Request, ahead int, now time.Time) bool {
	return !r.SoftDeadline.IsZero() && t.answered(r, ahead, now).After(r.SoftDeadline)
}

// answered estimates when a request with ahead others before it is answered.
func (t *Target) answered(r Request, ahead int, now time.Time) time.Time {
	return now.Add(t.wait(ahead, now) + t.serviceTime(r.Class, now))
}

// reservePart is the part of the slots for which requests may wait that are late
// for full use: they keep the slots busy from one end to the next arrival.
const reservePart = 0.25

func (t *Target) reserve(now time.Time) int {
	return max(int(reservePart*float64(t.open(now))), 1)
}

// wait estimates the time until a request with ahead others before it runs: one
// of those that run has to end, and those ahead have to begin.
func (t *Target) wait(ahead int, now time.Time) time.Duration {
	work := t.took.value
	for _, r := range t.queue[:ahead] {
		work += t.serviceTime(r.Class, now)
	}
	return work / time.Duration(max(t.open(now), 1))
}

// serviceTime estimates how long a request of a kind runs. A kind that has not run
// yet takes no time, so that it is let in and becomes known.
func (t *Target) serviceTime(kind string, now time.Time) time.Duration {
	if known := t.kinds[kind]; known != nil {
		return known.faded(now)
	}
	return 0
}

// RetryAfter estimates when a refused request would find room.
func (t *Target) RetryAfter(now time.Time) time.Duration { return t.wait(len(t.queue), now) }

// Complete frees the slot of a request of a kind that ran for the duration took and
// decides on those that wait.
func (t *Target) Complete(kind string, took time.Duration, now time.Time) []Action {
	t.took.add(took)
	known := t.kinds[kind]
	if known == nil {
		t.forgetKind()
		known = &estimate{}
		t.kinds[kind] = known
	}
	known.add(took, now)
	return t.Release(now)
}

// maxKinds bounds the kinds whose service times are kept: more than the routes of a
// service that carry traffic at one time.
const maxKinds = 64

// forgetKind makes room for another kind: that which has not run for the longest
// time is forgotten.
func (t *Target) forgetKind() {
	if len(t.kinds) < maxKinds {
		return
	}
	oldest := ""
	for kind, known := range t.kinds {
		if oldest == "" || known.at.Before(t.kinds[oldest].at) {
			oldest = kind
		}
	}
	delete(t.kinds, oldest)
}

// Release frees the slot of a request that was not dispatched and decides on
// those that wait.
func (t *Target) Release(now time.Time) []Action {
	t.outstanding--
	return t.Tick(now)
}

// Tick decides on the requests that wait: slots may have opened and deadlines
// may have passed.
func (t *Target) Tick(now time.Time) []Action {
	var actions []Action
	for len(t.queue) > 0 {
		first := t.queue[0]
		expired := !now.Before(first.Deadline)
		if !expired && t.outstanding >= t.open(now) {
			break
		}
		t.queue = slices.Delete(t.queue, 0, 1)
		if expired {
			actions = append(actions, refuse(first, Expired))
			continue
		}
		t.outstanding++
		actions = append(actions, Action{ID: first.ID, Verdict: Run})
	}
	return actions
}

// Cancel removes a request from the queue and reports whether it waited.
func (t *Target) Cancel(id uint64) bool {
	i := slices.IndexFunc(t.queue, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	return true
}

// Leave refuses the requests that wait and all that arrive later.
func (t *Target) Leave() []Action {
	t.leaving = true
	actions := make([]Action, 0, len(t.queue))
	for _, r := range t.queue {
		actions = append(actions, refuse(r, Leaving))
	}
	t.queue = nil
	return actions
}

func refuse(r Request, reason Reason) Action {
	return Action{ID: r.ID, Verdict: Refuse, Reason: reason}
}
