package source

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
)

// A store that comes back from an older copy begins a new era. All its rows are newer than those of the
// former era, whatever their versions are, but some of them have older content: what was written after
// the copy is gone until it is written again. The functions below decide on rows of a later era.

const (
	// restoreCheckInterval is the time between writing a lost verdict and the read that shows the result.
	restoreCheckInterval = 500 * time.Millisecond
	// outdatedHold is the time for which a configuration stays in force against one of a lower number
	// that a later era has. An operator writes the lost one again in that time.
	outdatedHold = 20 * time.Second
	// maxFormerOrders bounds the replaced orders of a service that are remembered.
	maxFormerOrders = 16
)

// outdatedConfiguration is a configuration of a later era whose number is lower than that in force.
type outdatedConfiguration struct {
	Configuration
	since time.Time // when it was first read
}

// supersedes reports whether a configuration of a later era replaces the present one. A row of a lower
// number is at first taken for that of the copy. If the era then gets another one, the operator counts
// on from the older number.
func (s *rowState) supersedes(next *Configuration, now time.Time) bool {
	present := s.configuration
	if next.Number >= present.Number || next.Replaces >= present.Number {
		return true
	}
	if s.outdated == nil || s.outdated.Position.Era() < next.Position.Era() {
		s.outdated = &outdatedConfiguration{*next, now}
		return false
	}
	if next.Position <= s.outdated.Position && now.Sub(s.outdated.since) < outdatedHold {
		return false
	}
	next.Replaces = present.Number
	return true
}

// expireOutdated puts the configuration of a lower number in force that the store has had for
// outdatedHold. It reports whether there was one.
func (s *rowState) expireOutdated(now time.Time) bool {
	if s.outdated == nil || now.Sub(s.outdated.since) < outdatedHold {
		return false
	}
	return s.addConfiguration(s.outdated.Configuration, now) == nil
}

// isSame reports whether an order that a later era has is this one, read or written again.
func (o *RolloutOrder) isSame(next *RolloutOrder) bool {
	return o.Service == next.Service && o.Version == next.Version && o.Within == next.Within
}

// isFormerOrder reports whether an order of a later era was replaced before the copy was lost: the row
// of the copy, with the version that it had.
func (s *rowState) isFormerOrder(next *RolloutOrder) bool {
	for _, former := range s.formerOrders[next.Service] {
		if former.isSame(next) && former.Position.Version() == next.Position.Version() {
			return true
		}
	}
	return false
}

// rememberOrder records an order that is replaced.
func (s *rowState) rememberOrder(order RolloutOrder) {
	former := append(s.formerOrders[order.Service], order)
	s.formerOrders[order.Service] = former[max(0, len(former)-maxFormerOrders):]
}

// writtenAgainAt returns the position of the order if its ticket has the number of another one, else 0.
func (o *RolloutOrder) writtenAgainAt() uint64 {
	if uint64(o.Position) == o.Ticket {
		return 0
	}
	return uint64(o.Position)
}

// recordWrittenAgain records in the state of a rollout where the store has its order now.
func (s *rowState) recordWrittenAgain(service string) {
	order := s.orders[service]
	if row, ok := s.rollouts[service]; ok && row.Ticket == order.Ticket {
		row.Order = order.writtenAgainAt()
		s.rollouts[service] = row
	}
}

// linkTicket gives the order of a service the ticket of its rollout, if the order was first read here in
// a later era than that in which the rollout began.
func (s *rowState) linkTicket(service string) {
	order, ok := s.orders[service]
	row, hasRow := s.rollouts[service]
	if !ok || !hasRow || order.Ticket != uint64(order.Position) || row.Ticket >= order.Ticket || row.To != order.Version {
		return
	}
	began := store.Position(row.Ticket)
	unchanged := began.Era() < order.Position.Era() && began.Version() == order.Position.Version()
	if unchanged || row.Order == uint64(order.Position) {
		order.Ticket = row.Ticket
		s.orders[service] = order
	}
}

