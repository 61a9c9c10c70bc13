package daemon

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/metric"

	"sassafrasnotch.example/mesh/exit"
)

// registerEvacuationMetrics creates the metrics of evacuations and cold targets.
func registerEvacuationMetrics(meter metric.Meter, x *exit.Exit) error {
	evacuated, err := meter.Int64ObservableGauge("sassafras_zone_evacuated", metric.WithDescription("1 while the zone of this host is evacuated, else 0"))
	refused, refusedErr := meter.Int64ObservableCounter("sassafras_evacuation_refusals", metric.WithUnit("{request}"), metric.WithDescription("Requests refused at this host because its zone is evacuated"))
	cold, coldErr := meter.Int64ObservableGauge("sassafras_targets_cold", metric.WithDescription("Targets on this host that are held to the rate of cold ones"))
	periods, periodsErr := meter.Int64ObservableCounter("sassafras_target_cold_periods", metric.WithUnit("{period}"), metric.WithDescription("Times at which a target on this host began to be held to the rate of cold ones"))
	if err := errors.Join(err, refusedErr, coldErr, periodsErr); err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(evacuated, boolToInt(x.Evacuated()))
		o.ObserveInt64(refused, int64(x.EvacuationRefusals()))
		targets, begun := x.ColdTargets()
		o.ObserveInt64(cold, int64(targets))
		o.ObserveInt64(periods, int64(begun))
		return nil
	}, evacuated, refused, cold, periods)
	return err
}
