package nested

import (
	"sync"
	"time"
)

const (
	// minSamples is the aged number of requests from which a route may count as nested. With three
	// quarters of the fleet's hosts in one service, 30 requests of callers that choose any host all
	// begin at that service with a probability of 0.0002.
	minSamples = 30
	// maxForeignShare is the part of a route's requests that may begin elsewhere, such as those of
	// an operator who tries the route.
	maxForeignShare = 0.02
)

// Origins counts, for each route, the services at whose hosts its requests began.
type Origins struct {
	mu     sync.Mutex
	routes map[string]map[string]*agedCount // by route and origin
}

// NewOrigins returns empty counts.
func NewOrigins() *Origins { return &Origins{routes: make(map[string]map[string]*agedCount)} }

// Observe counts a request. The origin is empty if the request states none.
func (o *Origins) Observe(route, origin string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	origins := o.routes[route]
	if origins == nil {
		if len(o.routes) >= maxRoutes {
			o.forget(now)
		}
		if len(o.routes) >= maxRoutes {
			return
		}
		origins = make(map[string]*agedCount)
		o.routes[route] = origins
	}
	count := origins[origin]
	if count == nil {
		count = &agedCount{}
		origins[origin] = count
	}
	count.add(1, now, halfLife)
}

// Nested reports whether the requests of the route come from the hosts of the origin service only.
func (o *Origins) Nested(route, origin string, now time.Time) bool {
	if origin == "" {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	own, foreign := 0.0, 0.0
	for service, count := range o.routes[route] {
		if service == origin {
			own = count.at(now, halfLife)
		} else {
			foreign += count.at(now, halfLife)
		}
	}
	return own >= minSamples && foreign <= maxForeignShare*(own+foreign)
}

// forget removes routes and origins of which hardly anything is remembered.
func (o *Origins) forget(now time.Time) {
	const negligible = 0.1
	for route, origins := range o.routes {
		for service, count := range origins {
			if count.at(now, halfLife) < negligible {
				delete(origins, service)
			}
		}
		if len(origins) == 0 {
			delete(o.routes, route)
		}
	}
}
