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
	// Cut means that the answer broke off after its head.
	Cut bool
	// Reported means that the host itself told the outcome, so that it counts
	// it too.
	Reported bool
	// Took is the time until the attempt ended.
	Took time.Duration
}

// Observer is told of every attempt after it ended. It must not block.
type Observer interface {
	Attempted(Attempt)
}

type noObserver struct{}

func (noObserver) Attempted(Attempt) {}

// Told is what a caller was told about a request that matched a route.
type Told struct {
	Service string
	// Version is the version that answered; it is empty if none did.
	Version string
	Outcome retry.Outcome
	// Reason is set if no target answered.
	Reason Reason
	// Status is the HTTP status of the answer.
	Status int
	// Cut means that the answer broke off after its head.
	Cut bool
	// Departed means that the caller left before the end.
	Departed bool
	// Took is the time from the request to the end of the answer.
	Took time.Duration
}

// CallObserver is told of every call after it ended. It must not block.
type CallObserver interface {
	Called(Told)
}
