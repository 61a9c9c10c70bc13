package exit

import (
	"math/rand/v2"
	"time"

	"sassafrasnotch.example/coord/admission"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// refusal states why a request was not dispatched, or that the target reports it as not executed.
// retryAfter is 0 if no time is stated.
type refusal struct {
	reason     peerpb.RefusalReason
	detail     string
	retryAfter time.Duration
	// byAdmission means that admission control refused the request: it reached no target.
	byAdmission bool
}

// admit obtains a slot of a target and waits for one in its queue if necessary. It returns nil
// once the request holds a slot, which Exit.release frees.
func (c *callerRequest) admit() *refusal {
	if c.timeout <= 0 {
		return &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_EXPIRED, detail: "the deadline has passed"}
	}
	if c.pathErr != nil {
		return &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_LIMIT, detail: c.pathErr.Error()}
	}
	if refused := c.refuseDependent(time.Now()); refused != nil {
		return refused
	}
	decision, refused := c.exit.submit(c)
	if refused != nil {
		return refused
	}
	if decision == nil {
		c.exit.observeWait(c.head.Service, 0)
		return nil
	}
	arrived := time.Now()
	expired := time.NewTimer(time.Until(c.queueDeadline()))
	defer expired.Stop()
	select {
	case action := <-decision:
		refused := c.applyDecision(action)
		if refused == nil {
			c.exit.observeWait(c.head.Service, time.Since(arrived))
		}
		return refused
	case <-expired.C:
	case <-c.ctx.Done():
	}
	return c.exit.cancelWait(c, decision)
}

// submit submits the request to admission control. It returns a channel for the decision if the
// request is queued, a refusal if it is refused, and neither if it holds a slot.
func (e *Exit) submit(c *callerRequest) (chan admission.Action, *refusal) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.checkAdmissible(c, now); refused != nil {
		return nil, refused
	}
	t := leastLoaded(e.versions[c.key], now)
	c.target = t
	e.lastAdmissionID++
	c.admissionID = e.lastAdmissionID
	request := admission.Request{
		ID: c.admissionID, Deadline: c.queueDeadline(), Class: c.head.Route,
		Priority: int(c.head.Priority), Nested: c.head.Nested, Tenant: c.head.Tenant,
	}
	if c.head.MaxWaitMicros != nil {
		request.Draw = rand.Float64()
		request.Bounded, request.MaxWait = true, time.Duration(c.head.GetMaxWaitMicros())*time.Microsecond
	}
	if bound := c.objectiveLeft(); bound > 0 {
		request.SoftDeadline = now.Add(bound)
	}
	action, shed := t.admission.Submit(request, now)
	e.deliver(t, shed, now)
	switch action.Verdict {
	case admission.Run:
		e.inFlight++
		return nil, nil
	case admission.Refuse:
		return nil, refusalFor(action.Reason, t.admission.RetryAfter(now))
	}
	decision := make(chan admission.Action, 1)
	t.waiters[c.admissionID] = decision
	e.inFlight++
	return decision, nil
}

// objectiveLeft returns the time in which a response is of full use to the caller, 0 if it has no bound:
// what its entry states, which counts from the arrival there, or else the whole bound.
func (c *callerRequest) objectiveLeft() time.Duration {
	if left := c.head.ObjectiveMicros; left > 0 {
		return time.Duration(left) * time.Microsecond
	}
	return c.exit.latencyBound(c.head.Service, c.head.Route)
}

// checkAdmissible refuses requests that no target of this host may run.
func (e *Exit) checkAdmissible(c *callerRequest, now time.Time) *refusal {
	switch {
	case e.leaving:
		return &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_LEAVING, detail: "the host is leaving"}
	case e.evacuated:
		e.evacuationRefusals++
		return evacuatedRefusal()
	case c.fingerprint != 0 && e.crashes.isQuarantined(c.fingerprint, now):
		return &refusal{
			reason: peerpb.RefusalReason_REFUSAL_REASON_QUARANTINED,
			detail: "the request was in flight during several target crashes",
		}
	case len(e.versions[c.key]) == 0:
		return &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_NO_TARGET, detail: "no target of the version on this host"}
	}
	return nil
}

