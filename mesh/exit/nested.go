package exit

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/nested"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// WithParents sets where the exit records what runs at its targets, so that the entry of the same daemon
// can attribute nested requests to it.
func WithParents(parents *nested.Parents) Option {
	return func(e *Exit) { e.parents = parents }
}

// origin returns the service of the host at which the request began; empty if it is not stated.
func (c *callerRequest) origin() string {
	if name := c.exit.conventions.Origin; name != "" {
		return headerValue(c.head.Headers, name)
	}
	return ""
}

// beginRun records that the request holds a slot.
func (c *callerRequest) beginRun(now time.Time) {
	if c.exit.conventions.Origin != "" {
		c.exit.origins.Observe(c.head.Route, c.origin(), now)
	}
	c.exit.parents.Begin(c.head.Route)
}

// endRun records the end of the run. Whether it succeeded counts for routes that make nested requests.
func (c *callerRequest) endRun(r result, elapsed time.Duration) {
	now := time.Now()
	parents := c.exit.parents
	parents.End(c.head.Route, elapsed, now)
	if r.kind != notDispatched && r.kind != callerGone && parents.CallsPerRun(c.head.Route, now) > 0 {
		parents.Throttle.End(c.head.Route, !r.failed(), now)
	}
}

// refuseDependent refuses a request from outside whose run would most likely fail, since the nested
// requests of such runs are refused for lack of room at another service.
func (c *callerRequest) refuseDependent(now time.Time) *refusal {
	parents := c.exit.parents
	if c.head.Nested || parents.CallsPerRun(c.head.Route, now) == 0 {
		return nil
	}
	refused, first := parents.Throttle.Refuse(c.head.Route, rand.Float64(), now)
	if !refused {
		return nil
	}
	if first {
		c.exit.log.Warn("refusing requests whose runs depend on a service without room",
			zap.String("service", c.head.Service), zap.String("route", c.head.Route),
			zap.Float64("refused", parents.Throttle.RefusalRate(c.head.Route, now)))
	}
	return &refusal{
		reason:     peerpb.RefusalReason_REFUSAL_REASON_DEPENDENCY,
		detail:     "the requests that the run would make at other services are refused for lack of room",
		retryAfter: c.exit.dependencyRetryAfter(c.key, now),
	}
}

// dependencyRetryAfter returns after which time a request that was refused by refuseDependent is to come
// back: that of the queue here, since the wait at the other service is not known.
func (e *Exit) dependencyRetryAfter(key versionKey, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.wait(key, now)
}

// reportNested states what is known about the route of the request. The route is reported as nested only
// to the hosts of the service that its requests come from.
func (c *callerRequest) reportNested(load *peerpb.Load, now time.Time) {
	load.NestedRoute = c.exit.origins.Nested(c.head.Route, c.origin(), now)
	load.NestedCallsPermille = uint32(c.exit.parents.CallsPerRun(c.head.Route, now) * 1000)
}
