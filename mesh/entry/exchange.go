package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// responseGrace is how much longer than the deadline an entry waits, so that the exit's own
// report on an expired request arrives.
const responseGrace = 20 * time.Millisecond

// responseOverrun is how long after the deadline a response that began by it may continue: 150 ms,
// which is the time that the exit of the target's host allows too, and the transfer from there.
const responseOverrun = 150*time.Millisecond + responseGrace

// openTimeout bounds the wait for a stream, so that time remains for another host.
const openTimeout = 500 * time.Millisecond

// exchange is one attempt: a request and its response on a stream.
type exchange struct {
	request  *callerRequest
	choice   *balance.Choice
	endpoint *balance.Endpoint
	offer    balance.Offer
	maxWait  int64 // of a bounded offer, in microseconds
	attempt  uint64

	stream        Stream
	upload        *upload
	firstFrame    requestFrame
	receivedFrame peerpb.CallFrame
	status        int
	// finished means that the last frame of the response arrived.
	finished bool
	// reportedByHost means that the host reported the outcome of the request.
	reportedByHost bool
	// unconfirmed means that the host dispatches the request only after a frame that was not sent yet.
	unconfirmed bool
	// truncated means that the response broke off after its head was sent to the caller.
	truncated bool
}

// run makes the attempt. It returns nil if a response began.
func (e *exchange) run() *failure {
	// A stream from the pool is returned without a look at the context.
	if err := e.request.ctx.Err(); err != nil {
		return e.openFailure(err)
	}
	stream, err := e.openStream()
	if err != nil {
		return e.openFailure(err)
	}
	e.stream = stream
	if e.request.callerLeft() {
		stream.Release()
		return refused(ReasonExpired, stepSend, "the caller has closed its connection").withPeer(e.endpoint.Host)
	}
	e.unconfirmed = e.asksBeforeDispatch()
	_ = stream.SetDeadline(e.answerDeadline())
	stopInterrupt := context.AfterFunc(e.request.ctx, func() { interrupt(stream) })
	defer func() { e.close(stopInterrupt()) }()
	if err := stream.Send(e.requestHead()); err != nil {
		if e.unconfirmed {
			return e.unconfirmedFailure(err)
		}
		return unknown(e.lossReason(), stepSend, err.Error()).withPeer(e.endpoint.Host)
	}
	e.keepThroughSilence()
	e.upload = e.request.startUpload(stream, e.attempt)
	return e.awaitResponse()
}

func (e *exchange) openStream() (Stream, error) {
	timeout := min(openTimeout, time.Until(e.request.deadline))
	ctx, cancel := context.WithTimeout(e.request.ctx, timeout)
	defer cancel()
	return e.request.entry.deps.Dialer.OpenStream(ctx, e.endpoint.Host, e.endpoint.Address)
}

// close releases the stream after a complete exchange and discards it otherwise.
func (e *exchange) close(uninterrupted bool) {
	uploaded := e.upload.stop(e.request, e.stream)
	if uninterrupted && uploaded && e.finished {
		e.stream.Release()
		return
	}
	e.stream.Discard()
}

func (e *exchange) requestHead() *peerpb.CallFrame {
	c := e.request
	head := &e.firstFrame.head
	head.RequestId = c.requestID
	head.Service = c.service
	head.Version = e.endpoint.Version
	head.Route = c.route.Name
	head.Method = c.httpRequest.Method
	head.Path = c.httpRequest.URL.RequestURI()
	head.Authority = c.httpRequest.Host
	head.Headers = c.headers
	head.TimeoutMicros = time.Until(c.deadline).Microseconds()
	head.Priority = c.snapshot.Priority(c.route, c.tenant)
	if c.tenant != nil {
		head.Tenant = c.tenant.Name
	}
	head.Idempotent = c.route.Repeat == revision.RepeatIdempotent
	head.ContentLength = c.httpRequest.ContentLength
	head.Revision = c.snapshot.Revision()
	head.Hops = c.hops
	head.Nested = c.nested
	head.Confirm = e.unconfirmed
	head.InlineBody = c.inlineBody
	head.Complete = c.bodyComplete
	head.ObjectiveMicros = c.objectiveLeft().Microseconds()
	if e.offer.Bounded {
		e.maxWait = e.offer.MaxWait.Microseconds()
		head.MaxWaitMicros = &e.maxWait
	}
	e.firstFrame.body.Head = head
	e.firstFrame.frame.Attempt = e.attempt
	e.firstFrame.frame.Body = &e.firstFrame.body
	return &e.firstFrame.frame
}

