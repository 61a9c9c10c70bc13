package entry

import (
	"sync"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// UnreportedCounts is an AttemptObserver that counts the attempts whose outcome the
// target's host cannot observe: those of unknown outcome that the host did not report and the
// caller did not cause, as with a lost, late or invalid response. It is safe for concurrent use.
type UnreportedCounts struct {
	mutex  sync.Mutex
	counts map[countKey]*peerpb.OutcomeCount
}

type countKey struct{ service, version, route, zone string }

// NewUnreportedCounts returns empty counts.
func NewUnreportedCounts() *UnreportedCounts {
	return &UnreportedCounts{counts: make(map[countKey]*peerpb.OutcomeCount)}
}

// ObserveAttempt implements AttemptObserver.
func (c *UnreportedCounts) ObserveAttempt(attempt Attempt) {
	if attempt.Outcome != retry.Unknown || attempt.ReportedByHost || attempt.Reason.causedByCaller() {
		return
	}
	key := countKey{attempt.Service, attempt.Version, attempt.Route, attempt.Zone}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := c.counts[key]
	if count == nil {
		count = &peerpb.OutcomeCount{Service: key.service, Version: key.version, Route: key.route, Zone: key.zone}
		c.counts[key] = count
	}
	count.Requests++
	count.Failures++
	count.Unknown++
}

// Outcomes returns the counts since the previous call and resets them.
func (c *UnreportedCounts) Outcomes() []*peerpb.OutcomeCount {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	outcomes := make([]*peerpb.OutcomeCount, 0, len(c.counts))
	for _, count := range c.counts {
		outcomes = append(outcomes, count)
	}
	clear(c.counts)
	return outcomes
}
