package admission

import (
	"math"
	"time"
)

// ewmaDivisor is the reciprocal of the weight of a new value in the moving average.
const ewmaDivisor = 8

// ewma is an exponentially weighted moving average; 0 before the first value.
type ewma struct {
	value       time.Duration
	initialized bool
}

func (a *ewma) add(value time.Duration) {
	if !a.initialized {
		a.initialized = true
		a.value = value
		return
	}
	a.value += (value - a.value) / ewmaDivisor
}

// estimateHalfLife is the age from which an estimate decays; it then halves with each
// further half-life. It is several times the service time of the longest routes served,
// and short compared with the time for which a period of slow responses would otherwise
// keep a class refused.
const estimateHalfLife = time.Second

// serviceEstimate is the estimated service time of one class.
type serviceEstimate struct {
	ewma
	deviation ewma // mean absolute difference from the average
	updatedAt time.Time
}

func (e *serviceEstimate) add(value time.Duration, now time.Time) {
	if e.initialized {
		e.deviation.add((value - e.value).Abs())
	}
	e.ewma.add(value)
	e.updatedAt = now
}

// decayed returns the estimate after decay by its age. Requests of a class whose estimate
// is too long are refused and so can't correct it; decay ends that state.
func (e *serviceEstimate) decayed(now time.Time) time.Duration {
	over := now.Sub(e.updatedAt) - estimateHalfLife
	if over <= 0 {
		return e.value
	}
	return time.Duration(float64(e.value) * math.Exp2(-over.Seconds()/estimateHalfLife.Seconds()))
}

// recordService records the service time of a request of a class.
func (t *Target) recordService(class string, duration time.Duration, now time.Time) {
	t.service.add(duration)
	estimate := t.classes[class]
	if estimate == nil {
		t.evictClass()
		estimate = &serviceEstimate{}
		t.classes[class] = estimate
	}
	estimate.add(duration, now)
}

// maxClasses bounds the classes with a recorded service time. It is more than the routes
// of one service that carry traffic at the same time.
const maxClasses = 64

// evictClass makes room for another class by removing the one whose last completion is
// the oldest.
func (t *Target) evictClass() {
	if len(t.classes) < maxClasses {
		return
	}
	oldest := ""
	for class, estimate := range t.classes {
		if oldest == "" || estimate.updatedAt.Before(t.classes[oldest].updatedAt) {
			oldest = class
		}
	}
	delete(t.classes, oldest)
}
