package daemon

import (
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/adapter"
	"sassafrasnotch.example/mesh/controller"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/outcomes"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/registrar"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/source"
)

var rolloutsModule = fx.Module("moves", fx.Provide(
	func(identity peer.Identity, s settings.Settings, a adapter.Adapter, backing store.Store, r *registrar.Registrar, members *membership.Membership, c configuration, operator *source.Source, logger *zap.Logger) *controller.Controller {
		config := controller.Config{
			Host:        identity.Host,
			Zone:        identity.Zone,
			Incarnation: identity.Incarnation,
			Table:       backing,
			Log:         r,
			Members:     members,
			Rollouts:    rolloutList{c},
			Now:         time.Now,
			TicketKey:   registrar.TicketKey,
			Evacuated:   evacuations{c}.evacuated,
			Logger:      logger.Named("controller"),
		}
		if s.Configuration.Source == settings.SourceOperator {
			log := source.NewLog(operator, backing, registrar.TicketKey, a.RolloutStatusWrites)
			operator.SetVerdictRestorer(log)
			config.Log = log
			config.CreateTicket = log.CreateTicket
			config.StepWrites = a.RolloutStatusWrites
			config.KeepFinished = true
			config.Now = a.OperatorReader.Now
		}
		return controller.New(config)
	},
	func(identity peer.Identity, x *exit.Exit, counts *entry.UnreportedCounts, members *membership.Membership, applied configuration, c *controller.Controller, pool *peer.Pool, logger *zap.Logger) *outcomes.Reporter {
		return outcomes.New(outcomes.Config{
			Host:        identity.Host,
			Zone:        identity.Zone,
			Incarnation: identity.Incarnation,
			Sources:     []outcomes.Source{x, counts},
			Members:     members,
			Rollouts:    rolloutList{applied},
			Controllers: c,
			Peers:       pool,
			Logger:      logger.Named("outcomes"),
		})
	},
))

// rolloutList lists the running rollouts of the configuration in force.
type rolloutList struct{ configuration configuration }

// RunningRollouts implements controller.Rollouts and outcomes.Rollouts.
func (l rolloutList) RunningRollouts() []controller.Rollout {
	snapshot := l.configuration.Snapshot()
	if snapshot == nil {
		return nil
	}
	var rollouts []controller.Rollout
	for _, split := range snapshot.RunningRollouts() {
		rollouts = append(rollouts, controller.Rollout{
			Service:    split.Service,
			Preference: preference(snapshot, split.Service),
			Rollout:    *split.Rollout,
		})
	}
	return rollouts
}

// preference returns the preference of a service. The default is safety.
func preference(snapshot *revision.Snapshot, service string) revision.Preference {
	if s, ok := snapshot.Service(service); ok && s.Preference != "" {
		return s.Preference
	}
	return revision.PreferSafety
}
