package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// refusalWeight is the weight of one request in the part of refused ones. An entry sees a few
	// requests of a service a second.
	refusalWeight = 1.0 / 32
	// refusalHalfLife is the time in which that part halves without requests.
	refusalHalfLife = 2 * time.Second
	// maxRefused bounds that part in the calculation, so that callers come back in time to see a
	// recovery.
	maxRefused = 0.95
	// honouredPart is the part of a caller's remaining time that it waits at most.
	honouredPart = 1.0 / 3
	// minSpread and spread are the least part of the stated time, and the width of its jitter.
	minSpread, spread = 0.5, 1.0
)

// Returns decides when refused callers of a service are to come back. They answer a service that
// refuses many: those who come back at the time at which one request would find room meet all
// others who were told the same. It is safe for concurrent use.
type Returns struct {
	mu        sync.Mutex
	refused   float64 // moving part of the requests
	updatedAt time.Time
}

// Record records whether a request was refused in the end.
func (r *Returns) Record(refused bool, now time.Time) {
	result := 0.0
	if refused {
		result = 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.rate(now)
	r.refused, r.updatedAt = rate+(result-rate)*refusalWeight, now
}

func (r *Returns) rate(now time.Time) float64 {
	if r.refused == 0 {
		return 0
	}
	age := max(now.Sub(r.updatedAt), 0)
	return r.refused * math.Exp2(-float64(age)/float64(refusalHalfLife))
}

// After returns the time after which a refused caller is to come back: the wait until a request finds
// room, longer the more requests are refused, with a jitter, and no longer than callers wait. The draw
// is uniform from 0 up to 1.
func (r *Returns) After(wait, remaining time.Duration, draw float64, now time.Time) time.Duration {
	r.mu.Lock()
	refused := min(r.rate(now), maxRefused)
	r.mu.Unlock()
	longest := honouredPart / (minSpread + spread) * float64(max(remaining, 0))
	mean := min(float64(wait)/(1-refused), longest)
	return time.Duration(mean * (minSpread + spread*draw))
}