// objectiveLeft returns the time until the route's latency objective has passed since the arrival of the
// request, at least a microsecond: 0 means that the route has no objective.
func (c *callerRequest) objectiveLeft() time.Duration {
	if c.route.Objective <= 0 {
		return 0
	}
	return max(c.route.Objective.Std()-time.Since(c.startedAt), time.Microsecond)
}

// requestFrame is the first frame of a request. It is part of the exchange to save
// allocations.
type requestFrame struct {
	frame peerpb.CallFrame
	body  peerpb.CallFrame_Head
	head  peerpb.CallHead
}

func (e *exchange) openFailure(err error) *failure {
	if e.request.cancelled() || !time.Now().Before(e.request.deadline) {
		return refused(ReasonExpired, stepOpen, err.Error()).withPeer(e.endpoint.Host)
	}
	if errors.Is(err, ErrLocalLimit) {
		return refused(ReasonLocalLimit, stepOpen, err.Error()).withPeer(e.endpoint.Host)
	}
	failed := refused(ReasonUnreachable, stepOpen, err.Error()).withPeer(e.endpoint.Host)
	failed.silent = isTimeout(err) || errors.Is(err, context.DeadlineExceeded)
	return failed
}

// lossReason distinguishes a stream lost to the caller's disconnect or to the deadline from
// one lost to the network.
func (e *exchange) lossReason() Reason {
	if e.request.cancelled() {
		return ReasonCallerDisconnected
	}
	if time.Now().Before(e.request.deadline) {
		return ReasonLost
	}
	return ReasonTimeout
}

// awaitResponse reads the first frame of the response and handles it.
func (e *exchange) awaitResponse() *failure {
	frame := &e.receivedFrame
	if err := e.stream.Receive(frame); err != nil {
		return e.receiveFailure(err)
	}
	if frame.GetAttempt() != e.attempt {
		return unknown(ReasonInvalidResponse, stepAwait, "received a frame of another attempt").withPeer(e.endpoint.Host)
	}
	switch body := frame.GetBody().(type) {
	case *peerpb.CallFrame_Ready:
		return e.confirmDispatch()
	case *peerpb.CallFrame_Answer:
		return e.relayResponse(body.Answer)
	case *peerpb.CallFrame_Refusal:
		return e.refusalFailure(body.Refusal)
	case *peerpb.CallFrame_Failure:
		return e.reportedFailure(body.Failure)
	}
	return unknown(ReasonInvalidResponse, stepAwait, "received a frame other than a response, refusal or failure").withPeer(e.endpoint.Host)
}

func (e *exchange) receiveFailure(err error) *failure {
	if e.unconfirmed {
		return e.unconfirmedFailure(err)
	}
	if e.upload != nil && e.request.cancelled() {
		// net/http cancels the request when a read of its body fails, also at the deadline. The upload
		// learns why.
		e.upload.endedWithin(uploadGrace)
	}
	if broken := e.uploadFailure(); broken != nil {
		return broken
	}
	failed := unknown(e.lossReason(), stepAwait, err.Error()).withPeer(e.endpoint.Host)
	failed.silent = failed.reason == ReasonLost && isTimeout(err)
	return failed
}

// uploadFailure returns the failure of a streamed body that the caller did not send whole.
// The target may have processed its beginning.
func (e *exchange) uploadFailure() *failure {
	if e.upload == nil || !e.upload.readFailed.Load() {
		return nil
	}
	failed := e.request.bodyFailure(e.upload.readErr)
	failed.outcome = retry.Unknown
	if failed.reason == ReasonExpired {
		failed.reason = ReasonTimeout
	}
	return failed
}

