package exit

import "time"

// withdrawal records the withdrawal of an incarnation of a target.
type withdrawal struct {
	incarnation uint64
	at          time.Time
}

// Withdraw removes a target. For withdrawalRetention, announcements of its incarnation or an
// earlier one are stale. Incarnations derive from start times in Unix milliseconds: if the target
// is unknown, announcements of incarnations up to the present time are stale.
func (e *Exit) Withdraw(instance string) {
	now := time.Now()
	e.mu.Lock()
	withdrawn := withdrawal{at: now, incarnation: uint64(now.UnixMilli())}
	if t := e.targets[instance]; t != nil {
		withdrawn.incarnation = t.Incarnation
		e.removeTarget(t)
	}
	e.withdrawals[instance] = withdrawn
	e.recordDeparture(instance, withdrawn.incarnation, now)
	e.mu.Unlock()
	e.notifyDeparture()
	e.notifyChange()
}
