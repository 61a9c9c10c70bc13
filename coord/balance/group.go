package balance

import (
	"slices"
	"sync"
	"time"
)

// saturationLoad is the load of the nearest picked endpoint, in requests per slot, from which
// farther tiers are considered too.
const saturationLoad = 1.0

// Tiers of endpoints by distance from the local host, nearest first.
const (
	tierZone = iota
	tierRegion
	tierElsewhere
	tierCount
)

// Group is the set of endpoints that receive the requests for a version, or for several
// versions if Index.GroupExcept returned it. It is safe for concurrent use.
type Group struct {
	tiers [tierCount][]*Endpoint
	size  int
	// ejection serializes ejections through this group, so that concurrent ones do not exceed
	// maxEjectionPercent together. Other groups may eject the same endpoints.
	ejection sync.Mutex
	// regions holds the parts that within has returned, by the lists of regions.
	regions sync.Map
}

func newGroup(endpoints []*Endpoint, self Locality) *Group {
	group := &Group{size: len(endpoints)}
	for _, endpoint := range endpoints {
		tier := self.tier(endpoint)
		group.tiers[tier] = append(group.tiers[tier], endpoint)
	}
	return group
}

// Size returns the number of endpoints; 0 if the group is nil.
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

// Pick returns an endpoint whose host is not among attempted, or nil if there is none.
// Endpoints that are suspect, ejected, avoided or on probation with a trial in progress are picked
// only if no other remains. Picking an endpoint on probation starts its trial, unless a trial
// is in progress.
func (g *Group) Pick(random Source, now time.Duration, attempted []string) *Endpoint {
	for {
		endpoint := g.pickNearest(random, now, attempted, (*Endpoint).healthy)
		if endpoint == nil {
			return g.pickNearest(random, now, attempted, anyHealth)
		}
		// If another request has started the trial in the meantime, pick again.
		if !endpoint.health.onProbation(now) || endpoint.health.startTrial(now) {
			return endpoint
		}
	}
}

// predicate reports whether an endpoint may be picked at a time.
type predicate func(*Endpoint, time.Duration) bool

func anyHealth(*Endpoint, time.Duration) bool { return true }

// healthy reports whether the endpoint is neither suspect, avoided nor ejected, and due for a trial
// if it is on probation.
func (e *Endpoint) healthy(now time.Duration) bool {
	if e.suspect || e.avoided(now) || e.health.ejected(now) {
		return false
	}
	return !e.health.onProbation(now) || e.health.trialDue(now)
}

// pickNearest returns the endpoint picked in the nearest tier, and that of a farther tier only
// where those of the nearer tiers are saturated and the farther one is less loaded.
func (g *Group) pickNearest(random Source, now time.Duration, attempted []string, eligible predicate) *Endpoint {
	var best *Endpoint
	var bestLoad float64
	for _, tier := range g.tiers {
		endpoint, load := pickOfTwo(tier, random, now, attempted, eligible)
		if endpoint == nil {
			continue
		}
		if best == nil || load < bestLoad {
			best, bestLoad = endpoint, load
		}
		if bestLoad < saturationLoad {
			return best
		}
	}
	return best
}

// pickOfTwo draws two endpoints of a tier at random and returns the better one by penalizedLoad,
// with its load.
func pickOfTwo(tier []*Endpoint, random Source, now time.Duration, attempted []string, eligible predicate) (*Endpoint, float64) {
	best := pickBest(tier, 2, random, now, attempted, eligible)
	if best == nil {
		return nil, 0
	}
	return best, best.Load(now)
}

// pickBest draws count endpoints of a tier at random and returns the best one by penalizedLoad, or
// nil if no endpoint is eligible.
func pickBest(tier []*Endpoint, count int, random Source, now time.Duration, attempted []string, eligible predicate) *Endpoint {
	best := drawEndpoint(tier, random, now, attempted, eligible, nil)
	last := best
	for range count - 1 {
		if last = drawEndpoint(tier, random, now, attempted, eligible, last); last == nil {
			break
		}
		if last.penalizedLoad(now) < best.penalizedLoad(now) {
			best = last
		}
	}
	return best
}

// drawEndpoint returns the first eligible endpoint from a random index on, other than
// exclude.
func drawEndpoint(tier []*Endpoint, random Source, now time.Duration, attempted []string, eligible predicate, exclude *Endpoint) *Endpoint {
	if len(tier) == 0 {
		return nil
	}
	start := IntN(random, len(tier))
	for i := range tier {
		endpoint := tier[(start+i)%len(tier)]
		if endpoint != exclude && eligible(endpoint, now) && !slices.Contains(attempted, endpoint.Host) {
			return endpoint
		}
	}
	return nil
}

// RecordSuccess counts a response that shows the endpoint as healthy, which ends its ejection
// or probation.
func (g *Group) RecordSuccess(endpoint *Endpoint) { endpoint.health.recordSuccess() }

// RecordFailure counts a result that shows the endpoint as unhealthy, and ejects the endpoint
// if it is due for ejection and maxEjectionPercent of this group allows it.
func (g *Group) RecordFailure(endpoint *Endpoint, now time.Duration) {
	if !endpoint.health.recordFailure(now) {
		return
	}
	g.ejection.Lock()
	defer g.ejection.Unlock()
	if endpoint.health.ejected(now) || g.ejectedCount(now) >= g.maxEjected() {
		return
	}
	endpoint.health.eject(now)
}

// RecordSilence counts that the endpoint's host fell silent, or did not answer a dial in time. One
// such result is enough for an ejection: it takes long to show, so that many requests would be
// lost before several were counted, and after the ejection a single trial request shows whether
// the host is back.
func (g *Group) RecordSilence(endpoint *Endpoint, now time.Duration) {
	endpoint.health.failures.Store(ejectionThreshold)
	g.RecordFailure(endpoint, now)
}

func (g *Group) maxEjected() int { return g.size * maxEjectionPercent / 100 }

func (g *Group) ejectedCount(now time.Duration) int {
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
