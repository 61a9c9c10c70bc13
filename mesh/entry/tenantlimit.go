package entry

import (
	"context"
	"time"

	"sassafrasnotch.example/coord/retry"
)

// Limiter limits the requests of tenants over all daemons. It must be safe for concurrent use.
type Limiter interface {
	// Acquire takes a token for one request of the tenant to one target, and waits for one for at most the
	// bound. Without a token it returns the time after which the request is worth another try.
	Acquire(ctx context.Context, tenant string, bound time.Duration) (granted bool, retryAfter time.Duration)
	// Return gives back the token of a request that no target ran.
	Return(tenant string)
}

const (
	// maxTokenWait bounds the wait for a token: one exchange with the coordinator of the zone.
	maxTokenWait = 100 * time.Millisecond
	// tokenWaitDivisor is the part of a route's objective that the wait for a token may take.
	tokenWaitDivisor = 8
)

// admitTenantLimit takes a token for the request from the limit of its tenant. It comes after the body, so
// that a request whose body does not arrive takes none.
func (c *callerRequest) admitTenantLimit() *failure {
	if c.tenant == nil || c.entry.deps.Limiter == nil {
		return nil
	}
	granted, retryAfter := c.acquireToken()
	if granted {
		return nil
	}
	failed := refused(ReasonTenantLimit, stepAdmit, "the requests of tenant "+c.tenant.Name+" exceed its rate limit")
	failed.retryAfter = retryAfter
	return failed
}

func (c *callerRequest) acquireToken() (granted bool, retryAfter time.Duration) {
	bound := maxTokenWait
	if objective := c.route.Objective.Std(); objective > 0 {
		bound = min(bound, objective/tokenWaitDivisor)
	}
	c.holdsToken, retryAfter = c.entry.deps.Limiter.Acquire(c.httpRequest.Context(), c.tenant.Name, bound)
	return c.holdsToken, retryAfter
}

// useToken lets an attempt use the request's token. It is called before the attempt, which may end in a panic,
// and keepToken after it.
func (c *callerRequest) useToken() (used bool) {
	used, c.holdsToken = c.holdsToken, false
	return used
}

// keepToken gives the request its token again if the attempt reached no target.
func (c *callerRequest) keepToken(used bool, failed *failure) {
	c.holdsToken = used && failed != nil && failed.outcome == retry.Refused
}

// renewToken takes a token for another attempt, unless the one of the attempt before was not used. It
// reports whether the attempt may be made.
func (c *callerRequest) renewToken() bool {
	if c.holdsToken || c.tenant == nil || c.entry.deps.Limiter == nil {
		return true
	}
	granted, _ := c.acquireToken()
	return granted
}

// returnToken gives back a token that was not used.
func (c *callerRequest) returnToken() {
	if c.holdsToken {
		c.holdsToken = false
		c.entry.deps.Limiter.Return(c.tenant.Name)
	}
}
