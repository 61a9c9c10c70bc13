package exit_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/clientmemory"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Guards against a request that is refused for lack of memory and dispatched all the same.
func TestRequestWithoutMemoryIsNotDispatched(t *testing.T) {
	is := is.New(t)
	held := clientmemory.New(64 << 10)
	fx := newFixtureOf(t, []exit.Option{exit.WithMemory(held)})
	var served atomic.Int64
	fx.target(4, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	release, granted := held.Hold(60 << 10)
	is.True(granted)
	refusal := fx.roundTrip(requestHead(http.MethodGet, "/", "")).GetRefusal()
	is.Equal(refusal.GetReason(), peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED)
	is.True(refusal.GetByAdmission())
	is.Equal(served.Load(), int64(0))
	release()
	is.True(fx.roundTrip(requestHead(http.MethodGet, "/", "")).GetAnswer() != nil)
	is.Equal(served.Load(), int64(1))
}
