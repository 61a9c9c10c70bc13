package exit

import (
	"net/http"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/admission"
)

// targetNotice is what a target states of itself in its responses.
type targetNotice struct {
	// rate is the number of requests per second that the target takes, nil if it names none.
	rate *float64
	// leaving means that the target takes no further requests.
	leaving bool
}

// notice returns what the target of a response states of itself. ok is false if the response does not
// tell, because it may be of another target or request, or the rate can't be parsed.
func (c *callerRequest) notice(response *http.Response) (n targetNotice, ok bool) {
	conventions := &c.exit.conventions
	if c.idMismatch(response) || !c.identified(response) || response.StatusCode == http.StatusMisdirectedRequest {
		return n, false
	}
	if conventions.Leaving != "" {
		n.leaving = response.Header.Get(conventions.Leaving) == "1"
	}
	values := response.Header.Values(conventions.RateLimit)
	if conventions.RateLimit == "" || len(values) == 0 {
		return n, true
	}
	rate, err := admission.ParseRate(values)
	if err != nil {
		c.exit.log.Warn("rate limit of a target ignored", zap.String("instance", c.target.Instance), zap.Error(err))
		return n, n.leaving
	}
	n.rate = &rate
	return n, true
}

// observeNotice records what the target of a response states of itself.
func (c *callerRequest) observeNotice(response *http.Response) {
	n, ok := c.notice(response)
	if !ok {
		return
	}
	c.exit.mu.Lock()
	defer c.exit.mu.Unlock()
	c.target.namedRate = c.exit.recordRate(c.target, n.rate)
}

// recordRate logs a change of the rate that a target names, and returns the rate.
func (e *Exit) recordRate(t *target, rate *float64) *float64 {
	switch {
	case rate == nil && t.namedRate != nil:
		e.log.Info("target names no rate limit any more", zap.String("instance", t.Instance))
	case rate != nil && (t.namedRate == nil || *rate != *t.namedRate):
		e.log.Info("target names a rate limit", zap.String("instance", t.Instance), zap.Float64("rate", *rate))
	}
	return rate
}
