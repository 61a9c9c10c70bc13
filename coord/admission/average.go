package admission

import (
	"math"
	"time"
)

// averageWeight is the divisor by which a new value enters the average.
const averageWeight = 8

// average is an exponentially weighted moving average; 0 before any value.
type average struct {
	value time.Duration
	known bool
}

func (a *average) add(value time.Duration) {
	if !a.known {
		a.known = true
		a.value = value
		return
	}
	a.value += (value - a.value) / averageWeight
}

// estimateLife is the age from which the estimate of a kind begins to fade, halving
// with each further life: several times the work of the longest routes served, and
// short against the time for which a slow spell would keep a kind out.
const estimateLife = time.Second

// estimate is the service time of one kind.
type estimate struct {
	average
	at time.Time // of the last value
}

func (e *estimate) add(value time.Duration, now time.Time) {
	e.average.add(value)
	e.at = now
}

// faded returns the estimate by its age. Requests of a kind that is held to be too
// slow are refused and can't correct that, so that it is forgotten in time.
func (e *estimate) faded(now time.Time) time.Duration {
	over := now.Sub(e.at) - estimateLife
	if over <= 0 {
		return e.value
	}
	return time.Duration(float64(e.value) * math.Exp2(-over.Seconds()/estimateLife.Seconds()))
}
