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
	guard       *bodyGuard   // the writer, if the request has a body, else nil
	conn        *countedConn // of the caller; nil in tests without a server
	httpRequest *http.Request
	control     *http.ResponseController // set if the request has a body
	ctx         context.Context          // see dispatchContext

	requestID string
	snapshot  *revision.Snapshot
	route     *revision.Route
	tenant    *revision.Tenant // whose API key the request carries; nil if none
	service   string           // of the route, or drawn from the route's split
	hops      uint32
	nested    bool // see detectNested
	// parentHere means that the request is made by a target of this host.
	parentHere bool
	kind       retry.Kind
	startedAt  time.Time
	deadline   time.Time
	// deadlineFromCaller means that the caller requested a shorter timeout than that of the route,
	// or than the default of the settings for a route without one.
	deadlineFromCaller bool

	result Result

	inlineBody   []byte
	bodyComplete bool // inlineBody holds the whole body
	// uploading means that sending of the body after inlineBody has begun.
	uploading bool

	headers    []*peerpb.Header
	triedHosts []string // without those that refused an offer; backed by triedHostsArray
	attempts   int      // without the offers that were refused
	crashes    int
	// attemptsWithoutTarget counts the attempts that a host refused because it had no target.
	attemptsWithoutTarget int
	evacuations           int           // see leftEvacuation
	claim                 *requestClaim // nil unless the route is keyed
	holdsToken            bool          // see admitTenantLimit

	triedHostsArray [retry.MaxAttempts]string
}

// serve runs the request to its end and responds to the caller.
func (c *callerRequest) serve() {
	defer c.returnToken()
	c.ctx = c.dispatchContext()
	c.headers = requestHeaders(c)
	c.detectNested()
	if failed := c.acquireClaim(); failed != nil {
		c.writeFailure(failed)
		return
	}
	if c.claim.hasRecorded() {
		c.replay()
		return
	}
	failed := c.dispatch()
	c.recordNested(failed)
	c.setReturnTime(failed)
	if failed == nil {
		return
	}
	c.claim.releaseIfRefused(failed)
	c.writeFailure(failed)
}

// dispatch makes attempts until one is answered, and relays its response. It returns the
// failure to report if none was.
func (c *callerRequest) dispatch() *failure {
	plan := c.entry.routing.plan(c.snapshot, c.service)
	if plan == nil {
		return refused(ReasonNoTarget, stepBalance, "service "+c.service+" has no split")
	}
	plan.budget.Deposit(c.kind)
	choice := c.withinRegions(plan.Choose(c.entry.deps.Random))
	if choice == nil {
		return c.noTarget()
	}
	c.triedHosts = c.triedHostsArray[:0]
	search := balance.NewSearch(choice.Group, c.route.Objective.Std())
	var worst *failure
	for {
		offer := search.Next(c.entry.deps.Random, c.entry.now(), c.triedHosts)
		if offer.Endpoint == nil {
			return noHostFailure(worst)
		}
		failed := c.attempt(choice, offer)
		if failed == nil {
			return nil
		}
		worst = worseFailure(worst, failed)
		if failed.byAdmission && !c.uploading && !c.cancelled() {
			if c.leftEvacuation(failed, offer) {
				choice = c.retryChoice(choice)
				search = balance.NewSearch(choice.Group, c.route.Objective.Std())
			}
			continue // it cost no target anything
		}
		c.triedHosts = append(c.triedHosts, offer.Endpoint.Host)
		if !c.awaitRetry(failed, plan.budget) || !c.renewToken() {
			return worst
		}
		c.logRetry(failed)
		choice = c.retryChoice(choice)
		search = balance.NewSearch(choice.Group, c.route.Objective.Std())
	}
}

// retryChoice returns the choice for the next attempt: the stable version, among the
// targets known now, which may differ from those of the attempt before.
func (c *callerRequest) retryChoice(last *balance.Choice) *balance.Choice {
	if plan := c.entry.routing.plan(c.snapshot, c.service); plan != nil {
		if present := c.withinRegions(plan.Choose(c.entry.deps.Random)); present != nil {
			last = present
		}
	}
	if last.Stable != nil {
		return last.Stable
	}
	return last
}

