package entry

// Conventions are the header fields that callers and targets expect. The zero value is not
// valid; see DefaultConventions.
type Conventions struct {
	// RequestIDHeader names the field that identifies a request. A caller's own id is
	// forwarded unchanged; a new one is generated if the caller sends none.
	RequestIDHeader string
	// DeadlineHeader names the field with the caller's remaining time, in milliseconds.
	DeadlineHeader string
	// OriginHeader names the field that tells targets the service of the host at which a
	// request began; empty omits the field.
	OriginHeader string
	// FractionalRetryAfter makes Retry-After state milliseconds as a decimal fraction.
	FractionalRetryAfter bool
}

// DefaultConventions are the header fields of the mesh's own interface.
var DefaultConventions = Conventions{RequestIDHeader: HeaderRequestID, DeadlineHeader: HeaderDeadline}
