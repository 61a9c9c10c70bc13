package admission

import "time"

// SetRate limits the requests to a rate per second that the target names. Rates below minRate count as
// minRate. It returns the actions on queued requests.
func (t *Target) SetRate(rate float64, now time.Time) []Action {
	t.pacer.setRate(rate, now)
	return t.Tick(now)
}

// ClearRate ends the limit of SetRate and returns the actions on queued requests.
func (t *Target) ClearRate(now time.Time) []Action {
	t.pacer = pacer{cold: t.pacer.cold}
	return t.Tick(now)
}

// CountRepeat counts a request that reaches the target a second time on the same slot.
func (t *Target) CountRepeat(now time.Time) { t.pacer.take(now) }

// NextRun returns the time until the next queued request may run by the rate, or because the target has
// ended a request that was given up. It reports false if none is queued or a slot has to become free first.
func (t *Target) NextRun(now time.Time) (time.Duration, bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	if t.outstanding >= t.openSlots(now) {
		return t.nextRoom(now)
	}
	return t.pacer.delay(0, now), true
}

// RatedSlots returns the number of slots that the target can keep busy: all, or fewer if it names a
// rate or is cold.
func (t *Target) RatedSlots() int {
	slots := t.config.Slots
	if t.pacer.rate > 0 && t.service.initialized {
		slots = min(slots, busySlots(t.pacer.rate, t.service.value))
	}
	if rate := t.pacer.cold.rate; rate > 0 {
		service := coldServiceTime
		if t.service.initialized {
			service = t.service.value
		}
		slots = min(slots, busySlots(rate, service))
	}
	return slots
}

// mayRun reports whether a slot is free and the rate allows a request now.
func (t *Target) mayRun(now time.Time) bool {
	return t.outstanding < t.openSlots(now) && t.pacer.delay(0, now) == 0
}

// run counts a request that is sent to the target.
func (t *Target) run(r Request, now time.Time) {
	t.outstanding++
	t.flows.run(r.Tenant, t.cost(r.Class))
	t.pacer.take(now)
}
