package source

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
)

// gossipReadInterval is the minimum time between two reads that a revision from gossip causes.
const gossipReadInterval = 500 * time.Millisecond

// rereadDelayFraction is the fraction of Timing.ApplyWithin for which a daemon that follows the store
// waits for a revision that gossip reported. It is longer than the pause after a change, behind which
// the change feed mostly delivers the revision.
const rereadDelayFraction = 0.5

// ObserveRevision records the revisions that another daemon has applied. If one is not in force here, a
// daemon that follows the store reads all rows; any other daemon pulls the rows from that host, after a
// delay in which the zone reader that it follows may send them.
func (s *Source) ObserveRevision(report gossip.RevisionReport) {
	s.latest.Store(max(report.Revisions.Latest, s.latest.Load()))
	storeMax(&s.latestConfiguration, report.Revisions.ConfigurationRevision())
	if s.hasApplied(report.Revisions) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped == nil || s.stopped.Err() != nil || time.Since(s.lastGossipRead) < gossipReadInterval {
		return
	}
	s.lastGossipRead = time.Now()
	switch {
	case s.followsReader():
		s.goroutines.Go(func() { s.fetch(report, s.applyFraction(fetchDelayFraction)) })
	case s.followsStore.Load() && uint64(s.state.evacuations.asOf) >= report.Revisions.Latest:
		// The store was read later: only the removal of a row that is gone can be missing here.
		s.goroutines.Go(func() { s.fetch(report, 0) })
	case s.followsStore.Load():
		s.goroutines.Go(func() { s.rereadUnlessApplied(report.Revisions, s.applyFraction(rereadDelayFraction)) })
	default:
		s.goroutines.Go(func() { s.fetch(report, 0) })
	}
}

// rereadUnlessApplied makes the goroutine that follows the store read all rows if the revisions are
// not in force after the wait: the connection of the change feed may have stopped delivering.
func (s *Source) rereadUnlessApplied(revisions gossip.Revisions, wait time.Duration) {
	sleep(s.stopped, wait)
	if !s.hasApplied(revisions) && s.stopped.Err() == nil {
		signal(s.reread)
	}
}

// fetch pulls revisions from the host that reported them if they are not in force after the wait. If
// they aren't in force after the pull either, the daemon reads the store.
func (s *Source) fetch(report gossip.RevisionReport, wait time.Duration) {
	sleep(s.stopped, wait)
	if s.hasApplied(report.Revisions) || s.stopped.Err() != nil {
		return
	}
	if _, err := s.pullRows(s.stopped, report.Host, 0, s.bounds.ReplyTime()); err != nil {
		s.logger.Info("newer revision not pulled from peer", zap.String("peer", report.Host), zap.Uint64("revision", report.Revisions.Latest), zap.Error(err))
	}
	if !s.hasApplied(report.Revisions) {
		s.switchToStore()
	}
}

// storeMax raises a counter to a value, which several goroutines may do.
func storeMax(counter *atomic.Uint64, value uint64) {
	for {
		present := counter.Load()
		if present >= value || counter.CompareAndSwap(present, value) {
			return
		}
	}
}

// Superseded reports whether another daemon has reported a newer configuration than the one in force here.
// Newer states of rollouts do not count.
func (s *Source) Superseded() bool {
	current := s.applied.Load()
	return current != nil && s.latestConfiguration.Load() > current.revisions.ConfigurationRevision()
}

// hasApplied reports whether the revisions or newer ones are in force.
func (s *Source) hasApplied(revisions gossip.Revisions) bool {
	current := s.applied.Load()
	return current != nil && !revisions.NewerThan(current.revisions)
}
