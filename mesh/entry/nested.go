package entry

import (
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/nested"
	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// serviceHosts is the number of hosts with a target, of each service and in total.
type serviceHosts struct {
	byService map[string]int
	total     int
}

func countServiceHosts(members []gossip.Member) *serviceHosts {
	counts := &serviceHosts{byService: make(map[string]int)}
	for i := range members {
		seen := make(map[string]bool, 1)
		for _, target := range members[i].Targets {
			if !seen[target.Service] {
				seen[target.Service] = true
				counts.byService[target.Service]++
			}
		}
		if len(seen) > 0 {
			counts.total++
		}
	}
	return counts
}

// distinct reports whether the service has few enough of the hosts that requests from them only can't
// be those of callers that choose any host.
func (h *serviceHosts) distinct(service string) bool {
	return service != "" && float64(h.byService[service]) <= nested.MaxOriginShare*float64(h.total)
}

// detectNested sets whether the request is made by a target while it runs another one: its chain has
// passed an entry before, or the exits report that requests on its route from the hosts of this
// service are nested. The latter are attributed to what runs at the targets of this host.
func (c *callerRequest) detectNested() {
	e := c.entry
	now := time.Now()
	if e.nestedRoutes.Nested(c.route.Name, now) && e.routing.hostsByService.Load().distinct(*e.service.Load()) {
		c.nested, c.parentHere = true, true
		e.deps.Parents.Observe(c.route.Name, now)
	} else {
		c.nested = c.hops > 1
	}
	if c.nested {
		e.nestedRequests.Add(1)
	}
	c.kind = retry.Kind{Nested: c.parentHere, CallsPerRun: e.nestedRoutes.CallsPerRun(c.route.Name, now)}
}

// recordNested records whether a request that a target of this host made was refused for lack of room.
func (c *callerRequest) recordNested(failed *failure) {
	if c.parentHere && !c.cancelled() {
		c.entry.deps.Parents.Throttle.RecordNested(failed.isLackOfRoom(), time.Now())
	}
}

// isLackOfRoom reports whether hosts refused the request, or let its deadline pass in a queue, because
// their targets were busy.
func (f *failure) isLackOfRoom() bool {
	if f == nil || f.outcome != retry.Refused {
		return false
	}
	return f.byAdmission || f.reason == ReasonExpired || f.reason == ReasonDependency
}

// observeNested records what an exit reports about the route.
func (c *callerRequest) observeNested(load *peerpb.Load) {
	calls := float64(load.GetNestedCallsPermille()) / 1000
	if c.entry.nestedRoutes.Observe(c.route.Name, load.GetNestedRoute(), calls, time.Now()) {
		c.entry.deps.Log.Info("nested requests recognized or no longer recognized", zap.String("service", c.service),
			zap.String("route", c.route.Name), zap.Bool("nested", load.GetNestedRoute()))
	}
}

// NestedRequests returns the number of requests that were made by targets while they ran others.
func (e *Entry) NestedRequests() uint64 { return e.nestedRequests.Load() }
