package balance

import (
	"math"
	"sync"
	"time"
)

const (
	// usualWeight and paceWeight are the divisors by which an answer's time enters
	// the averages of its route and of its endpoint. The former spans the endpoints
	// of a service, the latter the answers of a second or two.
	usualWeight = 64
	paceWeight  = 16
	// Bounds of one answer against the usual, so that a single one says little.
	leastRatio = 0.2
	mostRatio  = 5
	// paceLife is the time in which what was seen fades to a third, and paceNoise
	// the difference from the usual that is not told from it.
	paceLife  = 2 * time.Second
	paceNoise = 0.1
	// maxRoutes bounds the routes whose usual times are kept.
	maxRoutes = 1024
)

// paces compares the times of answers with the usual of their routes. It is safe
// for concurrent use and outlives the tables that refer to it.
type paces struct {
	mu    sync.Mutex
	usual map[string]float64 // seconds, by route
}

func newPaces() *paces { return &paces{usual: make(map[string]float64)} }

// ratio takes in the time of an answer and returns how it compares with the
// usual.
func (p *paces) ratio(route string, took time.Duration) float64 {
	seconds := took.Seconds()
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, known := p.usual[route]
	if !known {
		if len(p.usual) < maxRoutes {
			p.usual[route] = seconds
		}
		return 1
	}
	p.usual[route] = usual + (seconds-usual)/usualWeight
	if usual <= 0 {
		return 1
	}
	return min(max(seconds/usual, leastRatio), mostRatio)
}

// pace is how slow an endpoint is against the others, 1 for the usual. What was
// seen of an endpoint that gets no calls fades, so that it is tried again.
type pace struct {
	mu    sync.Mutex
	value float64       // 0 before any answer
	at    time.Duration // of the last answer
}

func (p *pace) present(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faded(now)
}

// faded returns the value as of now. The caller holds the lock.
func (p *pace) faded(now time.Duration) float64 {
	if p.value == 0 {
		return 1
	}
	value := 1 + (p.value-1)*math.Exp(-float64(now-p.at)/float64(paceLife))
	if math.Abs(value-1) < paceNoise {
		return 1
	}
	return value
}

func (p *pace) add(ratio float64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value := p.faded(now)
	p.value = value + (ratio-value)/paceWeight
	p.at = now
}

// Answered takes in the time of a whole answer on a route.
func (g *Group) Answered(endpoint *Endpoint, route string, took, now time.Duration) {
	endpoint.pace.add(g.paces.ratio(route, took), now)
}

// cost estimates, in the units of Load, when a further call would be answered.
func (e *Endpoint) cost(load float64, now time.Duration) float64 {
	return (load + 1/float64(max(e.Slots, 1))) * e.pace.present(now)
}
