package exit_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Guards against requests beyond what a target can hold that never responds to them: it may still hold one of
// an earlier process of the daemon, and one whose caller has left, so that no room is left in this test.
func TestRequestsThatTheTargetMayHoldCount(t *testing.T) {
	for _, silent := range []bool{true, false} {
		is := is.New(t)
		conventions := exit.DefaultConventions
		conventions.SilentWhenFull = silent
		fx := newFixtureOf(t, []exit.Option{exit.WithConventions(conventions)})
		var started atomic.Int64
		finish := make(chan struct{})
		end := sync.OnceFunc(func() { close(finish) })
		defer end()
		fx.target(1, func(http.ResponseWriter, *http.Request) {
			started.Add(1)
			<-finish
		})
		left := fx.send(requestHead(http.MethodGet, "/left", ""))
		fx.waitFor("the first request", func() bool { return started.Load() == 1 })
		left.Discard()
		fx.waitFor("the slot", func() bool { return fx.exit.VersionLoad("desk", "v1").Outstanding == 0 })
		head := requestHead(http.MethodGet, "/next", "")
		head.TimeoutMicros = (200 * time.Millisecond).Microseconds()
		frame := fx.roundTrip(head)
		if silent {
			is.Equal(frame.GetRefusal().GetReason(), peerpb.RefusalReason_REFUSAL_REASON_EXPIRED)
			is.Equal(started.Load(), int64(1))
		} else {
			is.Equal(started.Load(), int64(2))
		}
		end()
	}
}
