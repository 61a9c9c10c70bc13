package nested

import (
	"sync"
	"time"
)

const (
	// throttleHalfLife is the memory for the ends of runs. A longer one lets a little more runs through
	// that fail, in steady overload too.
	throttleHalfLife = 500 * time.Millisecond
	// shortageHalfLife is the time in which the lack of room at other services fades without nested
	// requests. It bounds how long runs are refused after a recovery.
	shortageHalfLife = 500 * time.Millisecond
	// throttleRatio is the number of requests that are let through for each success. Refusals begin when
	// fewer than 1/1.1 = 0.9 of the runs succeed.
	throttleRatio = 1.1
	// minShortage is the part of a host's nested requests that are refused for lack of room from which
	// runs are refused. Below it the failures have another cause, and fewer runs would not help.
	minShortage = 0.05
	// shortageWeight is the weight of one nested request in that part. The few that probes make have to
	// outweigh those before a recovery.
	shortageWeight = 1.0 / 8
	// minThrottleRequests is the aged number of requests of a route from which they may be refused: about
	// six a second. With eight, a sixth of the run time was thrown away at eight runs a second, with
	// four a tenth.
	minThrottleRequests = 4
	// probeInterval is the time after which a request is let through in any case, so that a recovery
	// is seen.
	probeInterval = 250 * time.Millisecond
	// episodePause is the time without refusals after which the next one is the first of others.
	episodePause = 10 * time.Second
)

// Throttle decides on requests from outside whose runs mostly fail because the nested requests that
// they make are refused. It lets through as many as the successes of the last second justify
// (adaptive throttling) and refuses the others before they take a slot.
type Throttle struct {
	mu     sync.Mutex
	routes map[string]*throttledRoute
	// shortage is the moving part of the nested requests of this host that other services refused for
	// lack of room. It fades, so that a host without nested requests does not stay throttled.
	shortage agedCount
}

type throttledRoute struct {
	requests, successes agedCount // requests are those that ended or were refused here
	lastPass            time.Time
	refused             uint64
	lastRefusal         time.Time
}

// NewThrottle returns a Throttle that lets everything through.
func NewThrottle() *Throttle { return &Throttle{routes: make(map[string]*throttledRoute)} }

// Refuse reports whether a request of the route is refused, and counts it in that case. It reports
// too whether that is the first one after episodePause without any. The draw is uniform from 0 up to 1.
func (t *Throttle) Refuse(route string, draw float64, now time.Time) (refuse, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.routes[route]
	if state == nil || !t.otherIsShort(now) || now.Sub(state.lastPass) >= probeInterval || draw >= state.refusals(now) {
		if state != nil {
			state.lastPass = now
		}
		return false, false
	}
	state.requests.add(1, now, throttleHalfLife)
	state.refused++
	first = now.Sub(state.lastRefusal) >= episodePause
	state.lastRefusal = now
	return true, first
}

// Refused returns the number of requests that were refused, by route.
func (t *Throttle) Refused() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := make(map[string]uint64)
	for route, state := range t.routes {
		if state.refused > 0 {
			refused[route] = state.refused
		}
	}
	return refused
}

// RefusalRate returns the part of the route's requests that are refused at present.
func (t *Throttle) RefusalRate(route string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.routes[route]; state != nil && t.otherIsShort(now) {
		return state.refusals(now)
	}
	return 0
}

func (r *throttledRoute) refusals(now time.Time) float64 {
	requests := r.requests.at(now, throttleHalfLife)
	if requests < minThrottleRequests {
		return 0
	}
	return max(requests-throttleRatio*r.successes.at(now, throttleHalfLife), 0) / (requests + 1)
}

// End records the end of a run of a route that makes nested requests.
func (t *Throttle) End(route string, succeeded bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.routes[route]
	if state == nil {
		if len(t.routes) >= maxRoutes {
			return
		}
		state = &throttledRoute{}
		t.routes[route] = state
	}
	state.requests.add(1, now, throttleHalfLife)
	if succeeded {
		state.successes.add(1, now, throttleHalfLife)
	}
}

// RecordNested records the end of a nested request that a target of this host made, and whether the
// other service refused it for lack of room.
func (t *Throttle) RecordNested(lackOfRoom bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := 0.0
	if lackOfRoom {
		result = 1
	}
	shortage := t.shortage.at(now, shortageHalfLife)
	t.shortage = agedCount{value: shortage + (result-shortage)*shortageWeight, updatedAt: now}
}

// otherIsShort reports whether nested requests of this host are refused for lack of room.
func (t *Throttle) otherIsShort(now time.Time) bool {
	return t.shortage.at(now, shortageHalfLife) >= minShortage
}
