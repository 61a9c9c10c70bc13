package telemetry

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/entry"
)

// callBuckets are the bounds of the histograms of calls, in seconds.
var callBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// callKey is what calls and attempts are counted by.
type callKey struct {
	service string
	outcome retry.Outcome
	reason  entry.Reason
}

// RequestMetrics records calls, attempts and waits in queues. It is an
// entry.RequestObserver and an entry.AttemptObserver, and safe for concurrent use.
type RequestMetrics struct {
	duration metric.Float64Histogram // of calls, by service and outcome
	unserved metric.Int64Counter     // calls without an answer, by reason too
	attempts metric.Int64Counter     // by service, outcome and reason
	queued   metric.Float64Histogram // by service

	options sync.Map // callKey to metric.MeasurementOption
	calls   entry.RequestObserver
	next    entry.AttemptObserver
}

// NewRequestMetrics returns observers that also tell those given.
func NewRequestMetrics(m *Metrics, calls entry.RequestObserver, attempts entry.AttemptObserver) (*RequestMetrics, error) {
	c := &RequestMetrics{calls: calls, next: attempts}
	meter := m.Meter("entry")
	var failed error
	histogram := func(name, description string) metric.Float64Histogram {
		instrument, err := meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
			metric.WithExplicitBucketBoundaries(callBuckets...))
		if err != nil {
			failed = err
		}
		return instrument
	}
	counter := func(name, unit, description string) metric.Int64Counter {
		instrument, err := meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
		if err != nil {
			failed = err
			return instrument
		}
		instrument.Add(context.Background(), 0) // served from the start
		return instrument
	}
	c.duration = histogram("sassafras_call_duration", "Time from a caller's request to the end of its answer")
	c.queued = histogram("sassafras_queue_wait", "Time for which a call waited for a slot of a target on this host")
	c.unserved = counter("sassafras_calls_unserved", "{call}", "Calls that no target answered, by reason")
	c.attempts = counter("sassafras_attempts", "{attempt}", "Attempts at hosts by outcome and reason")
	return c, failed
}

// ObserveRequest implements entry.RequestObserver.
func (c *RequestMetrics) ObserveRequest(told entry.Result) {
	c.duration.Record(context.Background(), told.Duration.Seconds(), c.option(callKey{service: told.Service, outcome: told.Outcome}))
	if told.Outcome != retry.Responded {
		c.unserved.Add(context.Background(), 1, c.option(callKey{told.Service, told.Outcome, told.Reason}))
	}
	c.calls.ObserveRequest(told)
}

// ObserveAttempt implements entry.AttemptObserver.
func (c *RequestMetrics) ObserveAttempt(attempt entry.Attempt) {
	c.attempts.Add(context.Background(), 1, c.option(callKey{attempt.Service, attempt.Outcome, attempt.Reason}))
	c.next.ObserveAttempt(attempt)
}

// ObserveQueueWait records how long a call waited at a target on this host.
func (c *RequestMetrics) ObserveQueueWait(service string, wait time.Duration) {
	c.queued.Record(context.Background(), wait.Seconds(), c.option(callKey{service: service, outcome: noOutcome}))
}

// noOutcome is the outcome of what is counted by service alone.
const noOutcome retry.Outcome = -1

// option returns the attributes of a key. They are built once, as every call needs
// them.
func (c *RequestMetrics) option(key callKey) metric.MeasurementOption {
	if found, ok := c.options.Load(key); ok {
		return found.(metric.MeasurementOption)
	}
	attributes := []attribute.KeyValue{attribute.String(FieldService, key.service)}
	if key.outcome != noOutcome {
		attributes = append(attributes, attribute.String("outcome", key.outcome.String()))
	}
	if key.reason != "" {
		attributes = append(attributes, attribute.String("reason", string(key.reason)))
	}
	found, _ := c.options.LoadOrStore(key, metric.WithAttributeSet(attribute.NewSet(attributes...)))
	return found.(metric.MeasurementOption)
}
