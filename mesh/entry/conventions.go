package entry

// Conventions are the names and forms that callers and targets expect. The zero
// value is not valid; see DefaultConventions.
type Conventions struct {
	// RequestIDHeader identifies a request. A caller's own id is handed on unchanged;
	// one is made where the caller gives none.
	RequestIDHeader string
	// DeadlineHeader is the time that the caller has left, in milliseconds.
	DeadlineHeader string
	// OriginHeader names, towards targets, the service of the host at which a request
	// began; empty names none.
	OriginHeader string
	// FractionalRetryAfter tells Retry-After to the millisecond.
	FractionalRetryAfter bool
}

// DefaultConventions are those of the product's own interface.
var DefaultConventions = Conventions{RequestIDHeader: HeaderRequestID, DeadlineHeader: HeaderDeadline}
