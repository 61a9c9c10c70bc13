package balance

import (
	"sync/atomic"
	"time"
)

const (
	// ejectionThreshold is the number of consecutive failures after which an endpoint is
	// ejected.
	ejectionThreshold = 5
	// baseEjectionTime is the duration of an endpoint's first ejection; each further one
	// without a success in between doubles it. It is also the time-out of a trial.
	baseEjectionTime = time.Second
	// maxEjectionTime bounds the duration of an ejection.
	maxEjectionTime = 30 * time.Second
	// maxEjectionPercent bounds the part of a group that is ejected at the same time. The
	// number of endpoints is rounded down: a group of one endpoint ejects none.
	maxEjectionPercent = 50
)

// health is the passive health check of an endpoint. The endpoint is ejected after
// consecutive failures. When the ejection ends, it is on probation (half-open, in the terms
// of circuit breakers): it receives one trial request at a time until a success resets it or
// a failure ejects it again.
type health struct {
	failures     atomic.Int32 // consecutive
	ejections    atomic.Int32 // without a success in between
	ejectedUntil atomic.Int64 // nanoseconds since the origin of now; 0 after a reset
	trialUntil   atomic.Int64 // end of the current trial, nanoseconds since the origin of now
}

// ejected reports whether the endpoint is ejected: it is picked only if no other remains.
func (h *health) ejected(now time.Duration) bool {
	return int64(now) < h.ejectedUntil.Load()
}

// onProbation reports whether the ejection ended without a success since.
func (h *health) onProbation(now time.Duration) bool {
	until := h.ejectedUntil.Load()
	return until != 0 && int64(now) >= until
}

// trialDue reports whether an endpoint on probation may receive a trial request.
func (h *health) trialDue(now time.Duration) bool {
	return int64(now) >= h.trialUntil.Load()
}

// startTrial starts a trial and reports whether it did; another caller may have started one
// first. A trial without a result ends after baseEjectionTime.
func (h *health) startTrial(now time.Duration) bool {
	until := h.trialUntil.Load()
	if int64(now) < until {
		return false
	}
	return h.trialUntil.CompareAndSwap(until, int64(now+baseEjectionTime))
}

func (h *health) recordSuccess() {
	h.failures.Store(0)
	if h.ejectedUntil.Load() != 0 {
		h.reset()
	}
}

func (h *health) reset() {
	h.failures.Store(0)
	h.ejections.Store(0)
	h.trialUntil.Store(0)
	h.ejectedUntil.Store(0)
}

// recordFailure counts a failure and reports whether the endpoint is due for ejection.
func (h *health) recordFailure(now time.Duration) bool {
	failures := h.failures.Add(1)
	return h.onProbation(now) || failures >= ejectionThreshold
}

// eject starts an ejection, of twice the duration for each one since the last success. The bound
// on the exponent keeps the shift from overflowing; maxEjectionTime applies below it already.
func (h *health) eject(now time.Duration) {
	doublings := min(h.ejections.Add(1)-1, 10)
	duration := min(baseEjectionTime<<doublings, maxEjectionTime)
	h.failures.Store(0)
	h.trialUntil.Store(0)
	h.ejectedUntil.Store(int64(now + duration))
}
