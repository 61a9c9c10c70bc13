package admission

import (
	"slices"
	"time"
)

const (
	// heldPerSlot bounds the requests that a target may hold, for each of its slots: those that hold a slot
	// here, those that were given up and those of an earlier process. Targets queue several requests for
	// each slot, so that enough room is left for probes and for daemons that restart again and again.
	heldPerSlot = 2
	// endServices is the number of mean service times within which a request that runs has ended.
	endServices = 2
)

// abandonedRequest is a request whose connection was given up and which the target may still run.
type abandonedRequest struct {
	class string
	at    time.Time
	until time.Time // when the target must have dropped or ended it
}

// heldRequests are the requests that a target may hold besides those with a slot. It answers targets that
// fall silent when full: one that can't queue a request never responds on that connection, so that none
// must be sent beyond its room.
type heldRequests struct {
	abandoned []abandonedRequest
	// inherited is the number of requests of an earlier process of the daemon.
	inherited int
}

// Abandon is Complete for a request whose connection was given up before the response was complete. The
// target may hold it until its deadline, or until it has run what it holds if that is sooner, and may run
// it for endServices service times from then on.
func (t *Target) Abandon(class string, duration time.Duration, deadline, now time.Time) []Action {
	if duration > t.ServiceTime(class) {
		t.recordService(class, duration, now) // it would have run for longer
	}
	if t.config.CountHeld {
		end := endServices * t.service.value
		ahead := t.outstanding + t.Abandoned(now) - 1
		starts := max(deadline.Sub(now), 0)
		if t.responded {
			starts = min(starts, end*time.Duration(ahead/max(t.config.Slots, 1)))
		}
		t.held.abandoned = append(t.held.abandoned, abandonedRequest{class: class, at: now, until: now.Add(starts + max(end, endServices*t.cost(class)))})
	}
	return t.Release(now)
}

// recordProgress applies what the response to a request that ran for the given time shows of those that
// the target holds: what it got before that request has begun.
func (t *Target) recordProgress(duration time.Duration, now time.Time) {
	t.held.inherited = max(t.held.inherited-1, 0)
	sent := now.Add(-duration)
	for i := range t.held.abandoned {
		a := &t.held.abandoned[i]
		ended := now.Add(endServices * t.cost(a.class))
		if !a.at.After(sent) && ended.Before(a.until) {
			a.until = ended
		}
	}
}

// Abandoned returns the number of requests, besides those that hold a slot, that the target may hold.
func (t *Target) Abandoned(now time.Time) int {
	t.held.abandoned = slices.DeleteFunc(t.held.abandoned, func(a abandonedRequest) bool { return !a.until.After(now) })
	return len(t.held.abandoned) + t.held.inherited
}

// heldRoom returns the number of requests that may hold a slot by the bound of heldPerSlot.
func (t *Target) heldRoom(now time.Time) int {
	if !t.config.CountHeld {
		return t.config.Slots
	}
	return heldPerSlot*t.config.Slots - t.Abandoned(now)
}

// nextRoom returns the time until the target has ended the next request that was given up. It reports false
// if no such request keeps a slot closed.
func (t *Target) nextRoom(now time.Time) (time.Duration, bool) {
	if len(t.held.abandoned) == 0 || t.outstanding >= t.warmSlots(now) || t.outstanding < t.heldRoom(now) {
		return 0, false
	}
	first := slices.MinFunc(t.held.abandoned, func(a, b abandonedRequest) int { return a.until.Compare(b.until) })
	return first.until.Sub(now), true
}
