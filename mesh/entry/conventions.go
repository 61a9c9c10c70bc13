package entry

// Conventions are the header fields that callers and targets expect. The zero value is not
// valid; see DefaultConventions.
type Conventions struct {
	// RequestIDHeader names the field that identifies a request. A caller's own id is
	// forwarded unchanged. It is replaced by a generated one if it is absent, longer than 128
	// bytes or has a character other than visible ASCII.
	RequestIDHeader string
	// DeadlineHeader names the field with the caller's remaining time, in milliseconds.
	DeadlineHeader string
	// OriginHeader names the field that states to targets the service of the host whose entry
	// sent the request; empty omits the field.
	OriginHeader string
	// TenantHeader names the field that states to targets the tenant whose API key the request carried;
	// empty omits the field. Where the configuration has tenants, a caller's own field is dropped.
	TenantHeader string
	// FractionalRetryAfter makes Retry-After state seconds with three decimals rather than whole
	// seconds.
	FractionalRetryAfter bool
}

// DefaultConventions are the header fields of the mesh's own interface.
var DefaultConventions = Conventions{RequestIDHeader: HeaderRequestID, DeadlineHeader: HeaderDeadline, TenantHeader: HeaderTenant}
