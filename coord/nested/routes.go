package nested

import (
	"sync"
	"time"
)

const (
	// minReports is the aged number of reports from which an entry believes them.
	minReports = 1.5
	// MaxOriginShare is the largest part of the fleet's hosts that the origin service may have. With
	// more, callers that choose any host look like targets of that service.
	MaxOriginShare = 0.75
)

// Routes holds what exits report about routes to the entry of one daemon: whether their requests are
// nested where they come from the service of this host, and how many nested requests a run makes.
type Routes struct {
	mu     sync.RWMutex
	routes map[string]*routeReports
}

type routeReports struct {
	nested, outside agedCount
	calls           float64 // nested requests of a run, by the latest reports
	callsAt         time.Time
	believed        bool // by the latest report
}

// NewRoutes returns a Routes without reports.
func NewRoutes() *Routes { return &Routes{routes: make(map[string]*routeReports)} }

// callsWeight is the weight of one report in the number of nested requests of a run.
const callsWeight = 0.25

// Observe records the report of an exit about a route. It reports whether the requests of the route
// count as nested from now on though they did not before, or no longer do.
func (r *Routes) Observe(route string, nested bool, callsPerRun float64, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := r.routes[route]
	if reports == nil {
		if len(r.routes) >= maxRoutes {
			return false
		}
		reports = &routeReports{}
		r.routes[route] = reports
	}
	if nested {
		reports.nested.add(1, now, halfLife)
	} else {
		reports.outside.add(1, now, halfLife)
	}
	reports.calls += (callsPerRun - reports.calls) * callsWeight
	reports.callsAt = now
	before := reports.believed
	reports.believed = reports.isNested(now)
	return reports.believed != before
}

// Nested reports whether the requests that begin at this host on the route are nested: most of the
// recent reports of exits say so. One exit that has just started has too few samples and reports that
// they are not.
func (r *Routes) Nested(route string, now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	reports := r.routes[route]
	return reports != nil && reports.isNested(now)
}

func (r *routeReports) isNested(now time.Time) bool {
	nested := r.nested.at(now, halfLife)
	return nested >= minReports && nested > r.outside.at(now, halfLife)
}

// CallsPerRun returns how many nested requests a run of the route makes; 0 if it makes hardly any or
// nothing was reported within two half-lives.
func (r *Routes) CallsPerRun(route string, now time.Time) float64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	reports := r.routes[route]
	if reports == nil || reports.calls < minCallsPerRun || now.Sub(reports.callsAt) > 2*halfLife {
		return 0
	}
	return reports.calls
}
