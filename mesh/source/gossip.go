package source

import (
	"time"

	"go.uber.org/zap"
)

// gossipReadInterval is the minimum time between two reads that a revision from gossip causes.
const gossipReadInterval = 500 * time.Millisecond

// rereadDelayFraction is the fraction of Timing.ApplyWithin for which a daemon that follows the store
// waits for a revision that gossip reported. It is longer than the pause after a change, behind which
// the change feed mostly delivers the revision.
const rereadDelayFraction = 0.5

// ObserveRevision records a revision that another daemon has applied. If it is not in force here, a
// daemon that follows the store reads all rows; any other daemon pulls the revision from that host,
// after a delay in which the zone reader that it follows may send it.
func (s *Source) ObserveRevision(revision uint64, host string) {
	s.latest.Store(max(revision, s.latest.Load()))
	if s.hasApplied(revision) {
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
		s.goroutines.Go(func() { s.fetch(revision, host, s.applyFraction(fetchDelayFraction)) })
	case s.followsStore.Load():
		s.goroutines.Go(func() { s.rereadUnlessApplied(revision, s.applyFraction(rereadDelayFraction)) })
	default:
		s.goroutines.Go(func() { s.fetch(revision, host, 0) })
	}
}

// rereadUnlessApplied makes the goroutine that follows the store read all rows if the revision is
// not in force after the wait: the connection of the change feed may have stopped delivering.
func (s *Source) rereadUnlessApplied(revision uint64, wait time.Duration) {
	sleep(s.stopped, wait)
	if !s.hasApplied(revision) && s.stopped.Err() == nil {
		signal(s.reread)
	}
}

// fetch pulls a revision from the host that reported it if the revision is not in force after the
// wait. If it isn't in force after the pull either, the daemon reads the store.
func (s *Source) fetch(revision uint64, host string, wait time.Duration) {
	sleep(s.stopped, wait)
	if s.hasApplied(revision) || s.stopped.Err() != nil {
		return
	}
	if _, err := s.pullRows(s.stopped, host, 0, s.bounds.ReplyTime()); err != nil {
		s.logger.Info("newer revision not pulled from peer", zap.String("peer", host), zap.Uint64("revision", revision), zap.Error(err))
	}
	if !s.hasApplied(revision) {
		s.switchToStore()
	}
}

// hasApplied reports whether a revision or a newer one is in force.
func (s *Source) hasApplied(revision uint64) bool {
	snapshot := s.Snapshot()
	return snapshot != nil && snapshot.Revision() >= revision
}
