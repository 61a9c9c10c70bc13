package daemon

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"

	"sassafrasnotch.example/coord/nested"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/telemetry"
)

// registerNestedMetrics creates the metrics of nested requests. docs/METRICS.md lists them.
func registerNestedMetrics(m *telemetry.Metrics, e *entry.Entry, parents *nested.Parents) error {
	meter := m.Meter("nested")
	requests, err := meter.Int64ObservableCounter("sassafras_calls_nested", metric.WithUnit("{call}"),
		metric.WithDescription("Calls that targets make while they run others, at this entry"))
	if err != nil {
		return err
	}
	perRun, err := meter.Float64ObservableGauge("sassafras_nested_calls_per_run",
		metric.WithDescription("Nested calls that a run of a route makes at targets on this host"))
	if err != nil {
		return err
	}
	refused, err := meter.Int64ObservableCounter("sassafras_dependency_refused", metric.WithUnit("{call}"),
		metric.WithDescription("Calls refused by this host because the nested calls of their route are refused"))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(requests, int64(e.NestedRequests()))
		now := time.Now()
		// Without a route, so that the metrics are served before the first nested request too.
		o.ObserveFloat64(perRun, 0, label(telemetry.FieldRoute, ""))
		o.ObserveInt64(refused, 0, label(telemetry.FieldRoute, ""))
		for _, route := range parents.Routes() {
			if calls := parents.CallsPerRun(route, now); calls > 0 {
				o.ObserveFloat64(perRun, calls, label(telemetry.FieldRoute, route))
			}
		}
		for route, count := range parents.Throttle.Refused() {
			o.ObserveInt64(refused, int64(count), label(telemetry.FieldRoute, route))
		}
		return nil
	}, requests, perRun, refused)
	return err
}
