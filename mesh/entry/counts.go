package entry

import (
	"sync"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// UnreportedCounts is an Observer that counts the attempts whose outcome the target's
// host can't see: lost and crossed answers. It is safe for concurrent use.
type UnreportedCounts struct {
	mutex  sync.Mutex
	counts map[countKey]*peerpb.OutcomeCount
}

type countKey struct{ service, version, route, zone string }

// NewUnreportedCounts returns counts of nothing.
func NewUnreportedCounts() *UnreportedCounts {
	return &UnreportedCounts{counts: make(map[countKey]*peerpb.OutcomeCount)}
}

// ObserveAttempt implements Observer.
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

// Outcomes returns the counts since the last time it was called.
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
