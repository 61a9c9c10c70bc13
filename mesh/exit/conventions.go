package exit

import "time"

// Conventions describe the header fields and HTTP behaviour that targets expect. The fields
// RequestID to Signature are names of header fields. An empty name omits the header field;
// RequestID and Deadline must not be empty.
type Conventions struct {
	// RequestID names the field with the request id, in requests and responses.
	RequestID string
	// EchoesRequestID means that targets send the RequestID field in their responses. The connection
	// of a response without it is not reused: a second copy of that response, which comes late,
	// could not be told from the response to the next request.
	EchoesRequestID bool
	// Deadline names the request field with the remaining time in milliseconds.
	Deadline string
	// Revision names the request field with the configuration revision by which the request was
	// routed.
	Revision string
	// Origin names the request field with the service of the host at which the request began. Without
	// it no request counts as nested.
	Origin string
	// Instance names the request field with the target instance that a request is meant for.
	// Another target to which the address was reassigned responds with status 421 and does not
	// run the request.
	Instance string
	// NotExecuted names the field that marks a response to a request that the target did not run.
	NotExecuted string
	// Signature names the marker field that is present in every response of a target. It is not a
	// cryptographic signature: its value is not checked. If Signature is not empty, a success
	// response without the field does not come from the target and is a failure.
	Signature string
	// RateLimit names the response field in which a target states how many requests per second it takes,
	// for as long as it does so.
	RateLimit string
	// Leaving names the response field that is 1 once the target takes no further requests.
	Leaving string
	// HealthInstance names the field in which a target names itself in the response to a health check.
	HealthInstance string
	// ColdRemaining names the response field in which a target states for how many milliseconds it stays cold.
	ColdRemaining string
	// SilentWhenFull means that targets never respond to a request that they can't queue, nor to any
	// later one on its connection. Requests that were given up then count for as long as a target may hold
	// them.
	SilentWhenFull bool
	// AllowUnframed accepts close-delimited responses (RFC 9112): those with neither a length nor
	// chunks, which end with their connection.
	AllowUnframed bool
	// DefaultIdleTimeout is how long an idle connection is kept if the target states no
	// Keep-Alive timeout.
	DefaultIdleTimeout time.Duration
}

// DefaultConventions are the conventions of the mesh's own interface, which apply without
// WithConventions: request id, deadline and revision fields only, and no close-delimited
// responses.
var DefaultConventions = Conventions{
	RequestID: HeaderRequestID,
	Deadline:  HeaderDeadline,
	Revision:  HeaderRevision,

	DefaultIdleTimeout: targetIdleTimeout,
}
