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

// callerRequest is one request of a caller with its attempts.
type callerRequest struct {
	entry       *Entry
	writer      http.ResponseWriter
	httpRequest *http.Request
	control     *http.ResponseController // set if the request has a body
	ctx         context.Context          // ends when the caller's departure cancels the call

	requestID string
	snapshot  *revision.Snapshot
	route     *revision.Route
	service   string // of the route, or the one drawn from its split
	hops      uint32
	startedAt time.Time
	deadline  time.Time
	// deadlineFromCaller means that the caller, not the route, set the deadline.
	deadlineFromCaller bool

	result Result

	inlineBody   []byte
	bodyComplete bool // inline holds the whole body
	// uploading means that what follows inline has begun to be sent.
	uploading bool

	headers    []*peerpb.Header
	triedHosts []string // hosts, backed by triedArray
	crashes    int
	// attemptsWithoutTarget counts the attempts that a host without a target turned away.
	attemptsWithoutTarget int
	claim                 *requestClaim // nil unless the route is keyed

	triedHostsArray [retry.MaxAttempts]string
}

// serve runs the call to its end and answers the caller.
func (c *callerRequest) serve() {
	c.ctx = c.dispatchContext()
	c.headers = requestHeaders(c)
	if failed := c.acquireClaim(); failed != nil {
		c.writeFailure(failed)
		return
	}
	if c.claim.hasOutcome() {
		c.replay()
		return
	}
	failed := c.dispatch()
	if failed == nil {
		return
	}
	c.claim.releaseIfRefused(failed)
	c.writeFailure(failed)
}

// dispatch makes attempts until one is answered, and relays its answer. It
// returns what is known if none was.
func (c *callerRequest) dispatch() *failure {
	plan := c.entry.routing.plan(c.snapshot, c.service)
	if plan == nil {
		return refused(ReasonNoTarget, stepBalance, "service "+c.service+" has no split")
	}
	plan.budget.Call()
	choice := plan.Choose(c.entry.deps.Random)
	if choice == nil {
		return refused(ReasonNoTarget, stepBalance, "no target of service "+c.service+" is known")
	}
	c.triedHosts = c.triedHostsArray[:0]
	var worst *failure
	for {
		endpoint := choice.Group.Pick(c.entry.deps.Random, c.entry.now(), c.triedHosts)
		if endpoint == nil {
			return noHostFailure(worst)
		}
		failed := c.attempt(choice, endpoint)
		if failed == nil {
			return nil
		}
		worst = worseFailure(worst, failed)
		if !c.awaitRetry(failed, plan.budget) {
			return worst
		}
		c.logRetry(failed)
		choice = c.retryChoice(choice)
	}
}

// retryChoice returns where the next attempt goes: to the stable version, and to
// the targets known by now, which may not be those of the attempt before.
func (c *callerRequest) retryChoice(last *balance.Choice) *balance.Choice {
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

// noHostFailure returns what is known when no other host can be tried.
func noHostFailure(worst *failure) *failure {
	if worst == nil {
		return refused(ReasonNoTarget, stepBalance, "no target is left to try")
	}
	return worst
}

// worseFailure keeps the truth over several attempts: once one may have run, the call
// may have run, whatever became of later attempts.
func worseFailure(earlier, later *failure) *failure {
	if earlier != nil && earlier.outcome == retry.Unknown && later.outcome != retry.Unknown {
		return earlier
	}
	return later
}

// awaitRetry decides on another attempt and waits for its time.
func (c *callerRequest) awaitRetry(failed *failure, budget *retry.Budget) bool {
	if failed.targetCrashed {
		c.crashes++
	}
	withoutTarget := failed.withoutTarget()
	if withoutTarget {
		c.attemptsWithoutTarget++
	}
	if failed.reason == ReasonQuarantined || c.cancelled() {
		return false
	}
	decision := retry.Decide(retry.Attempt{
		Outcome:    failed.outcome,
		Repeat:     c.route.Repeat,
		Replayable: !c.uploading,
		Attempts:   len(c.triedHosts),
		Crashes:    c.crashes,
		Passed:     c.attemptsWithoutTarget,
		LastPassed: withoutTarget,
		Most:       c.route.MaxAttempts,
		Left:       time.Until(c.deadline),
	}, budget, rand.Float64())
	return decision.Retry && c.waitBackoff(decision.Backoff)
}

func (c *callerRequest) waitBackoff(backoff time.Duration) bool {
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

// dispatchContext returns what the call lives by. A keyed request runs to its end though
// its caller left, since the caller will send it again to learn the outcome.
func (c *callerRequest) dispatchContext() context.Context {
	if c.route.Repeat == revision.RepeatKeyed {
		return context.WithoutCancel(c.httpRequest.Context())
	}
	return c.httpRequest.Context()
}

// cancelled reports whether the caller's departure cancelled the call.
func (c *callerRequest) cancelled() bool { return c.ctx.Err() != nil }

// attempt sends the request to one endpoint and relays its answer. It returns
// what is known if there was none.
func (c *callerRequest) attempt(choice *balance.Choice, endpoint *balance.Endpoint) *failure {
	c.triedHosts = append(c.triedHosts, endpoint.Host)
	started := c.entry.now()
	endpoint.Begin()
	defer endpoint.End()
	e := &exchange{
		request:  c,
		choice:   choice,
		endpoint: endpoint,
		attempt:  c.entry.lastAttemptID.Add(1),
	}
	failed := e.run()
	e.recordHealth(failed)
	e.reportAttempt(failed, c.entry.now()-started)
	if failed == nil {
		c.logResponse(e)
	}
	if e.truncated {
		c.abort()
	}
	return failed
}

// abort ends the caller's connection so that no caller, not even one that takes
// the end of the connection for the end of the body, sees a whole answer.
func (c *callerRequest) abort() {
	resetOnClose(c.httpRequest.Context())
	panic(http.ErrAbortHandler)
}
