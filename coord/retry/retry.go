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
	// Answered means that the target's answer arrived.
	Answered
)

// String returns the outcome as told to callers.
func (o Outcome) String() string {
	switch o {
	case Refused:
		return "refused"
	case Answered:
		return "answered"
	}
	return "unknown"
}

const (
	// MaxAttempts bounds the attempts of one call that count.
	MaxAttempts = 3
	// MaxPassed bounds the attempts of one call that a host without a target
	// for it turned away.
	MaxPassed = 8
	// maxCrashes bounds the attempts of one call that may end in a crash of
	// the target.
	maxCrashes = 2
	// minTimeLeft is the time below which another attempt is of no use.
	minTimeLeft = time.Millisecond
	// firstBackoff is the longest wait before the third attempt; the second
	// one, on another host, follows at once.
	firstBackoff = 5 * time.Millisecond
)

// Attempt is the state of a call after an attempt.
type Attempt struct {
	Outcome Outcome
	Repeat  revision.Repeat
	// Replayable means that the whole request body is still at hand.
	Replayable bool
	// Attempts counts the attempts so far, Crashes those in flight when their
	// target crashed.
	Attempts int
	Crashes  int
	// Passed counts those of the attempts that were refused by a host which has
	// no target to run them, as one that leaves; they cost no target anything.
	Passed int
	// LastPassed is set if the last attempt was one of them.
	LastPassed bool
	// Most bounds the attempts that count; 0 means MaxAttempts.
	Most int
	// Left is the time to the call's deadline.
	Left time.Duration
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
func Decide(attempt Attempt, budget *Budget, jitter float64) Decision {
	if !attempt.mayRepeat() || attempt.Left < minTimeLeft {
		return Decision{}
	}
	if attempt.Passed >= MaxPassed || attempt.counted() >= attempt.most() {
		return Decision{}
	}
	if attempt.LastPassed {
		return Decision{Retry: true}
	}
	backoff := attempt.backoff(jitter)
	if attempt.Left-backoff < minTimeLeft || !budget.Take() {
		return Decision{}
	}
	return Decision{Retry: true, Backoff: backoff}
}

func (a *Attempt) most() int {
	if a.Most > 0 {
		return a.Most
	}
	return MaxAttempts
}

// counted returns the number of attempts that reached a target's host.
func (a *Attempt) counted() int { return a.Attempts - a.Passed }

func (a *Attempt) mayRepeat() bool {
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

func (a *Attempt) backoff(jitter float64) time.Duration {
	if a.counted() < 2 {
		return 0
	}
	ceiling := firstBackoff << (a.counted() - 2)
	return time.Duration(jitter * float64(ceiling))
}
