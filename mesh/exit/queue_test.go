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
	b := newFixture(t, func(s *settings.Settings) { s.Exit.QueueLength = queue })
	started, finish := make(chan struct{}), make(chan struct{})
	b.target(1, func(_ http.ResponseWriter, r *http.Request) {
		executions.Add(1)
		if r.URL.Path == "/first" {
			close(started)
			<-finish
		}
	})
	stream := b.send(requestHead(http.MethodGet, "/first", ""))
	t.Cleanup(stream.Discard)
	<-started
	return b, func() {
		close(finish)
		receive(t, stream)
	}
}

func TestQueuedRequestRunsWhenASlotIsFree(t *testing.T) {
	is := is.New(t)
	var executions atomic.Int64
	b, free := newOccupiedFixture(t, 1, &executions)
	queued := b.send(requestHead(http.MethodGet, "/second", ""))
	defer queued.Discard()
	b.waitForLoad(exit.Load{Outstanding: 1, Queued: 1, Slots: 1})
	refusal := b.roundTrip(requestHead(http.MethodGet, "/third", "")).GetRefusal()
	is.Equal(refusal.GetReason(), peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED)
	is.Equal(refusal.Load.Queued, int32(1))
	free()
	is.True(receive(t, queued).GetAnswer() != nil)
	is.Equal(executions.Load(), int64(2))
}

func TestQueuedRequestThatExpiresIsNotDispatched(t *testing.T) {
	is := is.New(t)
	var executions atomic.Int64
	b, free := newOccupiedFixture(t, 1, &executions)
	head := requestHead(http.MethodGet, "/second", "")
	head.TimeoutMicros = (50 * time.Millisecond).Microseconds()
	is.Equal(b.roundTrip(head).GetRefusal().GetReason(), peerpb.RefusalReason_REFUSAL_REASON_EXPIRED)
	free()
	b.waitForLoad(exit.Load{Slots: 1})
	is.Equal(executions.Load(), int64(1))
}

func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	is := is.New(t)
	var executions atomic.Int64
	b, free := newOccupiedFixture(t, 1, &executions)
	done := make(chan error, 1)
	go func() { done <- b.exit.Drain(context.Background()) }()
	b.waitForRefusal(peerpb.RefusalReason_REFUSAL_REASON_LEAVING)
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
func (b *fixture) waitFor(what string, condition func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			b.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (b *fixture) waitForLoad(want exit.Load) {
	b.t.Helper()
	b.waitFor("load", func() bool { return b.exit.VersionLoad("desk", "v1") == want })
}

func (b *fixture) waitForRefusal(reason peerpb.RefusalReason) {
	b.t.Helper()
	b.waitFor("refusal", func() bool {
		head := requestHead(http.MethodGet, "/probe", "")
		head.TimeoutMicros = time.Millisecond.Microseconds()
		return b.roundTrip(head).GetRefusal().GetReason() == reason
	})
}
