package balance_test

import (
	"slices"
	"testing"
	"time"

	"sassafrasnotch.example/coord/balance"
)

// evenRandom draws one target.
func evenRandom(m *evenModel, r evenEvent) evenOffers {
	endpoints := m.groups[r.entry].Endpoints()
	return atMost(1, func(excluded []*balance.Endpoint) *balance.Endpoint { return endpoints[m.random.IntN(len(endpoints))] })
}

func evenSearch(m *evenModel, r evenEvent) evenOffers {
	search := balance.NewSearch(m.groups[r.entry], m.after(objectiveWork))
	return func() balance.Offer { return search.Next(m.random, m.clock(), nil) }
}

// maxKnownOffers is the number of targets that a request asks with all loads known. A target refuses
// it where it expects it to end late.
const maxKnownOffers = 3

// evenLeastLoaded knows the load of every target, by slot.
func evenLeastLoaded(m *evenModel, r evenEvent) evenOffers {
	return m.least(r, func(target int) float64 {
		load := m.targets[target].Load(m.wall())
		return float64(load.Outstanding+load.Queued) / float64(load.Slots)
	})
}

// evenFastestFree knows the load and the present speed of every target. It takes the fastest one with a
// free slot, or else the one that is expected to complete the request first.
func evenFastestFree(m *evenModel, r evenEvent) evenOffers {
	return m.least(r, func(target int) float64 {
		load, speed := m.targets[target].Load(m.wall()), m.speedAt(target, m.now)
		if m.targets[target].Available(m.wall()) {
			return 1 / speed
		}
		return 100 + (1+float64(1+load.Queued)/float64(load.Slots))/speed
	})
}

// least returns the offers to the targets that work with the least cost.
func (m *evenModel) least(r evenEvent, cost func(target int) float64) evenOffers {
	return atMost(maxKnownOffers, func(excluded []*balance.Endpoint) *balance.Endpoint {
		var best *balance.Endpoint
		lowest := 0.0
		for _, endpoint := range m.groups[r.entry].Endpoints() {
			if target := m.byHost[endpoint.Host]; target >= m.load.failing && !slices.Contains(excluded, endpoint) {
				if c := cost(target); best == nil || c < lowest {
					best, lowest = endpoint, c
				}
			}
		}
		return best
	})
}

func atMost(count int, draw func(excluded []*balance.Endpoint) *balance.Endpoint) evenOffers {
	var excluded []*balance.Endpoint
	return func() balance.Offer {
		if len(excluded) == count {
			return balance.Offer{}
		}
		endpoint := draw(excluded)
		excluded = append(excluded, endpoint)
		return balance.Offer{Endpoint: endpoint}
	}
}

func TestEvenLoad(t *testing.T) {
	for _, load := range evenLoads() {
		t.Logf("%d entries, load %.2f, work %v, reports %.1f old, failing %d, cold %d", load.entries, load.utilization, load.work, load.reportAge, load.failing, load.cold)
		for _, policy := range []struct {
			name  string
			place evenPolicy
		}{{"random", evenRandom}, {"search", evenSearch}, {"least loaded", evenLeastLoaded}, {"all known", evenFastestFree}} {
			t.Logf("  %-13s %v", policy.name, newEvenModel(load, 1).run(policy.place))
		}
	}
}

func evenLoads() []evenLoad {
	var loads []evenLoad
	for _, entries := range []int{30, 90, 300} {
		for _, utilization := range []float64{0.5, 0.7, 0.85, 0.95} {
			for _, age := range []float64{0.1, 2} {
				loads = append(loads, evenLoad{entries: entries, work: 150 * time.Millisecond, utilization: utilization, reportAge: age, requests: 20000})
			}
		}
	}
	return loads
}
