package exit

import (
	"net/http"
	"sync"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// outcomeKey is the set of dimensions by which outcomes are counted.
type outcomeKey struct{ service, version, route string }

// outcomes counts requests by outcome since the last report.
type outcomes struct {
	zone   string
	mu     sync.Mutex
	counts map[outcomeKey]*peerpb.OutcomeCount
}

func newOutcomes(zone string) outcomes {
	return outcomes{zone: zone, counts: make(map[outcomeKey]*peerpb.OutcomeCount)}
}

// Outcomes returns the counts by service, version and route since the previous call of Outcomes,
// for the zone of this host, and resets them.
func (e *Exit) Outcomes() []*peerpb.OutcomeCount {
	e.outcomes.mu.Lock()
	counts := e.outcomes.counts
	e.outcomes.counts = make(map[outcomeKey]*peerpb.OutcomeCount, len(counts))
	e.outcomes.mu.Unlock()
	report := make([]*peerpb.OutcomeCount, 0, len(counts))
	for _, count := range counts {
		report = append(report, count)
	}
	return report
}

func (c *callerRequest) outcomeKey() outcomeKey {
	return outcomeKey{c.head.Service, c.head.Version, c.head.Route}
}

func (o *outcomes) addRefused(key outcomeKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count(key).Refused++
}

func (o *outcomes) count(key outcomeKey) *peerpb.OutcomeCount {
	count := o.counts[key]
	if count == nil {
		count = &peerpb.OutcomeCount{Service: key.service, Version: key.version, Route: key.route, Zone: o.zone}
		o.counts[key] = count
	}
	return count
}

// countOutcome counts the outcome of a request that held a slot.
func (c *callerRequest) countOutcome(r result, elapsed time.Duration) {
	bound := c.exit.latencyBound(c.head.Service, c.head.Route)
	slow := bound > 0 && elapsed > bound
	o := &c.exit.outcomes
	o.mu.Lock()
	defer o.mu.Unlock()
	count := o.count(c.outcomeKey())
	if r.kind == notDispatched {
		count.Refused++
		return
	}
	count.Requests++
	if slow {
		count.Slow++
	}
	if r.kind == outcomeUnknown || r.kind == callerGone {
		count.Unknown++
	}
	if r.kind == outcomeUnknown || r.status >= http.StatusInternalServerError {
		count.Failures++
	}
	if r.crashed {
		count.Crashes++
	}
}
