package source

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
)

const (
	// memberWait is the time for which a starting daemon waits to know another daemon: the read of
	// their addresses and a few round trips.
	memberWait = 100 * time.Millisecond
	// memberPollInterval is the interval at which it looks.
	memberPollInterval = 10 * time.Millisecond
	// startPullTimeout bounds the pull from that daemon. A restarted daemon refuses its callers
	// meanwhile.
	startPullTimeout = 100 * time.Millisecond
)

// startFromPeer takes the rows of another daemon of the zone, so that the restart of many hosts does
// not load the store, and reports whether it did. That daemon must hold maintained rows; where all
// restart at once, none does, and the first reply says so.
func (s *Source) startFromPeer(ctx context.Context) bool {
	host := s.awaitMember(ctx)
	if host == "" {
		return false
	}
	reply, err := s.pullRows(ctx, host, 0, startPullTimeout)
	if err != nil || !reply.GetMaintained() || s.Snapshot() == nil {
		s.logger.Info("configuration not taken from another daemon", zap.String("peer", host), zap.Error(err))
		return false
	}
	return true
}

// awaitMember returns a random alive host of the zone, or "" if none is known within memberWait.
func (s *Source) awaitMember(ctx context.Context) string {
	for waited := time.Duration(0); ctx.Err() == nil; waited += memberPollInterval {
		var hosts []string
		for _, member := range s.members.Members() {
			if member.Host != s.self.Host && member.Zone == s.self.Zone && member.Status == gossip.Alive && !member.Leaving {
				hosts = append(hosts, member.Host)
			}
		}
		if len(hosts) > 0 {
			return hosts[rand.IntN(len(hosts))]
		}
		if waited >= memberWait {
			return ""
		}
		sleep(ctx, memberPollInterval)
	}
	return ""
}

// awaitReader waits until a zone reader is followed, until the rows taken from another daemon are as old
// as those of a daemon that has read the store at its first request for changes. After that, and if
// this host is a zone reader itself, the daemon follows the store.
func (s *Source) awaitReader(ctx context.Context) {
	sleep(ctx, s.applyFraction(startPauseFraction)-s.Age())
	if ctx.Err() == nil && !s.idle() {
		signal(s.resumeStore)
	}
}
