package exit

import "time"

// Conventions are the names of the fields that targets understand. An empty name
// leaves the field out.
type Conventions struct {
	RequestID string
	// Deadline holds the remaining time in milliseconds.
	Deadline string
	// Revision holds the configuration revision that routed the call.
	Revision string
	// Instance names the target that a request is meant for. Another target, at
	// an address that changed hands, answers it with 421 without running it.
	Instance string
	// NotExecuted marks an answer of a target that did not run the request.
	NotExecuted string
	// Signature is on every answer that a target made. If it is set, a success
	// without it is not the target's.
	Signature string
	// AllowUnframed allows answers without a length, which end with their connection.
	AllowUnframed bool
	// DefaultIdleTimeout is how long a connection is kept whose target states no
	// Keep-Alive time.
	DefaultIdleTimeout time.Duration
}

// DefaultConventions are those of the product's own interface.
var DefaultConventions = Conventions{
	RequestID: HeaderRequestID,
	Deadline:  HeaderDeadline,
	Revision:  HeaderRevision,

	DefaultIdleTimeout: targetIdleTimeout,
}
