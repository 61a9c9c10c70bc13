package exit

import (
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/admin"
)

// removalRetention is the time for which the removal of a target is remembered. It is longer than requests
// of a target usually last.
const removalRetention = time.Minute

// removal records that a target was removed, with an incarnation that may be announced again.
type removal struct {
	incarnation uint64
	at          time.Time
}

// gaveUp reports whether the connection of a dispatched request was given up at the deadline or because
// the caller left, so that the target may still run it.
func (c *callerRequest) gaveUp(r result) bool {
	if !c.dispatched || r.crashed {
		return false
	}
	return r.kind == callerGone || r.kind == outcomeUnknown && c.ctx.Err() != nil
}

// abandon frees the slot of a request that was given up. The caller holds e.mu.
func (e *Exit) abandon(c *callerRequest, elapsed time.Duration, now time.Time) {
	t := c.target
	e.deliver(t, t.admission.Abandon(c.head.Route, elapsed, c.deadline, now), now)
	e.observeHeldBack(t, now)
}

// observeHeldBack logs when a target begins and ends to get fewer requests than it has slots. The caller
// holds e.mu.
func (e *Exit) observeHeldBack(t *target, now time.Time) {
	if !e.conventions.SilentWhenFull {
		return
	}
	held := t.admission.Abandoned(now)
	if heldBack := held > t.Slots; heldBack != t.heldBack {
		t.heldBack = heldBack
		message := "target gets as many requests as it has slots again"
		if heldBack {
			message = "target may still hold requests that were given up, and gets fewer than it has slots"
		}
		e.log.Info(message, zap.String("instance", t.Instance), zap.Int("given up", held), zap.Int("slots", t.Slots))
	}
}

// inherited returns the number of requests that a target may hold although none was sent to it since it was
// added: those of an earlier process of this daemon, and those sent before the target was removed. A target
// that started later than this process holds none. The caller holds e.mu.
func (e *Exit) inherited(a admin.Announcement) int {
	removed, known := e.removedAt[a.Instance]
	startedHere := a.Incarnation > uint64(e.startedAt.UnixMilli())
	if startedHere && !(known && removed.incarnation == a.Incarnation) {
		return 0
	}
	return a.Slots
}

func (e *Exit) expireRemovals(now time.Time) {
	for instance, removed := range e.removedAt {
		if now.Sub(removed.at) > removalRetention {
			delete(e.removedAt, instance)
		}
	}
}
