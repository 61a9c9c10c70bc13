package entry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// asks returns a host that asks before it dispatches, and does next once it is allowed.
func asks(next hostHandler) hostHandler {
	return func(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
		if head.GetConfirm() {
			_ = stream.Send(&peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_Ready{Ready: &peerpb.CallReady{}}})
			frame := new(peerpb.CallFrame)
			if stream.Receive(frame) != nil || frame.GetGo() == nil || frame.GetAttempt() != attempt {
				return
			}
		}
		next(stream, head, attempt)
	}
}

// Guards against a 502 for an unsafe request that reached no target, and against a second run of one
// that may have reached one.
func TestUnconfirmedRequestIsTriedElsewhere(t *testing.T) {
	tests := []struct {
		name       string
		first      hostHandler
		honours    bool // the hosts' daemons know the question
		status     int
		outcome    retry.Outcome
		dispatched int
	}{
		{"lost before the dispatch", closesStream, true, 200, retry.Responded, 2},
		{"silent before the dispatch", neverResponds, true, 200, retry.Responded, 2},
		{"lost after the dispatch", asks(closesStream), true, 502, retry.Unknown, 1},
		{"confirmed", asks(respondsWith(200, "")), true, 200, retry.Responded, 1},
		{"older release", closesStream, false, 502, retry.Unknown, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			settings := testSettings()
			settings.ConfirmDispatch = true
			f := newFixture(t, settings, nil, twoHosts(test.first, asks(respondsWith(200, ""))))
			f.hosts.confirm = test.honours
			recorder := f.serveRecorded(httptest.NewRequest("POST", "/order", strings.NewReader("swan")))
			is.Equal(recorder.Code, test.status)
			is.Equal(recorder.Header().Get(HeaderOutcome), test.outcome.String())
			is.Equal(f.hosts.dispatched(), test.dispatched)
		})
	}
}

// Idempotent requests may be repeated: they are not delayed by a question.
func TestIdempotentRequestsAreNotConfirmed(t *testing.T) {
	is := is.New(t)
	settings := testSettings()
	settings.ConfirmDispatch = true
	f := newFixture(t, settings, nil, map[string]hostHandler{"a0": asks(respondsWith(200, ""))})
	f.hosts.confirm = true
	is.Equal(f.serveRecorded(httptest.NewRequest("GET", "/catalog", nil)).Code, 200)
	is.True(!f.hosts.heads[0].GetConfirm())
}
