package telemetry

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/entry"
)

// countingObserver counts the observations passed on to it.
type countingObserver struct{ requests, attempts int }

func (o *countingObserver) ObserveRequest(entry.Result)  { o.requests++ }
func (o *countingObserver) ObserveAttempt(entry.Attempt) { o.attempts++ }

func TestRequestsAreCountedByReason(t *testing.T) {
	is := is.New(t)
	m, err := NewMetrics()
	is.NoErr(err)
	next := new(countingObserver)
	c, err := NewRequestMetrics(m, next, next)
	is.NoErr(err)
	c.ObserveRequest(entry.Result{Service: "desk", Outcome: retry.Responded, Status: 200, Duration: time.Millisecond})
	for range 2 {
		c.ObserveRequest(entry.Result{Service: "desk", Outcome: retry.Refused, Reason: entry.ReasonOverloaded, Status: 503})
	}
	c.ObserveAttempt(entry.Attempt{Service: "desk", Outcome: retry.Unknown, Reason: entry.ReasonLost})
	c.ObserveQueueWait("desk", 30*time.Millisecond)
	is.Equal(*next, countingObserver{requests: 3, attempts: 1})

	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	page, err := io.ReadAll(recorder.Body)
	is.NoErr(err)
	for name, labels := range map[string][]string{
		"sassafras_calls_unserved_total":        {`outcome="refused"`, `reason="overloaded"`, `service="desk"`, " 2"},
		"sassafras_attempts_total":              {`outcome="unknown"`, `reason="lost"`, " 1"},
		"sassafras_call_duration_seconds_count": {`outcome="answered"`, " 1"},
		"sassafras_queue_wait_seconds_bucket":   {`le="0.05"`, `service="desk"`, " 1"},
	} {
		if !hasSeries(string(page), name, labels) {
			t.Errorf("no series %s with %v", name, labels)
		}
	}
}

// hasSeries reports whether a line of the metrics page starts with the name and contains all parts.
func hasSeries(page, name string, parts []string) bool {
	for _, line := range strings.Split(page, "\n") {
		if !strings.HasPrefix(line, name) {
			continue
		}
		found := true
		for _, part := range parts {
			found = found && strings.Contains(line, part)
		}
		if found {
			return true
		}
	}
	return false
}
