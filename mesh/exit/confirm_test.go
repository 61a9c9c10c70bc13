package exit_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Guards against a request that runs although its entry was never heard again: an entry that is cut off
// reports it as not run and sends it elsewhere.
func TestUnconfirmedRequestIsNotDispatched(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	var runs atomic.Int64
	fx.target(1, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	head := requestHead(http.MethodPost, "/", "swan")
	head.Confirm = true

	left := fx.send(head)
	is.True(receive(t, left).GetReady() != nil)
	left.Discard() // as when the entry dies
	fx.waitForLoad(exit.Load{Slots: 1})

	silent := fx.send(head)
	defer silent.Discard()
	is.True(receive(t, silent).GetReady() != nil)
	is.Equal(receive(t, silent).GetRefusal().GetReason(), peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED)
	fx.waitForLoad(exit.Load{Slots: 1})
	is.Equal(runs.Load(), int64(0))

	// Two on one connection: the frame that allows the dispatch must not be left for the next request.
	for range 2 {
		confirmed := fx.send(head)
		is.True(receive(t, confirmed).GetReady() != nil)
		is.NoErr(confirmed.Send(&peerpb.CallFrame{Attempt: fx.attempt, Body: &peerpb.CallFrame_Go{Go: &peerpb.CallGo{}}}))
		is.True(receive(t, confirmed).GetAnswer() != nil)
		confirmed.Release()
		fx.waitForLoad(exit.Load{Slots: 1})
	}
	is.Equal(runs.Load(), int64(2))
}

// The close of the entry must cancel a request also after it was confirmed.
func TestConfirmedRequestIsCancelledWithItsEntry(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	started, cancelled := make(chan struct{}), make(chan struct{})
	fx.target(1, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	head := requestHead(http.MethodGet, "/", "")
	head.Confirm = true
	stream := fx.send(head)
	is.True(receive(t, stream).GetReady() != nil)
	is.NoErr(stream.Send(&peerpb.CallFrame{Attempt: fx.attempt, Body: &peerpb.CallFrame_Go{Go: &peerpb.CallGo{}}}))
	<-started
	stream.Discard()
	<-cancelled
}
