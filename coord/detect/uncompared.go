package detect

import "math"

// uncomparedSlowMargin is the excess of slow responses, over the rate expected of the old version, up to
// which the zone and not the version is taken for slow.
const uncomparedSlowMargin = 0.5

// expectedRates holds what is known of the old version's event rates for a cell in which it has no
// requests to compare those of the new version with.
type expectedRates struct {
	past counts // of the old version in all cells, in earlier windows
	now  counts // of the old version in all cells, in the open window
}

func newExpectedRates(cells []*cell) expectedRates {
	var e expectedRates
	for _, c := range cells {
		e.past.add(c.total[OldVersion])
		e.now.add(c.window[OldVersion])
	}
	return e
}

// rate returns the larger of the rates that the cell's earlier windows and the other cells of the open
// window suggest.
func (e *expectedRates) rate(c *cell, metric int) float64 {
	mean := e.past.arm(metric).rate(priorRate, priorWeight)
	return max(
		c.total[OldVersion].arm(metric).rate(mean, priorWeight),
		e.now.arm(metric).rate(mean, priorWeight),
	)
}

// computeUncomparedEvidence computes the log e-values of an open window without requests of the old
// version: while the new version receives all requests, or in a zone without hosts of the old one. The
// null hypothesis is that the new version's rate exceeds the expected rate by at most the margin, which
// is larger than Config.Margin because the rate of both versions may have changed meanwhile. Slow
// responses count only while the old version has requests elsewhere, because a peak of load slows either
// version.
func (c *cell) computeUncomparedEvidence(config Config, warmingUp bool, expected expectedRates) {
	for m, metric := range metrics {
		if metric == Slow && (warmingUp || expected.now.requests == 0) {
			clear(c.logEs[m])
			continue
		}
		null := clamp(expected.rate(c, m) + config.uncomparedMargin(metric))
		for i, excess := range excessAlternatives {
			c.logEs[m][i] = logLikelihoodRatio(c.window[NewVersion].arm(m), clamp(null+excess), null)
		}
	}
}

// uncomparedMargin returns the excess over the expected rate that counts as harmless. Below half of
// Config.Effect, a version that is worse by Effect is still found.
func (c *Config) uncomparedMargin(metric Metric) float64 {
	margin := max(c.Margin, c.Effect/2)
	if metric == Slow {
		return max(margin, uncomparedSlowMargin)
	}
	return margin
}

// logLikelihoodRatio returns the logarithm of the e-value of one arm: the ratio of its likelihood under
// the alternative to that under the null, which is at most the alternative. Its expectation is at most
// 1 under every rate up to the null.
func logLikelihoodRatio(a arm, alternative, null float64) float64 {
	return a.k*math.Log(alternative/null) + (a.n-a.k)*(math.Log1p(-alternative)-math.Log1p(-null))
}
