package daemon

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/memory"
	"sassafrasnotch.example/mesh/clientmemory"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/telemetry"
)

// newClientMemory returns the memory that connections and requests of clients may hold.
func newClientMemory(s settings.Settings) *clientmemory.Memory {
	return clientmemory.New(s.Runtime.ClientMemory())
}

// registerMemoryMetrics creates the metrics of the memory for clients.
func registerMemoryMetrics(m *telemetry.Metrics, held *clientmemory.Memory) error {
	meter := m.Meter("memory")
	limit, err := meter.Int64ObservableGauge("sassafras_client_memory_limit", metric.WithUnit("By"), metric.WithDescription("Memory that connections and requests of clients may hold"))
	used, usedErr := meter.Int64ObservableGauge("sassafras_client_memory", metric.WithUnit("By"), metric.WithDescription("Memory that connections and requests of clients are counted to hold"))
	refused, refusedErr := meter.Int64ObservableCounter("sassafras_client_memory_refused", metric.WithUnit("{request}"), metric.WithDescription("Connections and requests that were refused for lack of memory"))
	closed, closedErr := meter.Int64ObservableCounter("sassafras_client_memory_closed", metric.WithUnit("{connection}"), metric.WithDescription("Connections that were closed because others needed their memory"))
	if err := errors.Join(err, usedErr, refusedErr, closedErr); err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		usage := held.Usage()
		o.ObserveInt64(limit, usage.Total)
		o.ObserveInt64(used, usage.Held)
		o.ObserveInt64(refused, int64(usage.Refused))
		o.ObserveInt64(closed, int64(usage.Closed))
		return nil
	}, limit, used, refused, closed)
	return err
}

// memoryLogInterval is the least time between two lines about a lack of memory.
const memoryLogInterval = 10 * time.Second

// memoryLog logs a lack of memory for clients, one line for all that happened since the one before.
type memoryLog struct {
	logger *zap.Logger
	last   memory.Usage
	at     time.Time
}

// observe logs what has been refused and closed since the last line.
func (l *memoryLog) observe(now time.Time, usage memory.Usage) {
	refused, closed := usage.Refused-l.last.Refused, usage.Closed-l.last.Closed
	if refused+closed == 0 || now.Sub(l.at) < memoryLogInterval {
		return
	}
	l.last, l.at = usage, now
	l.logger.Warn("memory for clients is short", zap.String("step", "bound memory"), zap.Uint64("refused", refused),
		zap.Uint64("closed", closed), zap.Int64("held", usage.Held), zap.Int64("limit", usage.Total))
}
