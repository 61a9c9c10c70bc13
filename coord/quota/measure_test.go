package quota

import (
	"sort"
	"time"
)

// worst returns the largest part of the bound that any tenant used in a window that lies in the interval,
// without and with the slack.
func (s *sim) worst(from, to time.Duration) (withoutSlack, withSlack float64, name string) {
	for _, t := range s.tenants {
		limit := s.limits[t.name]
		allowed := (limit.Rate*testWindow.Seconds() + limit.Burst) * (1 + testOverage)
		first, count := 0, 0
		for i, at := range t.served {
			for t.served[first] <= at-testWindow {
				first++
			}
			if t.served[first] < from || at > to {
				continue
			}
			count = max(count, i-first+1)
		}
		if used := float64(count) / (allowed + testSlack); used > withSlack {
			withSlack, name = used, t.name
		}
		withoutSlack = max(withoutSlack, float64(count)/allowed)
	}
	return withoutSlack, withSlack, name
}

// share returns the requests served in the interval as a part of those that one bucket for the whole fleet,
// without delay or failure, would have served.
func (s *sim) share(from, to time.Duration, include func(*simTenant) bool) float64 {
	served, possible := 0, 0
	for _, t := range s.tenants {
		if !include(t) {
			continue
		}
		limit := s.limits[t.name]
		level, last := limit.Burst, time.Duration(0)
		for _, at := range t.arrived {
			level = min(limit.Burst, level+limit.Rate*(at-last).Seconds())
			last = at
			if level >= 1 {
				level--
				if at >= from && at < to {
					possible++
				}
			}
		}
		for _, at := range t.served {
			if at >= from && at < to {
				served++
			}
		}
	}
	return float64(served) / float64(max(possible, 1))
}

func all(*simTenant) bool { return true }

// heal ends all network partitions.
func (s *sim) heal() {
	for _, n := range s.nodes {
		n.group = 0
	}
	s.changed()
}

// coordinatorsFirst returns the daemons in the order of the present coordinators, then the others.
func (s *sim) coordinatorsFirst() []*simNode {
	nodes := append([]*simNode(nil), s.nodes...)
	sort.SliceStable(nodes, func(i, j int) bool {
		return nodes[i].coordinator.Part(s.now) > nodes[j].coordinator.Part(s.now)
	})
	return nodes
}

// watchParts adds up what the parts of a tenant's limit in use exceed the limit, in seconds of its rate. Parts
// overlap for the time of a message while they change hands.
func (s *sim) watchParts(tenant string, excess *float64) {
	const interval = 10 * time.Millisecond
	sum := 0.0
	for _, n := range s.nodes {
		if n.works() {
			sum += n.shares.Entitlement(s.now, tenant, n.coordinator.Part(s.now))
		}
	}
	*excess += max(sum-1, 0) * interval.Seconds()
	s.at(s.now+interval, func() { s.watchParts(tenant, excess) })
}
