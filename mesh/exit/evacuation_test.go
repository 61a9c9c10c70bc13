package exit_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Guards against requests that reach a target of an evacuated zone from the queue or from an entry that has
// not heard of the evacuation, and against refusals that cost the entry a retry.
func TestEvacuatedHostRefusesQueuedAndNewRequests(t *testing.T) {
	is := is.New(t)
	var executions atomic.Int64
	fx, free := newOccupiedFixture(t, 2, &executions)
	queued := fx.send(requestHead(http.MethodGet, "/second", ""))
	defer queued.Discard()
	fx.waitForLoad(exit.Load{Outstanding: 1, Queued: 1, Slots: 1})
	fx.exit.SetEvacuated(true)
	for _, refusal := range []*peerpb.Refusal{receive(t, queued).GetRefusal(), fx.roundTrip(requestHead(http.MethodGet, "/third", "")).GetRefusal()} {
		is.Equal(refusal.GetReason(), peerpb.RefusalReason_REFUSAL_REASON_LEAVING)
		is.True(refusal.GetByAdmission())
	}
	free() // the request that runs is answered
	is.Equal(executions.Load(), int64(1))
	fx.exit.SetEvacuated(false)
	is.True(fx.roundTrip(requestHead(http.MethodGet, "/fourth", "")).GetAnswer() != nil)
}
