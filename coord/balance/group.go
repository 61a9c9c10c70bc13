package balance

import (
	"slices"
	"sync"
	"time"
)

// saturated is the load from which hosts farther away are weighed too.
const saturated = 1.0

// Tiers of distance, nearest first.
const (
	tierZone = iota
	tierRegion
	tierElsewhere
	tierCount
)

// Group is the set of endpoints that receive the calls of a version.
type Group struct {
	tiers [tierCount][]*Endpoint
	size  int
	// ejecting serialises ejections, so that their share stays bounded.
	ejecting sync.Mutex
}

func newGroup(endpoints []*Endpoint, self Locality) *Group {
	group := &Group{size: len(endpoints)}
	for _, endpoint := range endpoints {
		tier := self.tier(endpoint)
		group.tiers[tier] = append(group.tiers[tier], endpoint)
	}
	return group
}

// Size returns the number of endpoints.
func (g *Group) Size() int {
	if g == nil {
		return 0
	}
	return g.size
}

// Endpoints returns all endpoints, nearest first.
func (g *Group) Endpoints() []*Endpoint {
	return slices.Concat(g.tiers[:]...)
}

// Pick chooses an endpoint whose host is not among tried, or nil if there is
// none. Endpoints that are ejected or avoided are chosen only when no other is
// left.
func (g *Group) Pick(random Source, now time.Duration, tried []string) *Endpoint {
	for {
		endpoint := g.pick(random, now, tried, (*Endpoint).healthy)
		if endpoint == nil {
			return g.pick(random, now, tried, anyHealth)
		}
		if !endpoint.health.probation(now) || endpoint.health.startTrial(now) {
			return endpoint
		}
	}
}

type filter func(*Endpoint, time.Duration) bool

func anyHealth(*Endpoint, time.Duration) bool { return true }

func (e *Endpoint) healthy(now time.Duration) bool {
	if e.avoided(now) || e.health.ejected(now) {
		return false
	}
	return !e.health.probation(now) || e.health.mayTry(now)
}

// pick takes the nearest tier's choice, and that of a farther tier only where
// the nearer ones are saturated and the farther one is less loaded.
func (g *Group) pick(random Source, now time.Duration, tried []string, fits filter) *Endpoint {
	var best *Endpoint
	var bestLoad float64
	for _, tier := range g.tiers {
		endpoint, load := pickOfTwo(tier, random, now, tried, fits)
		if endpoint == nil {
			continue
		}
		if best == nil || load < bestLoad {
			best, bestLoad = endpoint, load
		}
		if bestLoad < saturated {
			return best
		}
	}
	return best
}

// pickOfTwo draws two endpoints and returns the less loaded one.
func pickOfTwo(tier []*Endpoint, random Source, now time.Duration, tried []string, fits filter) (*Endpoint, float64) {
	first := draw(tier, random, now, tried, fits, nil)
	if first == nil {
		return nil, 0
	}
	firstLoad := first.Load(now)
	second := draw(tier, random, now, tried, fits, first)
	if second == nil {
		return first, firstLoad
	}
	if secondLoad := second.Load(now); secondLoad < firstLoad {
		return second, secondLoad
	}
	return first, firstLoad
}

// draw returns the first fitting endpoint from a random place on.
func draw(tier []*Endpoint, random Source, now time.Duration, tried []string, fits filter, except *Endpoint) *Endpoint {
	if len(tier) == 0 {
		return nil
	}
	start := IntN(random, len(tier))
	for i := range tier {
		endpoint := tier[(start+i)%len(tier)]
		if endpoint != except && fits(endpoint, now) && !slices.Contains(tried, endpoint.Host) {
			return endpoint
		}
	}
	return nil
}

// RecordSuccess records an answer that speaks for the endpoint's health.
func (g *Group) RecordSuccess(endpoint *Endpoint) { endpoint.health.succeed() }

// RecordFailure records a result that speaks against the endpoint's health and ejects
// the endpoint when it is due and the group can spare it.
func (g *Group) RecordFailure(endpoint *Endpoint, now time.Duration) {
	if !endpoint.health.fail(now) {
		return
	}
	g.ejecting.Lock()
	defer g.ejecting.Unlock()
	if endpoint.health.ejected(now) || g.ejected(now) >= g.maxEjected() {
		return
	}
	endpoint.health.eject(now)
}

func (g *Group) maxEjected() int { return g.size * maxEjectedPercent / 100 }

func (g *Group) ejected(now time.Duration) int {
	count := 0
	for _, tier := range g.tiers {
		for _, endpoint := range tier {
			if endpoint.health.ejected(now) {
				count++
			}
		}
	}
	return count
}
