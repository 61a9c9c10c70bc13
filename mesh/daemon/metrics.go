package daemon

import (
	"context"
	"errors"
	"math"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sassafrasnotch.example/coord/descriptors"
	"sassafrasnotch.example/mesh/acceptor"
	"sassafrasnotch.example/mesh/adapter"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/telemetry"
)

// gauges are the metrics whose values are read from the components whenever metrics are collected.
type gauges struct {
	provider   *statusProvider
	storeUsage adapter.Usage
	server     *entry.Server
	entry      *entry.Entry
	log        *telemetry.Log
	ports      *acceptor.Ports
	budget     *descriptors.Budget

	configurationAge, confirmedAge                  metric.Float64ObservableGauge
	remainingRetries, targetRate                    metric.Float64ObservableGauge
	queued, abandoned                               metric.Int64ObservableGauge
	storeFailures                                   metric.Int64ObservableCounter
	appliedRevision, latestRevision, storeReachable metric.Int64ObservableGauge
	members, targets, outstanding                   metric.Int64ObservableGauge
	controlledRollouts, callerConnections           metric.Int64ObservableGauge
	controlBytes, storeRequests                     metric.Int64ObservableCounter
	droppedLines                                    metric.Int64ObservableCounter
	acceptFailures, departedRequests                metric.Int64ObservableCounter
	descriptorLimit, descriptorsHeld                metric.Int64ObservableGauge
	descriptorsRefused                              metric.Int64ObservableCounter
}

// registerMetrics creates the daemon's metrics. docs/METRICS.md lists them.
func registerMetrics(m *telemetry.Metrics, p *statusProvider, a adapter.Adapter, server *entry.Server, e *entry.Entry, log *telemetry.Log, ports *acceptor.Ports, budget *descriptors.Budget) error {
	meter := m.Meter("daemon")
	g := &gauges{provider: p, storeUsage: a.Usage, server: server, entry: e, log: log, ports: ports, budget: budget}
	var createErr error
	gauge := func(name, description string) metric.Int64ObservableGauge {
		instrument, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		if err != nil {
			createErr = err
		}
		return instrument
	}
	counter := func(name, unit, description string) metric.Int64ObservableCounter {
		instrument, err := meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(description))
		if err != nil {
			createErr = err
		}
		return instrument
	}
	floatGauge := func(name, unit, description string) metric.Float64ObservableGauge {
		instrument, err := meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
		if err != nil {
			createErr = err
		}
		return instrument
	}
	g.configurationAge = floatGauge("sassafras_configuration_age", "s", "Time since the configuration in force was applied")
	g.confirmedAge = floatGauge("sassafras_configuration_confirmed_age", "s", "Time since the store confirmed the configuration held here, to this daemon or to one that it heard from")
	g.remainingRetries = floatGauge("sassafras_retries_left", "{retry}", "Retries that remain in the budget of a service")
	g.queued = gauge("sassafras_target_queued", "Requests that wait for a slot of targets on this host")
	g.abandoned = gauge("sassafras_target_abandoned", "Requests that were given up and that targets on this host may still hold")
	g.storeFailures = counter("sassafras_platform_failures", "{request}", "Failed operations at the platform, by kind")
	g.appliedRevision = gauge("sassafras_revision_applied", "Configuration revision in force")
	g.latestRevision = gauge("sassafras_revision_head", "Newest configuration revision known to exist")
	g.storeReachable = gauge("sassafras_platform_reachable", "1 if the last operation at the platform succeeded, else 0")
	g.members = gauge("sassafras_members", "Known daemons, by zone and status")
	g.targetRate = floatGauge("sassafras_target_rate_limit", "{request}/s", "Requests per second that targets on this host take; infinite while one names no limit")
	g.targets = gauge("sassafras_targets", "Targets on this host, by service, version and state")
	g.outstanding = gauge("sassafras_target_outstanding", "Requests in flight at targets on this host")
	g.controlledRollouts = gauge("sassafras_moves_held", "Running rollouts that this host controls")
	g.callerConnections = gauge("sassafras_caller_connections", "Open connections from callers")
	g.controlBytes = counter("sassafras_control_bytes", "By", "Bytes of control traffic, by direction")
	g.storeRequests = counter("sassafras_platform_requests", "{request}", "Operations started at the platform, by kind")
	g.droppedLines = counter("sassafras_log_dropped", "{line}", "Log lines dropped because the output was not read")
	g.acceptFailures = counter("sassafras_accept_failures", "{failure}", "Failed attempts to accept a connection, by port")
	g.departedRequests = counter("sassafras_calls_departed", "{call}", "Attempts that were not made because the caller had closed its connection")
	g.descriptorLimit = gauge("sassafras_descriptors_limit", "File descriptors that the process may open")
	g.descriptorsHeld = gauge("sassafras_descriptors", "Descriptors of connections, by part of the process")
	g.descriptorsRefused = counter("sassafras_descriptors_refused", "{descriptor}", "Descriptors that a part did not receive from the budget")
	if createErr != nil {
		return createErr
	}
	_, err := meter.RegisterCallback(g.observe, g.configurationAge, g.confirmedAge, g.remainingRetries, g.queued, g.abandoned, g.storeFailures, g.appliedRevision, g.latestRevision, g.storeReachable, g.members, g.targets, g.targetRate,
		g.outstanding, g.controlledRollouts, g.callerConnections, g.controlBytes, g.storeRequests, g.droppedLines, g.acceptFailures, g.departedRequests,
		g.descriptorLimit, g.descriptorsHeld, g.descriptorsRefused)
	return errors.Join(err, registerEvacuationMetrics(meter, p.exit))
}

