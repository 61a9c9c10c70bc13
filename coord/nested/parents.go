package nested

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// minRuns is the aged number of runs of a route from which its nested requests are reported.
	minRuns = 5
	// minCallsPerRun is the number of nested requests of a run below which a route counts as making
	// none: attribution is a little uncertain while several routes run.
	minCallsPerRun = 0.1
	// priorSeconds is the run time, with one nested request in it, that every route is assumed to
	// have had. Requests are attributed evenly until the routes differ.
	priorSeconds = 0.05
)

// Parents learns which of the routes that run at a host's targets make which nested requests. It
// attributes each nested request to the routes that run at that moment, in proportion to the rate at
// which each has made such requests so far. Over many requests this converges on the routes that
// make them, as expectation maximisation does for a mixture of Poisson processes.
type Parents struct {
	// Throttle decides on further runs of the routes.
	Throttle *Throttle

	mu     sync.Mutex
	routes map[string]*parentRoute
}

type parentRoute struct {
	running int
	runs    agedCount             // ended
	seconds agedCount             // that runs took
	calls   map[string]*agedCount // attributed nested requests, by their route
}

// NewParents returns a Parents that has learned nothing.
func NewParents() *Parents {
	return &Parents{Throttle: NewThrottle(), routes: make(map[string]*parentRoute)}
}

// Begin records that a run of a route begins at a target of this host.
func (p *Parents) Begin(route string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	parent := p.routes[route]
	if parent == nil {
		parent = &parentRoute{calls: make(map[string]*agedCount)}
		p.routes[route] = parent
	}
	parent.running++
}

// End records that a run has ended. Every Begin is followed by one End.
func (p *Parents) End(route string, ran time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	parent := p.routes[route]
	parent.running--
	parent.runs.add(1, now, halfLife)
	parent.seconds.add(ran.Seconds(), now, halfLife)
	if len(p.routes) > maxRoutes && parent.running == 0 {
		delete(p.routes, route)
	}
}

// Observe attributes a nested request that arrives at this host's entry.
func (p *Parents) Observe(nestedRoute string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, parent := range p.routes {
		sum += parent.intensity(nestedRoute, now)
	}
	if sum == 0 {
		return
	}
	// The intensities are those before this request, also for the routes that come later in the loop.
	for _, parent := range p.routes {
		weight := parent.intensity(nestedRoute, now)
		if weight == 0 {
			continue
		}
		count := parent.calls[nestedRoute]
		if count == nil {
			count = &agedCount{}
			parent.calls[nestedRoute] = count
		}
		count.add(weight/sum, now, halfLife)
	}
}

// intensity returns the rate, relative to other routes, at which the running requests of the route
// make nested requests on a route.
func (r *parentRoute) intensity(nestedRoute string, now time.Time) float64 {
	if r.running == 0 {
		return 0
	}
	calls := 0.0
	if count := r.calls[nestedRoute]; count != nil {
		calls = count.at(now, halfLife)
	}
	return float64(r.running) * (calls + 1) / (r.seconds.at(now, halfLife) + priorSeconds)
}

// CallsPerRun returns how many nested requests a run of the route makes; 0 if it makes none or too
// few runs have ended.
func (p *Parents) CallsPerRun(route string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	parent := p.routes[route]
	if parent == nil {
		return 0
	}
	runs := parent.runs.at(now, halfLife)
	if runs < minRuns {
		return 0
	}
	sum := 0.0
	for _, count := range parent.calls {
		if perRun := count.at(now, halfLife) / runs; perRun >= minCallsPerRun {
			sum += perRun
		}
	}
	return sum
}

// Running returns the number of requests that targets of this host run.
func (p *Parents) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := 0
	for _, parent := range p.routes {
		running += parent.running
	}
	return running
}

// Routes returns the routes that have run at targets of this host.
func (p *Parents) Routes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.routes))
}