// isOlderState reports whether a row of a later era has an older state than the present one: that of an
// earlier rollout, or one without the verdict that the present one has. A second run of an order that
// has its verdict counts as older, too.
func (s *rowState) isOlderState(row, present *RolloutRow) bool {
	if row.Ticket < present.Ticket {
		return true
	}
	order, ok := s.orders[row.Service]
	again := ok && order.Ticket == present.Ticket && row.Ticket == uint64(order.Position)
	return (row.Ticket == present.Ticket || again) && present.Verdict != ticket.Running && row.Verdict == ticket.Running
}

// hasVerdictBefore reports whether a rollout has a verdict that was not read in an era yet.
func (s *rowState) hasVerdictBefore(era uint64) bool {
	for _, row := range s.rollouts {
		if row.Verdict != ticket.Running && row.Position.Era() < era {
			return true
		}
	}
	return false
}

// lostVerdicts returns the rollouts with a verdict that a complete read of the rows of rollouts in a
// later era did not have, each with the position of the row in its place, 0 for none.
func (s *rowState) lostVerdicts(read RolloutChanges) []lostVerdict {
	found := make(map[string]store.Position)
	for _, row := range read.Rollouts {
		found[row.Service] = row.Position
	}
	var lost []lostVerdict
	for service, row := range s.rollouts {
		if row.Verdict != ticket.Running && row.Position.Era() < read.Through.Era() {
			lost = append(lost, lostVerdict{row, found[service]})
		}
	}
	return lost
}

// lostVerdict is the state of a rollout that the store has lost.
type lostVerdict struct {
	row RolloutRow
	// present is the position of the row that the store has instead, 0 for none.
	present store.Position
}

// VerdictRestorer writes the state of a rollout that has its verdict to the store again, with the status
// that operators read, if the store has the row at the position in its place (0: none). The error is
// store.ErrConflict if it has another one.
type VerdictRestorer interface {
	RestoreVerdict(ctx context.Context, state rollout.State, present store.Position) error
}

// SetVerdictRestorer sets what writes lost verdicts again. It must be called before Start.
func (s *Source) SetVerdictRestorer(restorer VerdictRestorer) { s.restorer = restorer }

// OnRestored registers a function that is called after the store came back from an older copy. It must
// not block, and OnRestored must be called before Start.
func (s *Source) OnRestored(notify func()) { s.onRestored = append(s.onRestored, notify) }

// observeEra records an era of the store, which was read or which another daemon told. The caller holds
// s.mu.
func (s *Source) observeEra(era uint64) {
	if era <= s.era {
		return
	}
	restored := s.era != 0
	s.era = era
	if !restored {
		return
	}
	s.logger.Warn("store came back from an older copy", zap.Uint64("era", era))
	for _, notify := range s.onRestored {
		notify()
	}
}

// restoreVerdicts writes the verdicts again that a complete read of the rows of rollouts did not have.
// Each daemon that reads the store does so; one of them succeeds, and a further read shows the result.
func (s *Source) restoreVerdicts(ctx context.Context, read RolloutChanges) {
	if !read.Complete || s.restorer == nil {
		return
	}
	s.mu.Lock()
	lost := s.state.lostVerdicts(read)
	s.mu.Unlock()
	if len(lost) == 0 {
		return
	}
	for _, verdict := range lost {
		err := s.restorer.RestoreVerdict(ctx, verdict.row.State, verdict.present)
		s.logger.Info("verdict that the store has lost written again", zap.String("service", verdict.row.Service),
			zap.Uint64("ticket", verdict.row.Ticket), zap.String("verdict", string(verdict.row.Verdict)), zap.Error(err))
	}
	s.goroutines.Go(func() {
		sleep(ctx, restoreCheckInterval)
		signal(s.resumeRollouts)
	})
}
