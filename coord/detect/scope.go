package detect

import "math"

// excessAlternatives are the alternative hypotheses of the test that detects a worse version: by
// how much the probability of an event exceeds the sum of the old version's and the margin.
var excessAlternatives = []float64{0.02, 0.06, 0.2, 0.6, 0.98}

// priorRate and priorWeight are the prior of the old version's event rate and its weight as a
// number of requests.
const (
	priorRate   = 0.005
	priorWeight = 20.0
)

// cell holds the counts of one route in one zone; it is a stratum of the tests.
type cell struct {
	key    Scope
	window [2]counts // by Version
	total  [2]counts
	// logEs holds the log e-values of the open window by metric and alternative.
	logEs [][]float64
}

// counts holds the number of requests and of events by metric.
type counts struct {
	requests float64
	events   [4]float64 // by metrics
}

func (c *counts) add(other counts) {
	c.requests += other.requests
	for i, events := range other.events {
		c.events[i] += events
	}
}

// arm returns the arm of one metric.
func (c *counts) arm(metric int) arm {
	return arm{n: max(c.requests, c.events[metric]), k: c.events[metric]}
}

// failedArm returns the arm of all requests that ended without a good response. A request may be
// counted as a failure, a crash and an unknown outcome at once, so the largest count stands for
// all three.
func (c *counts) failedArm() arm {
	k := max(c.events[0], c.events[2], c.events[3])
	return arm{n: max(c.requests, k), k: k}
}

func newCell(key Scope) *cell {
	c := &cell{key: key, logEs: make([][]float64, len(metrics))}
	for m := range metrics {
		c.logEs[m] = make([]float64, len(excessAlternatives))
	}
	return c
}

func (c *cell) observe(s Sample) {
	c.window[s.Version].add(counts{
		requests: float64(s.Requests),
		events:   [4]float64{float64(s.Failures), float64(s.Slow), float64(s.Crashes), float64(s.Unknown)},
	})
}

// computeEvidence computes the log e-values of the open window. The alternatives are derived from
// earlier windows only, as the e-values require.
func (c *cell) computeEvidence(config Config, warmingUp bool) {
	for m, metric := range metrics {
		if warmingUp && metric == Slow {
			clear(c.logEs[m])
			continue
		}
		oldRate := c.total[OldVersion].arm(m).rate(priorRate, priorWeight)
		old, new := c.window[OldVersion].arm(m), c.window[NewVersion].arm(m)
		for i, excess := range excessAlternatives {
			alternative := rates{old: oldRate, new: clamp(oldRate + config.Margin + excess)}
			c.logEs[m][i] = logE(old, new, alternative, config.Margin)
		}
	}
}

// closeWindow adds the open window to the totals and clears it.
func (c *cell) closeWindow() {
	for v := range c.window {
		c.total[v].add(c.window[v])
		c.window[v] = counts{}
	}
}

// scope tests one part of the traffic, stratified by its cells.
type scope struct {
	key    Scope
	cells  []*cell
	zones  []*zoneCells
	wealth []wealth // by metrics
	// threshold is the log wealth that rejects the hypothesis that the new version is no worse
	// than the margin allows.
	threshold float64
	sum       []float64 // log e-values of a window by alternative; reused by bet
}

// newScope returns a scope without evidence. The first scope, the total, gets half of alpha; the
// others share the rest by the order k of their creation, with weights 1/(k(k+1)), which sum to
// 1.
func newScope(key Scope, k int, alpha float64) *scope {
	weight := 0.5
	if k > 0 {
		weight = 0.5 / float64(k*(k+1))
	}
	s := &scope{
		key:       key,
		threshold: math.Log(float64(len(metrics)) / (alpha * weight)),
		sum:       make([]float64, len(excessAlternatives)),
	}
	for range metrics {
		s.wealth = append(s.wealth, newWealth(len(excessAlternatives)))
	}
	return s
}

// maxFullZones is the number of zones whose evidence of one window may count up to the limit of a
// zone.
const maxFullZones = 2

// bet adds the evidence of the open window. Each zone counts for at most limit nats, because an
// event that affects one zone for a moment, such as the loss of a host, must not decide the
// verdict. All zones together count for at most maxFullZones times the limit, so that a fault in
// every zone is detected sooner.
func (s *scope) bet(limit float64) {
	for m := range metrics {
		clear(s.sum)
		for _, zone := range s.zones {
			for i := range s.sum {
				s.sum[i] += zone.logE(m, i, limit)
			}
		}
		s.wealth[m].bet(s.sum, maxFullZones*limit)
	}
}

// zoneCells holds the cells of a scope that lie in one zone.
type zoneCells struct {
	zone  string
	cells []*cell
}

// logE returns the log e-value of the zone's window, limited from above. The limit only lowers an
// e-value, so the bound on the false-alarm probability (Config.Alpha) still holds.
func (z *zoneCells) logE(metric, alternative int, limit float64) float64 {
	sum := 0.0
	for _, c := range z.cells {
		sum += c.logEs[metric][alternative]
	}
	return min(sum, limit)
}

// add adds a cell to the scope.
func (s *scope) add(c *cell) {
	s.cells = append(s.cells, c)
	for _, z := range s.zones {
		if z.zone == c.key.Zone {
			z.cells = append(z.cells, c)
			return
		}
	}
	s.zones = append(s.zones, &zoneCells{zone: c.key.Zone, cells: []*cell{c}})
}

// rejectsNull reports whether the evidence of the scope shows the new version to be worse.
func (s *scope) rejectsNull(metric int) bool { return s.wealth[metric].log() >= s.threshold }

// reason compares both versions in the scope, including the open window.
func (s *scope) reason(metric int) *Reason {
	var old, new arm
	for _, c := range s.cells {
		old = old.add(c.total[OldVersion].arm(metric)).add(c.window[OldVersion].arm(metric))
		new = new.add(c.total[NewVersion].arm(metric)).add(c.window[NewVersion].arm(metric))
	}
	return &Reason{
		Scope: s.key, Metric: metrics[metric],
		OldRequests: uint64(old.n), OldEvents: uint64(old.k),
		NewRequests: uint64(new.n), NewEvents: uint64(new.k),
	}
}

// badEvidence returns the fraction of the threshold that the log wealth has reached, the largest
// of all metrics.
func (s *scope) badEvidence() float64 {
	strongest := 0.0
	for m := range s.wealth {
		strongest = max(strongest, s.wealth[m].log()/s.threshold)
	}
	return strongest
}
