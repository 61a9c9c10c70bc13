package entry

// Conventions are the names and forms that callers and targets expect. The zero
// value is not valid; see DefaultConventions.
type Conventions struct {
	// RequestID identifies a request. A caller's own id is handed on unchanged;
	// one is made where the caller gives none.
	RequestID string
	// Deadline is the time that the caller has left, in milliseconds.
	Deadline string
	// Origin names, towards targets, the service of the host at which a request
	// began; empty names none.
	Origin string
	// FractionalRetryAfter tells Retry-After to the millisecond.
	FractionalRetryAfter bool
}

// DefaultConventions are those of the product's own interface.
var DefaultConventions = Conventions{RequestID: HeaderRequestID, Deadline: HeaderDeadline}
