// Package retry decides whether a request is attempted again. An attempt is one dispatch of
// the request to a target. Two invariants hold: a request that must not be repeated is
// retried only if it certainly did not run, and the ratio of attempts to requests stays
// bounded under overload.
package retry

import (
	"time"

	"sassafrasnotch.example/coord/revision"
)

// Outcome is what is known about an attempt.
type Outcome int

// The outcomes of an attempt.
const (
	// Unknown means that the request may have run and no complete response arrived.
	Unknown Outcome = iota
	// Refused means that the request certainly did not run.
	Refused
	// Responded means that the target's response arrived.
	Responded
)

// String returns the outcome as reported to callers.
func (o Outcome) String() string {
	switch o {
	case Refused:
		return "refused"
	case Responded:
		return "answered"
	}
	return "unknown"
}

const (
	// MaxAttempts bounds the attempts of one request that reached a target's host.
	MaxAttempts = 3
	// MaxNoTarget bounds the attempts of one request that were refused by a host without
	// a target for it.
	MaxNoTarget = 8
	// maxCrashes bounds the attempts of one request during which the target crashed, since
	// the request may be the cause.
	maxCrashes = 2
	// minRemaining is the time to the deadline below which another attempt is of no use.
	minRemaining = time.Millisecond
	// backoffBase bounds the backoff before the third attempt; the bound doubles with each
	// further one. The second attempt, on another host, follows at once.
	backoffBase = 5 * time.Millisecond
)

// History is the state of a request after an attempt. Outcome is that of the latest attempt.
type History struct {
	Outcome Outcome
	// Kind is the place of the request in a chain.
	Kind Kind
	// ParentEnded means that the request is nested and the run that made it has ended, so that nobody
	// waits for the response.
	ParentEnded bool
	Repeat      revision.Repeat
	// Replayable is set if the whole request body is still available.
	Replayable bool
	// Attempts is the number of attempts so far; Crashes counts those of them that were in
	// flight when their target crashed.
	Attempts int
	Crashes  int
	// NoTarget counts those of the attempts that were refused by a host without a target to
	// run them, such as a leaving one; they put no load on a target.
	NoTarget int
	// LastNoTarget is set if the latest attempt is counted by NoTarget.
	LastNoTarget bool
	// MaxAttempts bounds the attempts that reached a target's host; 0 means the constant
	// MaxAttempts.
	MaxAttempts int
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
}

// Decision is whether to retry, and after which backoff.
type Decision struct {
	Retry   bool
	Backoff time.Duration
}

// Decide returns whether to retry after an attempt, and withdraws the retry from the budget.
// Jitter, uniform from 0 up to 1, is the fraction of the maximum backoff and the draw of
// Budget.TryWithdraw. Attempts refused for lack of
// a target are bounded separately, by MaxNoTarget, and withdraw nothing: they put no load on a
// target, and many hosts may leave at the same time.
func Decide(history History, budget *Budget, jitter float64) Decision {
	if !history.repeatable() || history.ParentEnded || history.Remaining < minRemaining {
		return Decision{}
	}
	if history.NoTarget >= MaxNoTarget || history.countedAttempts() >= history.maxAttempts() {
		return Decision{}
	}
	if history.LastNoTarget {
		return Decision{Retry: true}
	}
	backoff := history.backoff(jitter)
	if history.Remaining-backoff < minRemaining || !budget.TryWithdraw(history.Kind, jitter) {
		return Decision{}
	}
	return Decision{Retry: true, Backoff: backoff}
}

// maxAttempts returns the bound on countedAttempts.
func (h *History) maxAttempts() int {
	if h.MaxAttempts > 0 {
		return h.MaxAttempts
	}
	return MaxAttempts
}

// countedAttempts returns the number of attempts that reached a target's host.
func (h *History) countedAttempts() int { return h.Attempts - h.NoTarget }

// repeatable reports whether the request may be sent again as far as its outcome allows.
func (h *History) repeatable() bool {
	if !h.Replayable || h.Crashes >= maxCrashes {
		return false
	}
	switch h.Outcome {
	case Refused:
		return true
	case Unknown:
		return h.Repeat == revision.RepeatIdempotent
	}
	return false
}

// backoff returns the time to wait before the next attempt.
func (h *History) backoff(jitter float64) time.Duration {
	if h.countedAttempts() < 2 {
		return 0
	}
	bound := backoffBase << (h.countedAttempts() - 2)
	return time.Duration(jitter * float64(bound))
}
