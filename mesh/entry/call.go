package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// call is one request of a caller with its attempts.
type call struct {
	entry   *Entry
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController // set if the request has a body
	ctx     context.Context          // ends when the caller's departure cancels the call

	requestID string
	snapshot  *revision.Snapshot
	route     *revision.Route
	service   string // of the route, or the one drawn from its split
	hops      uint32
	began     time.Time
	deadline  time.Time
	// shortened means that the caller, not the route, set the deadline.
	shortened bool

	told Result

	inline   []byte
	complete bool // inline holds the whole body
	// uploading means that what follows inline has begun to be sent.
	uploading bool

	headers []*peerpb.Header
	tried   []string // hosts, backed by triedArray
	crashes int
	// passed counts the attempts that a host without a target turned away.
	passed int
	claim  *claimed // nil unless the route is keyed

	triedArray [retry.MaxAttempts]string
}

// serve runs the call to its end and answers the caller.
func (c *call) serve() {
	c.ctx = c.context()
	c.headers = requestHeaders(c)
	if failed := c.acquireClaim(); failed != nil {
		c.tell(failed)
		return
	}
	if c.claim.recorded() {
		c.replay()
		return
	}
	failed := c.attemptAll()
	if failed == nil {
		return
	}
	c.claim.settle(failed)
	c.tell(failed)
}

// attemptAll makes attempts until one is answered, and relays its answer. It
// returns what is known if none was.
func (c *call) attemptAll() *failure {
	plan := c.entry.routing.plan(c.snapshot, c.service)
	if plan == nil {
		return refused(ReasonNoTarget, stepBalance, "service "+c.service+" has no split")
	}
	plan.budget.Call()
	choice := plan.Choose(c.entry.deps.Random)
	if choice == nil {
		return refused(ReasonNoTarget, stepBalance, "no target of service "+c.service+" is known")
	}
	c.tried = c.triedArray[:0]
	var worst *failure
	for {
		endpoint := choice.Group.Pick(c.entry.deps.Random, c.entry.now(), c.tried)
		if endpoint == nil {
			return noneLeft(worst)
		}
		failed := c.attempt(choice, endpoint)
		if failed == nil {
			return nil
		}
		worst = worse(worst, failed)
		if !c.retry(failed, plan.budget) {
			return worst
		}
		c.logRetry(failed)
		choice = c.chooseAgain(choice)
	}
}

// chooseAgain returns where the next attempt goes: to the stable version, and to
// the targets known by now, which may not be those of the attempt before.
func (c *call) chooseAgain(last *balance.Choice) *balance.Choice {
	if plan := c.entry.routing.plan(c.snapshot, c.service); plan != nil {
		if present := plan.Choose(c.entry.deps.Random); present != nil {
			last = present
		}
	}
	if last.Stable != nil {
		return last.Stable
	}
	return last
}

// noneLeft returns what is known when no other host can be tried.
func noneLeft(worst *failure) *failure {
	if worst == nil {
		return refused(ReasonNoTarget, stepBalance, "no target is left to try")
	}
	return worst
}

// worse keeps the truth over several attempts: once one may have run, the call
// may have run, whatever became of later attempts.
func worse(earlier, later *failure) *failure {
	if earlier != nil && earlier.outcome == retry.Unknown && later.outcome != retry.Unknown {
		return earlier
	}
	return later
}

// retry decides on another attempt and waits for its time.
func (c *call) retry(failed *failure, budget *retry.Budget) bool {
	if failed.crashed {
		c.crashes++
	}
	passed := failed.passed()
	if passed {
		c.passed++
	}
	if failed.reason == ReasonQuarantined || c.departed() {
		return false
	}
	decision := retry.Decide(retry.Attempt{
		Outcome:    failed.outcome,
		Repeat:     c.route.Repeat,
		Replayable: !c.uploading,
		Attempts:   len(c.tried),
		Crashes:    c.crashes,
		Passed:     c.passed,
		LastPassed: passed,
		Most:       c.route.MaxAttempts,
		Left:       time.Until(c.deadline),
	}, budget, rand.Float64())
	return decision.Retry && c.wait(decision.Backoff)
}

func (c *call) wait(backoff time.Duration) bool {
	if backoff <= 0 {
		return true
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// context returns what the call lives by. A keyed request runs to its end though
// its caller left, since the caller will send it again to learn the outcome.
func (c *call) context() context.Context {
	if c.route.Repeat == revision.RepeatKeyed {
		return context.WithoutCancel(c.request.Context())
	}
	return c.request.Context()
}

// departed reports whether the caller's departure cancelled the call.
func (c *call) departed() bool { return c.ctx.Err() != nil }

// attempt sends the request to one endpoint and relays its answer. It returns
// what is known if there was none.
func (c *call) attempt(choice *balance.Choice, endpoint *balance.Endpoint) *failure {
	c.tried = append(c.tried, endpoint.Host)
	started := c.entry.now()
	endpoint.Begin()
	defer endpoint.End()
	e := &exchange{
		call:     c,
		choice:   choice,
		endpoint: endpoint,
		attempt:  c.entry.attempts.Add(1),
	}
	failed := e.run()
	e.judge(failed)
	e.observe(failed, c.entry.now()-started)
	if failed == nil {
		c.logAnswer(e)
	}
	if e.cut {
		c.abort()
	}
	return failed
}

// abort ends the caller's connection so that no caller, not even one that takes
// the end of the connection for the end of the body, sees a whole answer.
func (c *call) abort() {
	resetOnClose(c.request.Context())
	panic(http.ErrAbortHandler)
}