// noHostFailure returns the failure to report when no other host can be tried.
func noHostFailure(worst *failure) *failure {
	if worst == nil {
		return refused(ReasonNoTarget, stepBalance, "no other target is available")
	}
	return worst
}

// worseFailure combines the failures of several attempts: once one attempt may have run,
// the request may have run, whatever the outcome of later attempts.
func worseFailure(earlier, later *failure) *failure {
	if earlier != nil && earlier.outcome == retry.Unknown && later.outcome != retry.Unknown {
		return earlier
	}
	return later
}

// awaitRetry decides on another attempt and waits for its backoff.
func (c *callerRequest) awaitRetry(failed *failure, budget *retry.Budget) bool {
	if failed.targetCrashed {
		c.crashes++
	}
	withoutTarget := failed.withoutTarget()
	if withoutTarget {
		c.attemptsWithoutTarget++
	}
	if failed.reason.isFinal() || c.cancelled() {
		return false
	}
	decision := retry.Decide(retry.History{
		Outcome:      failed.outcome,
		Kind:         c.kind,
		ParentEnded:  c.parentHere && c.entry.deps.Parents.Running() == 0,
		Repeat:       c.route.Repeat,
		Replayable:   !c.uploading,
		Attempts:     len(c.triedHosts),
		Crashes:      c.crashes,
		NoTarget:     c.attemptsWithoutTarget,
		LastNoTarget: withoutTarget,
		MaxAttempts:  c.route.MaxAttempts,
		Remaining:    time.Until(c.deadline),
	}, budget, rand.Float64())
	return decision.Retry && c.waitBackoff(decision.Backoff)
}

// waitBackoff reports whether the backoff passed before the request was cancelled.
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

// dispatchContext returns the context of the attempts, which ends when the caller
// disconnects. A keyed request runs to its end after its caller has disconnected, since the
// caller sends it again to receive the recorded response.
func (c *callerRequest) dispatchContext() context.Context {
	if c.route.Repeat == revision.RepeatKeyed {
		return context.WithoutCancel(c.httpRequest.Context())
	}
	return c.httpRequest.Context()
}

// cancelled reports whether the caller's disconnect cancelled the request.
func (c *callerRequest) cancelled() bool { return c.ctx.Err() != nil }

// callerLeft reports whether the caller has closed its connection, and cancels the connection's requests
// if so. The read by which net/http notices a close runs beside the dispatch, and may come after it.
func (c *callerRequest) callerLeft() bool {
	if c.route.Repeat == revision.RepeatKeyed || !c.conn.closedByCaller() {
		return false
	}
	c.entry.departedRequests.Add(1)
	c.conn.cancelRequests()
	return true
}

// attempt sends the request to the endpoint of an offer and relays its response. It returns the
// failure if there was none.
func (c *callerRequest) attempt(choice *balance.Choice, offer balance.Offer) *failure {
	if !c.bodyComplete {
		// The upload can't begin again at another host, so the request waits at this one.
		offer.Bounded = false
	}
	endpoint := offer.Endpoint
	started := c.entry.now()
	endpoint.Begin()
	defer endpoint.End()
	e := &exchange{
		request:  c,
		choice:   choice,
		endpoint: endpoint,
		offer:    offer,
		attempt:  c.entry.lastAttemptID.Add(1),
	}
	token := c.useToken()
	failed := e.run()
	c.keepToken(token, failed)
	e.recordHealth(failed)
	if failed == nil || !failed.byAdmission || !offer.Bounded {
		c.attempts++
		e.reportAttempt(failed, c.entry.now()-started)
	}
	if failed == nil {
		c.logResponse(e)
	}
	if e.truncated {
		c.abort()
	}
	return failed
}

// abort resets the caller's connection, so that no caller takes a truncated response for a
// whole one, even if it reads the end of the connection as the end of the body.
func (c *callerRequest) abort() {
	resetOnClose(c.httpRequest.Context())
	panic(http.ErrAbortHandler)
}
