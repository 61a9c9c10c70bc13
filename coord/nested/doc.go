// Package nested learns which requests are nested: made by a target while it runs another request.
// On the wire they look like those of callers, but they begin at the host of the target that makes
// them. The exit counts the services at whose hosts the requests of a route begin (Origins) and
// reports a route as nested; the entry at a host of that service believes the reports (Routes). The
// daemon beside a target also learns which of the routes that run there make nested requests
// (Parents).
//
// The load that it answers: a refused nested request throws away the work of the run that made it,
// and a repeated run repeats its nested requests. Both have to be told from requests of callers.
//
// The package does no I/O and reads no clock. Its types are safe for concurrent use.
package nested

import (
	"math"
	"time"
)

// halfLife is the time in which the weight of what was learned halves. Configurations and callers
// change within minutes, while a route with one request a second still collects minSamples in it.
const halfLife = 30 * time.Second

// agedCount is a count whose weight halves with each half-life.
type agedCount struct {
	value     float64
	updatedAt time.Time
}

func (c *agedCount) at(now time.Time, halfLife time.Duration) float64 {
	if c.value == 0 {
		return 0
	}
	age := max(now.Sub(c.updatedAt), 0)
	return c.value * math.Exp2(-float64(age)/float64(halfLife))
}

func (c *agedCount) add(value float64, now time.Time, halfLife time.Duration) {
	c.value = c.at(now, halfLife) + value
	c.updatedAt = now
}

// maxRoutes bounds the routes about which one daemon learns. It is more than the routes of a
// configuration that carry traffic at one host.
const maxRoutes = 1024
