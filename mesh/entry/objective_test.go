package entry

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Guards against an objective that begins anew with each attempt: a host would queue a request for as long
// as if it had just arrived.
func TestObjectiveCountsFromTheArrival(t *testing.T) {
	const objective, firstAttempt = 10 * time.Second, 50 * time.Millisecond
	tests := []struct {
		name            string
		objective       time.Duration
		atLeast, atMost time.Duration // of the second attempt
	}{
		{name: "an objective", objective: objective, atLeast: time.Second, atMost: objective - firstAttempt},
		{name: "an objective that has passed", objective: firstAttempt / 2, atLeast: time.Microsecond, atMost: time.Microsecond},
		{name: "no objective"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, testSettings(), nil, twoHosts(
				func(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
					time.Sleep(firstAttempt)
					refusesWith(peerpb.RefusalReason_REFUSAL_REASON_NO_TARGET)(stream, head, attempt)
				},
				respondsWith(200, "done"),
			))
			f.configuration.Store(applyChange(t, f.configuration.Load(), revision.Resource{Route: &revision.Route{
				Name: "catalog", Service: "orders", Prefix: "/catalog", Repeat: revision.RepeatIdempotent, Objective: revision.Duration(test.objective),
			}}))
			is.Equal(f.serveRecorded(httptest.NewRequest("GET", "/catalog", nil)).Code, 200)
			is.Equal(len(f.hosts.heads), 2)
			left := time.Duration(f.hosts.heads[1].ObjectiveMicros) * time.Microsecond
			is.True(left >= test.atLeast && left <= test.atMost)
		})
	}
}
