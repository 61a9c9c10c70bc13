package source

import (
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/store"
)

// applyOperator adds changed rows of operators and publishes the result.
func (s *Source) applyOperator(changes OperatorChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, invalid := range changes.Invalid {
		s.reject(invalid.Key, invalid.Position, invalid.Cause)
	}
	for _, configuration := range changes.Configurations {
		if err := s.state.addConfiguration(configuration, time.Now()); err != nil {
			s.reject("configuration", configuration.Position, err)
		}
	}
	for _, order := range changes.Orders {
		if s.state.addOrder(order, s.operator.Now()) {
			s.logger.Info("rollout ordered", zap.String("service", order.Service),
				zap.String("version", order.Version), zap.Duration("within", order.Within),
				zap.Uint64("ticket", uint64(order.Position)))
		}
	}
	s.applyEvacuations(changes)
	if s.state.expireOutdated(time.Now()) {
		s.logger.Warn("configuration of a former era of the store not written again; that of the store applies")
	}
	s.observeEra(changes.Through.Era())
	s.publish(originStore)
	if s.state.rolloutRunning() || s.state.hasVerdictBefore(changes.Through.Era()) {
		signal(s.resumeRollouts)
	}
}

// applyEvacuations adds changed orders to evacuate zones. The caller holds s.mu.
func (s *Source) applyEvacuations(changes OperatorChanges) {
	now := time.Now()
	var changed bool
	if changes.Complete {
		changed = s.state.evacuations.addRead(changes.Evacuations, changes.Through, now)
	} else {
		changed = s.state.evacuations.addChanges(changes.Evacuations, changes.Through)
	}
	changed = s.state.evacuations.expire(now) || changed
	s.state.changed = s.state.changed || changed
}

// applyRollouts adds changed rows of rollouts and publishes the result.
func (s *Source) applyRollouts(changes RolloutChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, invalid := range changes.Invalid {
		s.reject(invalid.Key, invalid.Position, invalid.Cause)
	}
	for _, row := range changes.Rollouts {
		if err := s.state.addRollout(row); err != nil {
			s.reject("rollout of "+row.Service, row.Position, err)
		}
	}
	s.publish(originStore)
}

// reject records and logs that a row can't be applied.
func (s *Source) reject(key string, position store.Position, cause error) {
	text := key + ": " + cause.Error()
	s.lastRejection.Store(&text)
	s.logger.Warn("row rejected", zap.String("key", key), zap.Uint64("revision", uint64(position)), zap.Error(cause))
}

// originStore is the origin in log lines of a snapshot that was read from the store.
const originStore = "store"

// publish puts a snapshot of the state in force if the state changed. origin is originStore or the
// host that sent the rows. The caller holds s.mu.
func (s *Source) publish(origin string) {
	if !s.state.changed {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.encoded = encodedRows{}
	next, err := s.state.snapshot()
	if err != nil {
		s.reject("configuration", s.state.configuration.Position, err)
		return
	}
	if next == nil {
		return // no configuration yet
	}
	s.state.changed = false
	s.observeEra(store.Position(next.Revision()).Era())
	revisions := s.state.revisions(next.Revision())
	s.applied.Store(&appliedSnapshot{snapshot: next, revisions: revisions, at: time.Now()})
	s.members.SetRevisions(revisions)
	s.logger.Info("configuration applied", zap.Uint64("revision", next.Revision()),
		zap.Uint64("ticket", s.state.configuration.Number), zap.Int("routes", len(s.state.configuration.Routes)),
		zap.Int("tenants", len(s.state.configuration.Tenants)), zap.Int("moves", len(next.RunningRollouts())),
		zap.Strings("evacuated", s.state.evacuations.zones()), zap.String("origin", origin))
	for _, notify := range s.onApply {
		notify(next)
	}
}
