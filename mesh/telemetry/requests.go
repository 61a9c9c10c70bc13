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

// durationBuckets are the bucket bounds of the histograms, in seconds.
var durationBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// seriesKey identifies a series of the counters and histograms by its labels.
type seriesKey struct {
	service string
	outcome retry.Outcome
	reason  entry.Reason
}

// RequestMetrics records requests, attempts and waits in the queues of targets as metrics. It is an
// entry.RequestObserver and an entry.AttemptObserver, and safe for concurrent use.
type RequestMetrics struct {
	duration metric.Float64Histogram // of requests, by service and outcome
	unserved metric.Int64Counter     // requests without a response, by service, outcome and reason
	attempts metric.Int64Counter     // by service, outcome and reason
	queued   metric.Float64Histogram // wait for a slot, by service
	tenants  *tenantMetrics

	labelSets sync.Map // seriesKey to metric.MeasurementOption
	// The next observers receive each result or attempt after it is recorded.
	nextRequest entry.RequestObserver
	nextAttempt entry.AttemptObserver
}

// NewRequestMetrics creates the instruments on the meter "entry". The result passes each result
// and attempt on to the given observers.
func NewRequestMetrics(m *Metrics, requests entry.RequestObserver, attempts entry.AttemptObserver) (*RequestMetrics, error) {
	c := &RequestMetrics{nextRequest: requests, nextAttempt: attempts}
	meter := m.Meter("entry")
	var createErr error
	histogram := func(name, description string) metric.Float64Histogram {
		instrument, err := meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
			metric.WithExplicitBucketBoundaries(durationBuckets...))
		if err != nil {
			createErr = err
		}
		return instrument
	}
	counter := func(name, unit, description string) metric.Int64Counter {
		instrument, err := meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
		if err != nil {
			createErr = err
			return instrument
		}
		instrument.Add(context.Background(), 0) // exports the counter before the first observation
		return instrument
	}
	c.duration = histogram("sassafras_call_duration", "Time from a caller's request to the end of its response")
	c.queued = histogram("sassafras_queue_wait", "Time that a request waited for a slot of a target on this host")
	c.unserved = counter("sassafras_calls_unserved", "{call}", "Requests without a response from a target, by reason")
	c.attempts = counter("sassafras_attempts", "{attempt}", "Attempts at hosts, by outcome and reason")
	c.tenants = newTenantMetrics(counter("sassafras_tenant_requests", "{request}", "Requests on routes, by tenant and result, where the configuration has tenants"))
	return c, createErr
}

// ObserveRequest implements entry.RequestObserver.
func (c *RequestMetrics) ObserveRequest(result entry.Result) {
	c.duration.Record(context.Background(), result.Duration.Seconds(), c.labels(seriesKey{service: result.Service, outcome: result.Outcome}))
	if result.Outcome != retry.Responded {
		c.unserved.Add(context.Background(), 1, c.labels(seriesKey{result.Service, result.Outcome, result.Reason}))
	}
	c.tenants.observe(&result)
	c.nextRequest.ObserveRequest(result)
}

// ObserveAttempt implements entry.AttemptObserver.
func (c *RequestMetrics) ObserveAttempt(attempt entry.Attempt) {
	c.attempts.Add(context.Background(), 1, c.labels(seriesKey{attempt.Service, attempt.Outcome, attempt.Reason}))
	c.nextAttempt.ObserveAttempt(attempt)
}

// ObserveQueueWait records the time that a request waited for a slot of a target on this host.
func (c *RequestMetrics) ObserveQueueWait(service string, wait time.Duration) {
	c.queued.Record(context.Background(), wait.Seconds(), c.labels(seriesKey{service: service, outcome: noOutcome}))
}

// noOutcome is the outcome in the key of a series that has only the service as a label.
const noOutcome retry.Outcome = -1

// labels returns the labels of a series. They are cached, because every request needs them.
func (c *RequestMetrics) labels(key seriesKey) metric.MeasurementOption {
	if cached, ok := c.labelSets.Load(key); ok {
		return cached.(metric.MeasurementOption)
	}
	attributes := []attribute.KeyValue{attribute.String(FieldService, key.service)}
	if key.outcome != noOutcome {
		attributes = append(attributes, attribute.String("outcome", key.outcome.String()))
	}
	if key.reason != "" {
		attributes = append(attributes, attribute.String("reason", string(key.reason)))
	}
	cached, _ := c.labelSets.LoadOrStore(key, metric.WithAttributeSet(attribute.NewSet(attributes...)))
	return cached.(metric.MeasurementOption)
}
