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

// told counts what the next observers hear.
type told struct{ calls, attempts int }

func (t *told) ObserveRequest(entry.Result)  { t.calls++ }
func (t *told) ObserveAttempt(entry.Attempt) { t.attempts++ }

func TestCallsAreCountedByReason(t *testing.T) {
	is := is.New(t)
	m, err := NewMetrics()
	is.NoErr(err)
	next := new(told)
	c, err := NewRequestMetrics(m, next, next)
	is.NoErr(err)
	c.ObserveRequest(entry.Result{Service: "desk", Outcome: retry.Responded, Status: 200, Duration: time.Millisecond})
	for range 2 {
		c.ObserveRequest(entry.Result{Service: "desk", Outcome: retry.Refused, Reason: entry.ReasonOverloaded, Status: 503})
	}
	c.ObserveAttempt(entry.Attempt{Service: "desk", Outcome: retry.Unknown, Reason: entry.ReasonLost})
	c.ObserveQueueWait("desk", 30*time.Millisecond)
	is.Equal(*next, told{calls: 3, attempts: 1})

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

// hasSeries reports whether a line of the page has the name and all parts.
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
