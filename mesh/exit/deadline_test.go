package exit_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// requestTimeout is the timeout of the requests whose responses are still being sent at the
// deadline.
const requestTimeout = 400 * time.Millisecond

// serveTwoPartResponse sends a request to a target that begins its response at once and ends it
// when waitToFinish returns.
func serveTwoPartResponse(fx *fixture, waitToFinish func(began time.Time, r *http.Request)) (body string, complete bool, elapsed time.Duration) {
	began := time.Now()
	fx.target(1, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "a swan ")
		_ = http.NewResponseController(w).Flush()
		waitToFinish(began, r)
		_, _ = io.WriteString(w, "of ice")
	})
	head := requestHead(http.MethodGet, "/", "")
	head.TimeoutMicros = requestTimeout.Microseconds()
	stream := fx.send(head)
	defer stream.Discard()
	body, complete, _ = receiveResponse(fx.t, stream)
	return body, complete, time.Since(began)
}

// Guards against a response that has begun by the deadline and is truncated at it.
func TestAnswerUnderWayAtTheDeadlineIsDelivered(t *testing.T) {
	is := is.New(t)
	body, complete, _ := serveTwoPartResponse(newFixture(t), func(began time.Time, _ *http.Request) {
		time.Sleep(time.Until(began.Add(requestTimeout + 30*time.Millisecond)))
	})
	is.True(complete)
	is.Equal(body, "a swan of ice")
}

// Guards against a target that does not end its response and holds the request long past the
// deadline.
func TestUnfinishedResponseEndsSoonAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan time.Time, 1)
	_, complete, elapsed := serveTwoPartResponse(newFixture(t), func(_ time.Time, r *http.Request) {
		<-r.Context().Done()
		cancelled <- time.Now()
	})
	is.True(!complete)
	is.True(elapsed >= requestTimeout)
	is.True(elapsed < requestTimeout+500*time.Millisecond) // bound on holding a request past its timeout
	<-cancelled
}

// Guards against a request that continues at the target after the caller has left during the
// response.
func TestCallerCloseEndsAStreamingResponse(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	cancelled := make(chan time.Time, 1)
	fx.target(1, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		cancelled <- time.Now()
	})
	head := requestHead(http.MethodGet, "/", "")
	head.TimeoutMicros = waitLimit.Microseconds()
	stream := fx.send(head)
	_, ok := receive(t, stream).Body.(*peerpb.CallFrame_Answer)
	is.True(ok)
	closedAt := time.Now()
	stream.Discard()
	is.True((<-cancelled).Sub(closedAt) < 500*time.Millisecond)
}
