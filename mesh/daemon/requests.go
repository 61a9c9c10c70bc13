package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/descriptors"
	"sassafrasnotch.example/coord/nested"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/adapter"
	"sassafrasnotch.example/mesh/claim"
	"sassafrasnotch.example/mesh/clientmemory"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/limitedconn"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/quota"
	"sassafrasnotch.example/mesh/report"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/telemetry"
)

var requestsModule = fx.Module("calls", fx.Provide(
	nested.NewParents,
	func(identity peer.Identity, s settings.Settings, a adapter.Adapter, c configuration, budget *descriptors.Budget, parents *nested.Parents, held *clientmemory.Memory, metrics *telemetry.RequestMetrics, logger *zap.Logger) *exit.Exit {
		options := []exit.Option{exit.WithBudget(budget), exit.WithMemory(held), exit.WithLatencyBound(latencyBounds{c}.bound), exit.WithQueueObserver(metrics.ObserveQueueWait),
			exit.WithRecordedDepartures(), exit.WithParents(parents), exit.WithHealthCheck(healthPaths{c}.path),
			exit.WithColdPolicy(coldPolicies{c}.policy)}
		if s.Configuration.Source == settings.SourceOperator {
			options = append(options, exit.WithConventions(a.TargetConventions))
		}
		return exit.New(s.Exit, identity, logger.Named("exit"), options...)
	},
	entry.NewUnreportedCounts,
	func(identity peer.Identity, c configuration) *report.Recorder {
		return report.NewRecorder(identity.Host, c, time.Now)
	},
	func(m *telemetry.Metrics, recorder *report.Recorder, counts *entry.UnreportedCounts) (*telemetry.RequestMetrics, error) {
		return telemetry.NewRequestMetrics(m, recorder, counts)
	},
	func(identity peer.Identity, members *membership.Membership, pool *peer.Pool, backing store.Store, logger *zap.Logger) *claim.Claimer {
		self := claim.Self{Host: identity.Host, Zone: identity.Zone}
		return claim.NewZoned(self, members, pool, backing, logger.Named("claim"))
	},
	func(s settings.Settings, a adapter.Adapter, c configuration, pool *peer.Pool, claims *claim.Claimer, parents *nested.Parents, limiter *quota.Limiter, metrics *telemetry.RequestMetrics, logger *zap.Logger) *entry.Entry {
		locality := balance.Locality{Host: s.Host, Zone: s.Zone, Region: s.Region}
		conventions := entry.DefaultConventions
		if s.Configuration.Source == settings.SourceOperator {
			conventions = a.CallerConventions
		}
		return entry.New(s.Entry, locality, entry.Deps{
			// After this time the order of a rollout to the new version is in force, if there is
			// one.
			NewVersionHold:    s.Configuration.ApplyWithin.Std(),
			Conventions:       &conventions,
			Service:           s.Service,
			Configuration:     c,
			ConfigurationCopy: configurationCopy{c},
			KeyRules:          keyRules(&s.Configuration),
			Dialer:            dialer{pool},
			Claims:            claims,
			Parents:           parents,
			Limiter:           limiter,
			AttemptObserver:   metrics,
			RequestObserver:   metrics,
			Log:               logger.Named("entry"),
		})
	},
	func(s settings.Settings, budget *descriptors.Budget, held *clientmemory.Memory, handler *entry.Entry, logger *zap.Logger) *entry.Server {
		limits := s.Entry
		limits.MaxConnections = min(limits.MaxConnections, entry.ConnectionLimit(budget.Most(descriptors.Callers)))
		server := entry.NewServer(limits, handler, logger.Named("entry"))
		server.UseMemory(held)
		return server
	},
))

// latencyBounds provides the latency bounds of routes and services in the configuration in force.
type latencyBounds struct{ configuration configuration }

// bound returns the latency objective of the route if it has one, else the latency bound of the
// service, or 0 if there is none.
func (b latencyBounds) bound(service, route string) time.Duration {
	snapshot := b.configuration.Snapshot()
	if snapshot == nil {
		return 0
	}
	if r, ok := snapshot.Route(route); ok && r.Objective > 0 {
		return r.Objective.Std()
	}
	if s, ok := snapshot.Service(service); ok {
		return s.LatencyBound.Std()
	}
	return 0
}

// healthPaths provides the paths for health checks in the configuration in force.
type healthPaths struct{ configuration configuration }

// path returns the path for health checks of the service's targets, or "" if there is none.
func (h healthPaths) path(service string) string {
	if snapshot := h.configuration.Snapshot(); snapshot != nil {
		if s, ok := snapshot.Service(service); ok {
			return s.HealthPath
		}
	}
	return ""
}

// dialer implements entry.Dialer with the pool of peer sessions.
type dialer struct{ pool *peer.Pool }

// OpenStream implements entry.Dialer. On failure it returns a nil interface, not one that holds a
// nil stream.
func (d dialer) OpenStream(ctx context.Context, host, address string) (entry.Stream, error) {
	stream, err := d.pool.OpenStream(ctx, host, address)
	if err != nil {
		if limitedconn.IsShortage(err) || errors.Is(err, peer.ErrLimit) {
			err = fmt.Errorf("%w: %w", entry.ErrLocalLimit, err)
		}
		return nil, err
	}
	return stream, nil
}
