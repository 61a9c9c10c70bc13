package exit

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/admission"
)

// targetNotice is what a target states of itself in a response.
type targetNotice struct {
	// rate is the number of requests per second that the target takes, nil if it names none.
	rate *float64
	// rateValid is unset if the target names a rate that can't be parsed, which leaves the last one in
	// force.
	rateValid bool
	// leaving means that the target takes no further requests.
	leaving bool
	// cold is how long the target stays cold, if coldStated is set.
	cold       time.Duration
	coldStated bool
}

// notice returns what the target of a response states of itself. ok is false if the response may be of
// another target or to another request.
func (c *callerRequest) notice(response *http.Response) (n targetNotice, ok bool) {
	if c.idMismatch(response) || !c.identified(response) || response.StatusCode == http.StatusMisdirectedRequest {
		return n, false
	}
	conventions := &c.exit.conventions
	n.leaving = conventions.Leaving != "" && response.Header.Get(conventions.Leaving) == "1"
	n.cold, n.coldStated = conventions.coldRemaining(response.Header)
	values := response.Header.Values(conventions.RateLimit)
	n.rateValid = true
	if conventions.RateLimit == "" || len(values) == 0 {
		return n, true
	}
	rate, err := admission.ParseRate(values)
	if err != nil {
		c.exit.log.Warn("rate limit of a target ignored", zap.String("instance", c.target.Instance), zap.Error(err))
		n.rateValid = false
		return n, true
	}
	n.rate = &rate
	return n, true
}

// observeNotice applies what the target of a response states of itself.
func (c *callerRequest) observeNotice(response *http.Response) {
	n, ok := c.notice(response)
	if !ok {
		return
	}
	e, t, now := c.exit, c.target, time.Now()
	e.mu.Lock()
	if actions := t.admission.RecordResponse(now); len(actions) > 0 {
		e.deliver(t, actions, now)
	}
	if n.coldStated {
		e.observeCold(t, n.cold, now)
	}
	changed := n.rateValid && !equalRates(n.rate, t.namedRate)
	if changed {
		e.setRate(t, n.rate, now)
	}
	left := n.leaving && !t.Leaving
	if left {
		e.recordDeparture(t.Instance, t.Incarnation, now)
		t.startLeaving()
		e.log.Info("target states that it leaves", zap.String("instance", t.Instance),
			zap.Int("outstanding", t.admission.Load(now).Outstanding))
	}
	e.mu.Unlock()
	if left {
		e.notifyDeparture()
	}
	if changed || left {
		e.notifyChange()
	}
}

func equalRates(a, b *float64) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// setRate applies the rate that a target names, nil if it names none. The caller holds e.mu.
func (e *Exit) setRate(t *target, rate *float64, now time.Time) {
	t.namedRate = rate
	if rate == nil {
		e.log.Info("target names no rate limit any more", zap.String("instance", t.Instance))
		e.deliver(t, t.admission.ClearRate(now), now)
	} else {
		e.log.Info("target names a rate limit", zap.String("instance", t.Instance), zap.Float64("rate", *rate))
		e.deliver(t, t.admission.SetRate(*rate, now), now)
	}
	t.reportedSlots = t.admission.RatedSlots()
}

// countRepeat counts a request that is written to the target once more.
func (e *Exit) countRepeat(t *target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.admission.CountRepeat(time.Now())
}
