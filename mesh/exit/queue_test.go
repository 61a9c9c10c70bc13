package exit_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

// newOccupiedFixture returns a fixture whose only slot is occupied, and a function that
// frees it.
func newOccupiedFixture(t *testing.T, queue int, executions *atomic.Int64) (*fixture, func()) {
	fx := newFixture(t, func(s *settings.Settings) { s.Exit.QueueLength = queue })
	started, finish := make(chan struct{}), make(chan struct{})
	fx.target(1, func(_ http.ResponseWriter, r *http.Request) {
		executions.Add(1)
		if r.URL.Path == "/first" {
			close(started)
			<-finish
		}
	})
	stream := fx.send(requestHead(http.MethodGet, "/first", ""))
	t.Cleanup(stream.Discard)
	<-started
	return fx, func() {
		close(finish)
		receive(t, stream)
	}
}

func TestQueuedRequestRunsWhenASlotIsFree(t *testing.T) {
	is := is.New(t)
	var executions atomic.Int64
	fx, free := newOccupiedFixture(t, 1, &executions)
	queued := fx.send(requestHead(http.MethodGet, "/second", ""))
	defer queued.Discard()
	fx.waitForLoad(exit.Load{Outstanding: 1, Queued: 1, Slots: 1})
	refusal := fx.roundTrip(requestHead(http.MethodGet, "/third", "")).GetRefusal()
	is.Equal(refusal.GetReason(), peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED)
	is.Equal(refusal.Load.Queued, int32(1))
	free()
	is.True(receive(t, queued).GetAnswer() != nil)
	is.Equal(executions.Load(), int64(2))
}

func TestQueuedRequestThatExpiresIsNotDispatched(t *testing.T) {
	is := is.New(t)
	var executions atomic.Int64
	fx, free := newOccupiedFixture(t, 1, &executions)
	head := requestHead(http.MethodGet, "/second", "")
	head.TimeoutMicros = (50 * time.Millisecond).Microseconds()
	is.Equal(fx.roundTrip(head).GetRefusal().GetReason(), peerpb.RefusalReason_REFUSAL_REASON_EXPIRED)
	free()
	fx.waitForLoad(exit.Load{Slots: 1})
	is.Equal(executions.Load(), int64(1))
}

func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	is := is.New(t)
	var executions atomic.Int64
	fx, free := newOccupiedFixture(t, 1, &executions)
	done := make(chan error, 1)
	go func() { done <- fx.exit.Drain(context.Background()) }()
	fx.waitForRefusal(peerpb.RefusalReason_REFUSAL_REASON_LEAVING)
	select {
	case <-done:
		t.Fatal("Drain returned while a request was in flight")
	default:
	}
	free()
	is.NoErr(<-done)
	is.Equal(executions.Load(), int64(1))
}

// waitFor waits until the condition holds, and fails the test after waitLimit.
func (fx *fixture) waitFor(what string, condition func() bool) {
	fx.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			fx.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (fx *fixture) waitForLoad(want exit.Load) {
	fx.t.Helper()
	fx.waitFor("load", func() bool { return fx.exit.VersionLoad("desk", "v1") == want })
}

func (fx *fixture) waitForRefusal(reason peerpb.RefusalReason) {
	fx.t.Helper()
	fx.waitFor("refusal", func() bool {
		head := requestHead(http.MethodGet, "/probe", "")
		head.TimeoutMicros = time.Millisecond.Microseconds()
		return fx.roundTrip(head).GetRefusal().GetReason() == reason
	})
}

// A request that can be offered to other hosts does not wait here.
func TestOfferIsRefusedWithoutAFreeSlot(t *testing.T) {
	is := is.New(t)
	var executions atomic.Int64
	fx, free := newOccupiedFixture(t, 1, &executions)
	head := requestHead(http.MethodGet, "/probe", "")
	head.MaxWaitMicros = new(int64)
	refusal := fx.roundTrip(head).GetRefusal()
	is.Equal(refusal.GetReason(), peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED)
	is.True(refusal.GetByAdmission())
	free()
	fx.waitForLoad(exit.Load{Slots: 1})
	is.True(fx.roundTrip(head).GetAnswer() != nil)
	is.Equal(executions.Load(), int64(2))
}
