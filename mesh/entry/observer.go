package entry

import (
	"time"

	"sassafrasnotch.example/coord/retry"
)

// Attempt is what came of one attempt, as far as this side can see.
type Attempt struct {
	Service string
	Version string
	Route   string
	Host    string
	Zone    string // of the host
	Outcome retry.Outcome
	// Reason is set for refused and unknown attempts.
	Reason Reason
	// Status is the HTTP status of an answered attempt.
	Status int
	// Truncated means that the answer broke off after its head.
	Truncated bool
	// ReportedByHost means that the host itself told the outcome, so that it counts
	// it too.
	ReportedByHost bool
	// Duration is the time until the attempt ended.
	Duration time.Duration
}

// AttemptObserver is told of every attempt after it ended. It must not block.
type AttemptObserver interface {
	ObserveAttempt(Attempt)
}

type noopObserver struct{}

func (noopObserver) ObserveAttempt(Attempt) {}

// Result is what a caller was told about a request that matched a route.
type Result struct {
	Service string
	// Version is the version that answered; it is empty if none did.
	Version string
	Outcome retry.Outcome
	// Reason is set if no target answered.
	Reason Reason
	// Status is the HTTP status of the answer.
	Status int
	// Truncated means that the answer broke off after its head.
	Truncated bool
	// CallerDisconnected means that the caller left before the end.
	CallerDisconnected bool
	// Duration is the time from the request to the end of the answer.
	Duration time.Duration
}

// RequestObserver is told of every call after it ended. It must not block.
type RequestObserver interface {
	ObserveRequest(Result)
}