// refusalFailure returns the failure that a host's refusal reports.
func (e *exchange) refusalFailure(refusal *peerpb.Refusal) *failure {
	e.finished = true
	e.reportedByHost = true
	e.observeLoad(refusal.GetLoad())
	failed := refused(refusalReason(refusal.GetReason()), stepAwait, refusal.GetDetail()).withPeer(e.endpoint.Host)
	failed.load = refusal.GetLoad()
	failed.retryAfter = time.Duration(refusal.GetRetryAfterMillis()) * time.Millisecond
	failed.byAdmission = refusal.GetByAdmission()
	return failed
}

// reportedFailure returns the failure that a host reports for a dispatched request.
func (e *exchange) reportedFailure(reported *peerpb.Failure) *failure {
	e.reportedByHost = true
	reason := ReasonFailed
	if !time.Now().Before(e.request.deadline) {
		reason = ReasonTimeout
	}
	failed := unknown(reason, reported.GetStep(), reported.GetDetail()).withPeer(e.endpoint.Host)
	failed.targetCrashed = reported.GetTargetCrashed()
	return failed
}

func (e *exchange) observeLoad(load *peerpb.Load) {
	if load == nil {
		return
	}
	report := balance.LoadReport{
		Outstanding: int(load.GetOutstanding()),
		Queued:      int(load.GetQueued()),
		Slots:       int(load.GetSlots()),
		Wait:        time.Duration(load.GetWaitMicros()) * time.Microsecond,
		FailureRate: float64(load.GetFailurePermille()) / 1000,
	}
	now := e.request.entry.now()
	if service := time.Duration(load.GetServiceMicros()) * time.Microsecond; service > 0 {
		times := &e.request.entry.routing.serviceTimes
		typical := times.Add(balance.Class{Service: e.request.service, Route: e.request.route.Name}, service)
		e.endpoint.ObserveServiceTime(service, typical, now)
		report.ServiceTime = times.Add(balance.Class{Service: e.request.service}, service)
	}
	e.endpoint.Observe(report, now)
	e.request.observeNested(load)
}

// recordSilence makes other requests avoid a host that fell silent while the request runs there.
func (e *exchange) recordSilence() {
	now := e.request.entry.now()
	e.endpoint.Avoid(now)
	e.choice.Group.RecordSilence(e.endpoint, now)
}

// recordHealth records what the attempt shows about the endpoint's health.
func (e *exchange) recordHealth(failed *failure) {
	now := e.request.entry.now()
	switch {
	case e.request.cancelled():
		// The caller disconnected, which shows nothing about the host.
	case failed != nil && failed.reason == ReasonTimeout && e.request.deadlineFromCaller:
		// A deadline that the caller set earlier than the route's shows nothing about the host.
	case failed == nil && !e.truncated && e.status < http.StatusInternalServerError:
		e.choice.Group.RecordSuccess(e.endpoint)
	case failed != nil && failed.silent:
		e.choice.Group.RecordSilence(e.endpoint, now)
	case failed == nil || failed.reason.countsAgainstHost():
		e.choice.Group.RecordFailure(e.endpoint, now)
	}
	if failed != nil && failed.reason.hostUnavailable() {
		e.endpoint.Avoid(now)
	}
}

// reportAttempt passes the attempt to the observer and sets the result of a request with a response.
func (e *exchange) reportAttempt(failed *failure, elapsed time.Duration) {
	attempt := Attempt{
		Service:        e.request.service,
		Version:        e.endpoint.Version,
		Route:          e.request.route.Name,
		Host:           e.endpoint.Host,
		Zone:           e.endpoint.Zone,
		Outcome:        retry.Responded,
		Status:         e.status,
		Truncated:      e.truncated,
		ReportedByHost: failed == nil || e.reportedByHost,
		Duration:       elapsed,
	}
	if failed != nil {
		attempt.Outcome = failed.outcome
		attempt.Reason = failed.reason
	} else {
		e.request.result = Result{
			Version:   e.endpoint.Version,
			Outcome:   retry.Responded,
			Status:    e.status,
			Truncated: e.truncated,
		}
	}
	e.request.entry.deps.AttemptObserver.ObserveAttempt(attempt)
}
