package entry

import (
	"time"

	"sassafrasnotch.example/coord/retry"
)

// Attempt is the result of one attempt as far as the entry can observe it.
type Attempt struct {
	Service string
	Version string
	Route   string
	Host    string
	Zone    string // of the host
	Outcome retry.Outcome
	// Reason is set for refused and unknown attempts.
	Reason Reason
	// Status is the HTTP status of an attempt with a response.
	Status int
	// Truncated means that the response broke off after its head.
	Truncated bool
	// ReportedByHost means that the host reported the outcome, and therefore counts it too.
	ReportedByHost bool
	// Duration is the time until the attempt ended.
	Duration time.Duration
}

// AttemptObserver receives every attempt after it ended. It must not block.
type AttemptObserver interface {
	ObserveAttempt(Attempt)
}

type noopObserver struct{}

func (noopObserver) ObserveAttempt(Attempt) {}

// Result is what the entry reported to the caller about a request that matched a route.
type Result struct {
	Service string
	// WithTenants means that the configuration has tenants. Tenant is the one whose API key the request
	// carried; it is empty for one without a known key.
	WithTenants bool
	Tenant      string
	// Version is the version that responded; it is empty if none did, and for the recorded response
	// of a keyed request.
	Version string
	Outcome retry.Outcome
	// Reason is set if no target responded.
	Reason Reason
	// Status is the HTTP status of the response.
	Status int
	// Truncated means that the response broke off after its head.
	Truncated bool
	// CallerDisconnected means that the caller disconnected before the end of the response.
	CallerDisconnected bool
	// Duration is the time from when the request's deadline was set, at its admission, to the end
	// of the response. It is 0 for a request that was refused before that.
	Duration time.Duration
}

// RequestObserver receives the result of every request that matched a route, after the
// request ended. It must not block.
type RequestObserver interface {
	ObserveRequest(Result)
}
