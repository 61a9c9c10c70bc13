package exit

import (
	"time"

	"sassafrasnotch.example/coord/admission"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/limitedconn"
)

// target is one announced process. Its fields are guarded by Exit.mu, except
// conns.
type target struct {
	admin.Announcement
	key         versionKey
	admission   *admission.Target
	waiters     map[uint64]chan admission.Action
	expires     time.Time
	coldUntil   time.Time // end of the cold period that the target states
	cold        coldState
	crashNumber uint64 // 0 until the target has crashed
	conns       *targetPool
	// namedRate is the number of requests per second that the target takes by its latest response, nil
	// if it names none.
	namedRate *float64
	// reportedSlots is the number of slots that other hosts count on. It follows the rate as of when the
	// target named it, since each change is told to all hosts.
	reportedSlots int
	// runScheduled is set while a timer is to run the next queued request.
	runScheduled bool
	// heldBack is set while fewer requests than slots are sent because of those that were given up.
	heldBack bool
}

func newTarget(a admin.Announcement, config admission.Config, limit *limitedconn.Limit, now time.Time) *target {
	return &target{
		Announcement:  a,
		key:           versionKey{a.Service, a.Version},
		admission:     admission.NewTarget(config, now),
		reportedSlots: a.Slots,
		waiters:       make(map[uint64]chan admission.Action),
		conns:         newTargetPool(a.Address, a.Slots, limit),
	}
}

// deliver passes the decisions of admission control to the queued requests.
func (t *target) deliver(actions []admission.Action) {
	for _, action := range actions {
		t.waiters[action.ID] <- action
		delete(t.waiters, action.ID)
	}
}

func (t *target) startLeaving() {
	t.Leaving = true
	t.deliver(t.admission.Leave())
}

func (t *target) stateAt(now time.Time) gossip.TargetState {
	switch {
	case t.Leaving:
		return gossip.TargetLeaving
	case now.Before(t.coldUntil) || t.admission.ColdRate() > 0 || t.admission.Cold(now):
		return gossip.TargetCold
	}
	return gossip.TargetReady
}
