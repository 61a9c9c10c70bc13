package daemon

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/quota"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/telemetry"
)

var quotaModule = fx.Module("quota", fx.Provide(
	func(identity peer.Identity, s settings.Settings, pool *peer.Pool, logger *zap.Logger) *quota.Limiter {
		return quota.New(identity, s.Zones, pool, logger.Named("quota"))
	},
))

// registerQuotaMetrics creates the metrics of the limits of tenants. docs/METRICS.md lists them.
func registerQuotaMetrics(m *telemetry.Metrics, limiter *quota.Limiter) error {
	meter := m.Meter("quota")
	requests, err := meter.Int64ObservableCounter("sassafras_tenant_limit_decisions", metric.WithUnit("{request}"),
		metric.WithDescription("Tokens of tenants with a rate limit that requests took or were refused, by tenant and result"))
	if err != nil {
		return err
	}
	coordinator, err := meter.Int64ObservableGauge("sassafras_tenant_limit_coordinator",
		metric.WithDescription("1 if this daemon coordinates the limits of tenants, by scope: in its zone, or between zones"))
	if err != nil {
		return err
	}
	share, err := meter.Float64ObservableGauge("sassafras_tenant_limit_share",
		metric.WithDescription("Part of the daemons of the zone that report to this one as coordinator"))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		status := limiter.Status()
		o.ObserveInt64(coordinator, boolToInt(status.Coordinator), label("scope", "zone"))
		o.ObserveInt64(coordinator, boolToInt(status.Root), label("scope", "zones"))
		o.ObserveFloat64(share, status.Share)
		if len(status.Counts) == 0 {
			// The metric exists also before the first request of a tenant with a limit.
			o.ObserveInt64(requests, 0, decision(quota.OtherTenants, "granted"))
		}
		for tenant, count := range status.Counts {
			o.ObserveInt64(requests, int64(count.Granted), decision(tenant, "granted"))
			o.ObserveInt64(requests, int64(count.Limited), decision(tenant, "limited"))
		}
		return nil
	}, requests, coordinator, share)
	return err
}

func decision(tenant, result string) metric.ObserveOption {
	return metric.WithAttributes(attribute.String("tenant", tenant), attribute.String("result", result))
}
