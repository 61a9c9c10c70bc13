package telemetry

import (
	"testing"
	"time"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/entry"
)

// BenchmarkCall measures the recording of one request with a response, at its entry and its exit.
func BenchmarkCall(b *testing.B) {
	m, err := NewMetrics()
	if err != nil {
		b.Fatal(err)
	}
	next := new(countingObserver)
	c, err := NewRequestMetrics(m, next, next)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.ObserveAttempt(entry.Attempt{Service: "desk", Outcome: retry.Responded})
		c.ObserveQueueWait("desk", 0)
		c.ObserveRequest(entry.Result{Service: "desk", Outcome: retry.Responded, Duration: time.Millisecond})
	}
}
