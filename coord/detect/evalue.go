package detect

import "math"

// minProbability keeps estimated probabilities of an event per request away from 0 and 1.
const minProbability = 1e-5

// Limits of the iteration that finds the null hypothesis nearest to the alternative.
const (
	maxIterations = 40
	tolerance     = 1e-9
)

// arm holds the number n of requests of one version in a window and the number k of events
// (failures, slow responses) among them. Weighting can make both fractional.
type arm struct {
	n, k float64
}

func (a arm) add(b arm) arm { return arm{a.n + b.n, a.k + b.k} }

// rate returns the estimated probability of an event. The estimate includes a prior with the
// given mean, which weighs as much as the given number of requests.
func (a arm) rate(mean, prior float64) float64 {
	return clamp((a.k + mean*prior) / (a.n + prior))
}

// clamp limits a probability to the range from minProbability to 1-minProbability.
func clamp(p float64) float64 {
	return min(max(p, minProbability), 1-minProbability)
}

// rates holds the probabilities of an event in both versions under a hypothesis.
type rates struct {
	old, new float64
}

// logE returns the logarithm of the e-value of one window: the ratio of the likelihood of both
// arms under the alternative to that under the nearest pair of rates on the line new = old + gap.
// The expectation of the e-value is at most 1 under every pair on the other side of the line than
// the alternative, whatever the sizes of the arms (Turner, Ly and Grünwald, "Generic E-variables
// for exact sequential k-sample tests that allow for optional stopping", 2021; Turner and
// Grünwald, "Exact anytime-valid confidence intervals for contingency tables and beyond", 2023).
// Without requests of the new version it is 0.
func logE(old, new arm, alternative rates, gap float64) float64 {
	if new.n == 0 {
		return 0
	}
	null := project(old.n, new.n, alternative, gap)
	return logLikelihood(old, alternative.old) - logLikelihood(old, null.old) +
		logLikelihood(new, alternative.new) - logLikelihood(new, null.new)
}

// project returns the pair on the line new = old + gap with the minimum Kullback-Leibler
// divergence from the alternative. It uses Newton's method and bisects the bracket if a step
// would leave it.
func project(oldRequests, newRequests float64, alternative rates, gap float64) rates {
	low, high := 0.0, 1-gap
	old := (oldRequests*alternative.old + newRequests*(alternative.new-gap)) / (oldRequests + newRequests)
	for range maxIterations {
		if old <= low || old >= high {
			old = (low + high) / 2
		}
		slopeOld, curvatureOld := divergence(oldRequests, alternative.old, old)
		slopeNew, curvatureNew := divergence(newRequests, alternative.new, old+gap)
		slope := slopeOld + slopeNew
		if slope < 0 {
			low = old
		} else {
			high = old
		}
		step := slope / (curvatureOld + curvatureNew)
		old -= step
		if math.Abs(step) < tolerance {
			break
		}
	}
	old = min(max(old, low), high)
	return rates{old: clamp(old), new: clamp(old + gap)}
}

// divergence returns the first and second derivatives, with respect to p, of n times the
// divergence of p from rate.
func divergence(n, rate, p float64) (slope, curvature float64) {
	if n == 0 {
		return 0, 0
	}
	variance := p * (1 - p)
	return n * (p - rate) / variance, n * (p*p - 2*rate*p + rate) / (variance * variance)
}

// logLikelihood returns the log likelihood of the arm under event probability p, without the
// binomial coefficient.
func logLikelihood(a arm, p float64) float64 {
	return a.k*math.Log(p) + (a.n-a.k)*math.Log1p(-p)
}
