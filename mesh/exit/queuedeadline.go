package exit

import "time"

const (
	// queueMarginFraction is the part of a request's time that remains when its wait in a queue ends, so
	// that the refusal reaches the entry before the deadline. An entry that hears nothing by then can't
	// know that the request has not run, and daemons with a part of a core send late.
	queueMarginFraction = 1.0 / 16
	// maxQueueMargin bounds that time for requests that may take long.
	maxQueueMargin = 50 * time.Millisecond
)

// queueDeadline returns when the wait for a slot, and that for a connection to the target, ends.
func (c *callerRequest) queueDeadline() time.Time {
	margin := time.Duration(queueMarginFraction * float64(c.timeout))
	return c.deadline.Add(-min(margin, maxQueueMargin))
}
