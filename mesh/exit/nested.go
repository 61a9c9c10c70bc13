package exit

import (
	"time"

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

func (c *callerRequest) endRun(elapsed time.Duration) {
	c.exit.parents.End(c.head.Route, elapsed, time.Now())
}

// reportNested states what is known about the route of the request. The route is reported as nested only
// to the hosts of the service that its requests come from.
func (c *callerRequest) reportNested(load *peerpb.Load, now time.Time) {
	load.NestedRoute = c.exit.origins.Nested(c.head.Route, c.origin(), now)
	load.NestedCallsPermille = uint32(c.exit.parents.CallsPerRun(c.head.Route, now) * 1000)
}
