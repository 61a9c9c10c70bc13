package daemon

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sassafrasnotch.example/mesh/adapter"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/telemetry"
)

// gauges are the metrics that are read from the daemon's view when they are
// asked for.
type gauges struct {
	viewer   *viewer
	platform adapter.Usage
	server   *entry.Server
	entry    *entry.Entry
	log      *telemetry.Log

	age, retriesLeft               metric.Float64ObservableGauge
	queued                         metric.Int64ObservableGauge
	platformFailures               metric.Int64ObservableCounter
	applied, head, reachable       metric.Int64ObservableGauge
	members, targets, outstanding  metric.Int64ObservableGauge
	moves, connections             metric.Int64ObservableGauge
	controlBytes, platformRequests metric.Int64ObservableCounter
	droppedLines                   metric.Int64ObservableCounter
}

// registerMetrics creates the daemon's metrics. docs/METRICS.md lists them.
func registerMetrics(m *telemetry.Metrics, v *viewer, a adapter.Adapter, server *entry.Server, e *entry.Entry, log *telemetry.Log) error {
	meter := m.Meter("daemon")
	g := &gauges{viewer: v, platform: a.Usage, server: server, entry: e, log: log}
	var failed error
	gauge := func(name, description string) metric.Int64ObservableGauge {
		instrument, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		if err != nil {
			failed = err
		}
		return instrument
	}
	counter := func(name, unit, description string) metric.Int64ObservableCounter {
		instrument, err := meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(description))
		if err != nil {
			failed = err
		}
		return instrument
	}
	amount := func(name, unit, description string) metric.Float64ObservableGauge {
		instrument, err := meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
		if err != nil {
			failed = err
		}
		return instrument
	}
	g.age = amount("sassafras_configuration_age", "s", "Time since the configuration in force was applied")
	g.retriesLeft = amount("sassafras_retries_left", "{retry}", "Retries that the budget of a service holds")
	g.queued = gauge("sassafras_target_queued", "Requests that wait for a slot of targets on this host")
	g.platformFailures = counter("sassafras_platform_failures", "{request}", "Operations at the platform that failed, by kind")
	g.applied = gauge("sassafras_revision_applied", "Configuration revision in force")
	g.head = gauge("sassafras_revision_head", "Newest configuration revision known to exist")
	g.reachable = gauge("sassafras_platform_reachable", "1 if the last exchange with the platform worked, else 0")
	g.members = gauge("sassafras_members", "Known daemons by zone and status")
	g.targets = gauge("sassafras_targets", "Targets on this host by service, version and state")
	g.outstanding = gauge("sassafras_target_outstanding", "Requests that run at targets on this host")
	g.moves = gauge("sassafras_moves_held", "Running moves that this host controls")
	g.connections = gauge("sassafras_caller_connections", "Open connections of callers")
	g.controlBytes = counter("sassafras_control_bytes", "By", "Bytes spent on control by direction")
	g.platformRequests = counter("sassafras_platform_requests", "{request}", "Operations started at the platform by kind")
	g.droppedLines = counter("sassafras_log_dropped", "{line}", "Log lines dropped because the output was not read")
	if failed != nil {
		return failed
	}
	_, err := meter.RegisterCallback(g.observe, g.age, g.retriesLeft, g.queued, g.platformFailures, g.applied, g.head, g.reachable, g.members, g.targets,
		g.outstanding, g.moves, g.connections, g.controlBytes, g.platformRequests, g.droppedLines)
	return err
}

// observe reads everything once.
func (g *gauges) observe(_ context.Context, o metric.Observer) error {
	status := g.viewer.Status()
	o.ObserveInt64(g.applied, int64(status.Applied))
	o.ObserveInt64(g.head, int64(status.LatestRevision))
	o.ObserveInt64(g.reachable, boolean(status.PlatformReachable))
	o.ObserveInt64(g.moves, int64(len(status.Controllers)))
	o.ObserveInt64(g.connections, int64(g.server.Connections()))
	g.observeMembers(o, status.Members)
	g.observeTargets(o, status)
	o.ObserveInt64(g.controlBytes, int64(status.ControlBytes.Sent), label("direction", "sent"))
	o.ObserveInt64(g.controlBytes, int64(status.ControlBytes.Received), label("direction", "received"))
	reads, writes := g.platform.Operations()
	o.ObserveInt64(g.platformRequests, int64(reads), label("kind", "read"))
	o.ObserveInt64(g.platformRequests, int64(writes), label("kind", "write"))
	reads, writes = g.platform.Failures()
	o.ObserveInt64(g.platformFailures, int64(reads), label("kind", "read"))
	o.ObserveInt64(g.platformFailures, int64(writes), label("kind", "write"))
	if !status.AppliedAt.IsZero() {
		o.ObserveFloat64(g.age, time.Since(status.AppliedAt).Seconds())
	}
	for service, left := range g.entry.RemainingRetries() {
		o.ObserveFloat64(g.retriesLeft, left, label(telemetry.FieldService, service))
	}
	o.ObserveInt64(g.droppedLines, int64(g.log.Dropped()))
	return nil
}

func boolean(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

func label(name, value string) metric.ObserveOption {
	return metric.WithAttributes(attribute.String(name, value))
}

// placeKey is what members are counted by.
type placeKey struct{ zone, status string }

func (g *gauges) observeMembers(o metric.Observer, members []admin.MemberStatus) {
	counts := make(map[placeKey]int64)
	for _, member := range members {
		counts[placeKey{member.Zone, member.Status}]++
	}
	for key, count := range counts {
		o.ObserveInt64(g.members, count, label(telemetry.FieldZone, key.zone), label("status", key.status))
	}
}

// targetKey is what targets are counted by.
type targetKey struct{ service, version, state string }

func (g *gauges) observeTargets(o metric.Observer, status admin.Status) {
	counts := make(map[targetKey]int64)
	outstanding, queued := make(map[targetKey]int64), make(map[targetKey]int64)
	for _, target := range status.Targets {
		if target.Host != status.Host {
			continue
		}
		key := targetKey{target.Service, target.Version, target.State}
		counts[key]++
		outstanding[key] += int64(target.Outstanding)
		queued[key] += int64(target.Queued)
	}
	for key, count := range counts {
		labels := []metric.ObserveOption{
			label(telemetry.FieldService, key.service),
			label(telemetry.FieldVersion, key.version),
			label("state", key.state),
		}
		o.ObserveInt64(g.targets, count, labels...)
		o.ObserveInt64(g.outstanding, outstanding[key], labels...)
		o.ObserveInt64(g.queued, queued[key], labels...)
	}
}
