package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"sassafrasnotch.example/coord/retry"
)

// setReturnTime records whether the service refused the request, and sets the time after which a refused
// caller is to come back.
func (c *callerRequest) setReturnTime(failed *failure) {
	plan := c.entry.routing.plan(c.snapshot, c.service)
	if plan == nil || c.cancelled() {
		return
	}
	now := time.Now()
	refused := failed != nil && failed.outcome == retry.Refused && failed.reason.httpStatus() == http.StatusServiceUnavailable
	plan.returns.Record(refused, now)
	if refused {
		wait := max(failed.retryAfter, minFractionalRetryAfter)
		if failed.reason == ReasonNoTarget && c.entry.starting() {
			wait = max(wait, c.entry.startingRetryAfter())
		}
		failed.retryAfter = plan.returns.After(wait, c.deadline.Sub(now), rand.Float64(), now)
	}
}

const (
	// joinTime is the time after its start in which a daemon may know few hosts.
	joinTime = 2 * time.Second
	// minStartingRetryAfter is the shortest mean time after which callers of a daemon that has just started are
	// to come back: about that in which it reads its configuration and learns of the other hosts. Most callers
	// come back once or twice, so that a shorter one would use that up.
	minStartingRetryAfter = 300 * time.Millisecond
)

// starting reports whether the daemon has started lately.
func (e *Entry) starting() bool { return time.Since(e.startedAt) < joinTime }

// startingRetryAfter returns the time after which a caller is to come back that the daemon can't serve because it
// has just started. It is spread, so that those refused together don't return together.
func (e *Entry) startingRetryAfter() time.Duration {
	return time.Duration(float64(minStartingRetryAfter) * (0.5 + rand.Float64()))
}
