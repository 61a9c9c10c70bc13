package admission

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one result in the failure rate.
	failureWeight = 1.0 / 8
	// minFailureHalfLife is the shortest time in which a failure rate halves without results, so
	// that a target that gets no more requests is tried again.
	minFailureHalfLife = time.Second
	// failureHalfLifeServices is the same in service times.
	failureHalfLifeServices = 4
)

// failureRate is the moving fraction of results that were failures. The daemon beside a target sees
// all of them, while an entry of a large fleet sees one in hundreds.
type failureRate struct {
	rate      float64
	updatedAt time.Time
}

func (f *failureRate) add(failed bool, halfLife time.Duration, now time.Time) {
	result := 0.0
	if failed {
		result = 1
	}
	f.rate = f.at(now, halfLife)
	f.rate += (result - f.rate) * failureWeight
	f.updatedAt = now
}

func (f *failureRate) at(now time.Time, halfLife time.Duration) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.updatedAt))/float64(halfLife))
}

// RecordResult records whether a dispatched request failed: the target refused it, broke off or
// responded with a server error.
func (t *Target) RecordResult(failed bool, now time.Time) {
	t.failures.add(failed, t.failureHalfLife(), now)
}

// FailureRate returns the recent fraction of failed requests, from 0 to 1.
func (t *Target) FailureRate(now time.Time) float64 {
	return t.failures.at(now, t.failureHalfLife())
}

func (t *Target) failureHalfLife() time.Duration {
	return max(minFailureHalfLife, failureHalfLifeServices*t.service.value)
}
