package exit_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// tailTimeout is the time of the calls whose answers are still under way at its end.
const tailTimeout = 400 * time.Millisecond

// tailed calls a target that begins its answer at once and ends it when rest
// returns.
func tailed(b *bench, rest func(began time.Time, r *http.Request)) (body string, complete bool, took time.Duration) {
	began := time.Now()
	b.target(1, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "a swan ")
		_ = http.NewResponseController(w).Flush()
		rest(began, r)
		_, _ = io.WriteString(w, "of ice")
	})
	head := callHead(http.MethodGet, "/", "")
	head.TimeoutMicros = tailTimeout.Microseconds()
	stream := b.send(head)
	defer stream.Discard()
	body, complete, _ = whole(b.t, stream)
	return body, complete, time.Since(began)
}

// An answer that has begun by the deadline is delivered to its end.
func TestAnswerUnderWayAtTheDeadlineIsDelivered(t *testing.T) {
	is := is.New(t)
	body, complete, _ := tailed(newBench(t), func(began time.Time, _ *http.Request) {
		time.Sleep(time.Until(began.Add(tailTimeout + 30*time.Millisecond)))
	})
	is.True(complete)
	is.Equal(body, "a swan of ice")
}

// A target that does not end its answer is left soon after the deadline.
func TestAnswerWithoutAnEndIsCutSoonAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	left := make(chan time.Time, 1)
	_, complete, took := tailed(newBench(t), func(_ time.Time, r *http.Request) {
		<-r.Context().Done()
		left <- time.Now()
	})
	is.True(!complete)
	is.True(took >= tailTimeout)
	is.True(took < tailTimeout+500*time.Millisecond) // what a request may be held past its route's time
	<-left
}

// A caller that leaves during the tail of an answer ends it at once.
func TestCallerLeavesDuringTheTail(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	left := make(chan time.Time, 1)
	b.target(1, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		left <- time.Now()
	})
	head := callHead(http.MethodGet, "/", "")
	head.TimeoutMicros = patience.Microseconds()
	stream := b.send(head)
	_, ok := receive(t, stream).Body.(*peerpb.CallFrame_Answer)
	is.True(ok)
	gone := time.Now()
	stream.Discard()
	is.True((<-left).Sub(gone) < 500*time.Millisecond)
}
