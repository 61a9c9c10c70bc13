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
		failed.retryAfter = plan.returns.After(wait, c.deadline.Sub(now), rand.Float64(), now)
	}
}
