package detect

import "math"

// testedBounds are the excesses tested for exclusion, in decreasing order.
var testedBounds = []float64{
	0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.25, 0.2, 0.15, 0.12, 0.1, 0.08, 0.06,
	0.05, 0.04, 0.03, 0.025, 0.02, 0.015, 0.012, 0.01, 0.008, 0.006, 0.005,
}

// excessTest bounds the excess of the new version's event rate from above. It runs one test
// against each of testedBounds. A bound is excluded only after all larger ones, so that the
// probability of ever excluding the true excess is at most beta for the whole family
// (fixed-sequence testing).
type excessTest struct {
	threshold float64  // log wealth that excludes a bound
	wealth    []wealth // by testedBounds
	bound     float64  // smallest bound excluded so far, or 1
}

func newExcessTest(beta float64) *excessTest {
	e := &excessTest{threshold: math.Log(1 / beta), bound: 1}
	for range testedBounds {
		e.wealth = append(e.wealth, newWealth(1))
	}
	return e
}

// observe adds the counts of one window. The old version's expected rate is derived from earlier
// windows only, as the e-values require.
func (e *excessTest) observe(p pooledWindow) {
	if p.new.n == 0 {
		return
	}
	alternative := rates{old: p.rate, new: p.rate}
	for i, bound := range testedBounds {
		bet := logE(p.old, p.new, alternative, bound)
		e.wealth[i].bet([]float64{bet}, math.Inf(1))
	}
	e.bound = min(e.bound, e.ruledOutBound())
}

// ruledOutBound returns the smallest bound that the evidence excludes in sequence, or 1.
func (e *excessTest) ruledOutBound() float64 {
	smallest := 1.0
	for i, bound := range testedBounds {
		if e.wealth[i].log() < e.threshold {
			break
		}
		smallest = bound
	}
	return smallest
}

// Metrics whose excess is bounded: failed requests and slow responses.
const (
	failedRequests = iota
	slowResponses
	boundedMetrics // number of these metrics
)

// excessBounds bounds the excesses of a version over the requests since a point in time.
type excessBounds struct {
	requests uint64
	tests    [boundedMetrics]*excessTest
}

func newExcessBounds(beta float64) excessBounds {
	var s excessBounds
	for i := range s.tests {
		s.tests[i] = newExcessTest(beta)
	}
	return s
}

// largest returns the larger of the bounds. Each is tested at the full error probability beta,
// because a version that is worse in either metric has to pass both tests to be judged good.
func (s *excessBounds) largest() float64 {
	largest := 0.0
	for _, e := range s.tests {
		largest = max(largest, e.bound)
	}
	return largest
}

// observe adds the open window of all cells.
func (s *excessBounds) observe(cells []*cell, warmingUp bool) {
	for i, e := range s.tests {
		if warmingUp && i == slowResponses {
			continue
		}
		e.observe(poolCells(cells, i))
	}
	for _, c := range cells {
		s.requests += uint64(c.window[NewVersion].requests)
	}
}

// pooledWindow holds one window over all cells.
type pooledWindow struct {
	old, new arm
	// rate is the old version's expected rate for the new version's mix of cells.
	rate float64
}

// poolCells returns the open window over all cells. The old version's counts are weighted to the
// new version's mix of routes and zones, so that a zone that is slow for both versions does not
// count against the version that has more traffic there.
func poolCells(cells []*cell, metric int) pooledWindow {
	var p pooledWindow
	var oldShared, oldTotal arm
	for _, c := range cells {
		oldTotal = oldTotal.add(c.total[OldVersion].boundedArm(metric))
		if n := c.window[NewVersion].boundedArm(metric); n.n > 0 {
			p.new = p.new.add(n)
			oldShared = oldShared.add(c.window[OldVersion].boundedArm(metric))
		}
	}
	mean := oldTotal.rate(priorRate, priorWeight)
	expected := 0.0
	for _, c := range cells {
		o, n := c.window[OldVersion].boundedArm(metric), c.window[NewVersion].boundedArm(metric)
		if n.n == 0 {
			continue
		}
		expected += n.n * c.total[OldVersion].boundedArm(metric).rate(mean, priorWeight)
		if o.n > 0 {
			weight := min(1, oldShared.n/p.new.n*n.n/o.n)
			p.old = p.old.add(arm{o.n * weight, o.k * weight})
		}
	}
	p.rate = clamp(expected / p.new.n)
	return p
}

// boundedArm returns the arm of a metric whose excess is bounded.
func (c *counts) boundedArm(metric int) arm {
	if metric == failedRequests {
		return c.failedArm()
	}
	return c.arm(1)
}