// observe records the current value of every metric. It reads the status once.
func (g *gauges) observe(_ context.Context, o metric.Observer) error {
	status := g.provider.Status()
	o.ObserveInt64(g.appliedRevision, int64(status.Applied))
	o.ObserveInt64(g.latestRevision, int64(status.LatestRevision))
	o.ObserveInt64(g.storeReachable, boolToInt(status.PlatformReachable))
	o.ObserveInt64(g.controlledRollouts, int64(len(status.Controllers)))
	o.ObserveInt64(g.callerConnections, int64(g.server.Connections()))
	g.observeMembers(o, status.Members)
	g.observeTargets(o, status)
	o.ObserveInt64(g.controlBytes, int64(status.ControlBytes.Sent), label("direction", "sent"))
	o.ObserveInt64(g.controlBytes, int64(status.ControlBytes.Received), label("direction", "received"))
	reads, writes := g.storeUsage.Operations()
	o.ObserveInt64(g.storeRequests, int64(reads), label("kind", "read"))
	o.ObserveInt64(g.storeRequests, int64(writes), label("kind", "write"))
	reads, writes = g.storeUsage.Failures()
	o.ObserveInt64(g.storeFailures, int64(reads), label("kind", "read"))
	o.ObserveInt64(g.storeFailures, int64(writes), label("kind", "write"))
	if !status.AppliedAt.IsZero() {
		o.ObserveFloat64(g.configurationAge, time.Since(status.AppliedAt).Seconds())
	}
	o.ObserveFloat64(g.confirmedAge, g.provider.confirmedAge())
	for service, remaining := range g.entry.RemainingRetries() {
		o.ObserveFloat64(g.remainingRetries, remaining, label(telemetry.FieldService, service))
	}
	o.ObserveInt64(g.droppedLines, int64(g.log.Dropped()))
	for port, failures := range g.ports.Failures() {
		o.ObserveInt64(g.acceptFailures, int64(failures), label("port", port))
	}
	o.ObserveInt64(g.descriptorLimit, int64(g.budget.Limit()))
	for _, usage := range g.budget.Usage() {
		o.ObserveInt64(g.descriptorsHeld, int64(usage.Held), label("part", usage.Part.String()))
		o.ObserveInt64(g.descriptorsRefused, int64(usage.Refused), label("part", usage.Part.String()))
	}
	o.ObserveInt64(g.departedRequests, int64(g.entry.DepartedRequests()))
	return nil
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

// label returns a metric label.
func label(name, value string) metric.ObserveOption {
	return metric.WithAttributes(attribute.String(name, value))
}

// memberKey holds the labels by which members are counted.
type memberKey struct{ zone, status string }

// observeMembers records the number of members by zone and status.
func (g *gauges) observeMembers(o metric.Observer, members []admin.MemberStatus) {
	counts := make(map[memberKey]int64)
	for _, member := range members {
		counts[memberKey{member.Zone, member.Status}]++
	}
	for key, count := range counts {
		o.ObserveInt64(g.members, count, label(telemetry.FieldZone, key.zone), label("status", key.status))
	}
}

// targetKey holds the labels by which targets are counted.
type targetKey struct{ service, version, state string }

// observeTargets records the targets of this host and their requests by service, version and state.
func (g *gauges) observeTargets(o metric.Observer, status admin.Status) {
	counts := make(map[targetKey]int64)
	outstanding, queued, abandoned := make(map[targetKey]int64), make(map[targetKey]int64), make(map[targetKey]int64)
	rates := make(map[targetKey]float64)
	for _, target := range status.Targets {
		if target.Host != status.Host {
			continue
		}
		key := targetKey{target.Service, target.Version, target.State}
		counts[key]++
		outstanding[key] += int64(target.Outstanding)
		queued[key] += int64(target.Queued)
		abandoned[key] += int64(target.Abandoned)
		rate := math.Inf(1)
		if target.Rate != nil {
			rate = *target.Rate
		}
		rates[key] += rate
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
		o.ObserveInt64(g.abandoned, abandoned[key], labels...)
		o.ObserveFloat64(g.targetRate, rates[key], labels...)
	}
}