// leastLoaded returns the target with the lowest load per slot; a leaving target only if all are
// leaving.
func leastLoaded(targets []*target, now time.Time) *target {
	best := targets[0]
	for _, t := range targets[1:] {
		if t.Leaving != best.Leaving {
			if best.Leaving {
				best = t
			}
			continue
		}
		if lessLoaded(t.admission.Load(now), best.admission.Load(now)) {
			best = t
		}
	}
	return best
}

func lessLoaded(a, b admission.Load) bool {
	return (a.Outstanding+a.Queued)*max(b.Slots, 1) < (b.Outstanding+b.Queued)*max(a.Slots, 1)
}

// deliver passes decisions to the queued requests of a target, and schedules the next one if only the
// rate of the target holds it back. The caller holds e.mu.
func (e *Exit) deliver(t *target, actions []admission.Action, now time.Time) {
	t.deliver(actions)
	wait, held := t.admission.NextRun(now)
	if !held || t.runScheduled {
		return
	}
	t.runScheduled = true
	time.AfterFunc(wait, func() {
		now := time.Now()
		e.mu.Lock()
		defer e.mu.Unlock()
		t.runScheduled = false
		e.deliver(t, t.admission.Tick(now), now)
	})
}

func (c *callerRequest) applyDecision(action admission.Action) *refusal {
	if action.Verdict == admission.Run {
		return nil
	}
	c.exit.mu.Lock()
	retryAfter := c.target.admission.RetryAfter(time.Now())
	c.exit.mu.Unlock()
	c.exit.endInFlight()
	return refusalFor(action.Reason, retryAfter)
}

// cancelWait removes the request from the queue because the deadline passed or the caller left. A
// slot that was granted in the meantime is released.
func (e *Exit) cancelWait(c *callerRequest, decision chan admission.Action) *refusal {
	e.mu.Lock()
	wasQueued := c.target.admission.Cancel(c.admissionID)
	delete(c.target.waiters, c.admissionID)
	e.mu.Unlock()
	if !wasQueued {
		if refused := c.applyDecision(<-decision); refused != nil {
			return refused
		}
		e.releaseUnused(c)
	}
	e.endInFlight()
	return refusalFor(admission.Expired, 0)
}

// releaseUnused frees a slot on which no request ran.
func (e *Exit) releaseUnused(c *callerRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.deliver(c.target, c.target.admission.Release(now), now)
}

// release frees the slot of a request, which ran for the elapsed time if it was dispatched.
func (e *Exit) release(c *callerRequest, r result, elapsed time.Duration) {
	now := time.Now()
	e.mu.Lock()
	if r.kind == responded {
		e.crashes.markResponded(c.fingerprint, now)
	}
	if r.kind == responded || r.inTime || c.ctx.Err() == nil { // a deadline shows nothing about the target
		c.target.admission.RecordResult(r.failed(), now)
	}
	switch {
	case c.gaveUp(r):
		e.abandon(c, elapsed, now)
	case c.dispatched:
		e.deliver(c.target, c.target.admission.Complete(c.head.Route, elapsed, now), now)
	default:
		e.deliver(c.target, c.target.admission.Release(now), now)
	}
	e.mu.Unlock()
	e.endInFlight()
}

// endInFlight counts a request that was in flight or queued as ended, and completes Drain with the
// last one.
func (e *Exit) endInFlight() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if e.leaving && e.inFlight == 0 {
		close(e.drained)
	}
}

func refusalFor(reason admission.Reason, retryAfter time.Duration) *refusal {
	switch reason {
	case admission.Expired:
		return &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_EXPIRED, detail: "the deadline passed before a slot was free"}
	case admission.Evacuated:
		return evacuatedRefusal()
	case admission.Leaving:
		return &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_LEAVING, detail: "the target is leaving"}
	}
	return &refusal{
		reason:      peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED,
		detail:      "the queue of the target is full or the estimated response time is too long",
		retryAfter:  retryAfter,
		byAdmission: true,
	}
}
