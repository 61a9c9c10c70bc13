package telemetry

import (
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics is a meter provider with a Prometheus endpoint. Each instance has a registry of its own.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
}

// NewMetrics returns a meter provider without instruments.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("telemetry: create the Prometheus exporter: %w", err)
	}
	return &Metrics{
		registry: registry,
		provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)),
	}, nil
}

// Meter returns the meter of a component.
func (m *Metrics) Meter(name string) metric.Meter { return m.provider.Meter(name) }

// Handler returns a handler that serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
