// Package retry decides whether a call is attempted again. The decision keeps
// two promises: a request that may not be repeated is sent again only when it
// certainly did not run, and attempts over calls stay bounded under overload.
package retry

import (
	"time"

	"sassafrasnotch.example/coord/revision"
)

// Outcome is what is known about an attempt.
type Outcome int

// The outcomes of an attempt.
const (
	// Unknown means that the request may have run and no whole answer came.
	Unknown Outcome = iota
	// Refused means that the request certainly did not run.
	Refused
	// Responded means that the target's answer arrived.
	Responded
)

// String returns the outcome as told to callers.
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
	// MaxAttempts bounds the attempts of one call that count.
	MaxAttempts = 3
	// MaxNoTarget bounds the attempts of one call that a host without a target
	// for it turned away.
	MaxNoTarget = 8
	// maxCrashes bounds the attempts of one call that may end in a crash of
	// the target.
	maxCrashes = 2
	// minTimeLeft is the time below which another attempt is of no use.
	minTimeLeft = time.Millisecond
	// firstBackoff is the longest wait before the third attempt; the second
	// one, on another host, follows at once.
	firstBackoff = 5 * time.Millisecond
)

// History is the state of a call after an attempt.
type History struct {
	Outcome Outcome
	Repeat  revision.Repeat
	// Replayable means that the whole request body is still at hand.
	Replayable bool
	// Attempts counts the attempts so far, Crashes those in flight when their
	// target crashed.
	Attempts int
	Crashes  int
	// NoTarget counts those of the attempts that were refused by a host which has
	// no target to run them, as one that leaves; they cost no target anything.
	NoTarget int
	// LastNoTarget is set if the last attempt was one of them.
	LastNoTarget bool
	// MaxAttempts bounds the attempts that count; 0 means MaxAttempts.
	MaxAttempts int
	// Remaining is the time to the call's deadline.
	Remaining time.Duration
}

// Decision is whether and when to attempt again.
type Decision struct {
	Retry   bool
	Backoff time.Duration
}

// Decide returns what to do after an attempt, taking from the budget for a
// retry. Jitter, from 0 up to 1, spreads the backoff. Attempts that were passed
// on are bounded apart and take nothing from the budget: they add no load to a
// target, and many hosts may leave at once.
func Decide(attempt History, budget *Budget, jitter float64) Decision {
	if !attempt.mayRepeat() || attempt.Remaining < minTimeLeft {
		return Decision{}
	}
	if attempt.NoTarget >= MaxNoTarget || attempt.counted() >= attempt.most() {
		return Decision{}
	}
	if attempt.LastNoTarget {
		return Decision{Retry: true}
	}
	backoff := attempt.backoff(jitter)
	if attempt.Remaining-backoff < minTimeLeft || !budget.TryWithdraw() {
		return Decision{}
	}
	return Decision{Retry: true, Backoff: backoff}
}

func (a *History) most() int {
	if a.MaxAttempts > 0 {
		return a.MaxAttempts
	}
	return MaxAttempts
}

// counted returns the number of attempts that reached a target's host.
func (a *History) counted() int { return a.Attempts - a.NoTarget }

func (a *History) mayRepeat() bool {
	if !a.Replayable || a.Crashes >= maxCrashes {
		return false
	}
	switch a.Outcome {
	case Refused:
		return true
	case Unknown:
		return a.Repeat == revision.RepeatIdempotent
	}
	return false
}

func (a *History) backoff(jitter float64) time.Duration {
	if a.counted() < 2 {
		return 0
	}
	ceiling := firstBackoff << (a.counted() - 2)
	return time.Duration(jitter * float64(ceiling))
}
