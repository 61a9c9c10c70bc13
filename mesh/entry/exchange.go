package entry

import (
	"context"
	"net/http"
	"time"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// answerGrace is how much longer than the deadline an entry waits, so that the
// exit's own word on an expired request arrives.
const answerGrace = 20 * time.Millisecond

// answerTail is how long an answer that began by the deadline may go on after it: the
// exit's, and the way from there.
const answerTail = 150*time.Millisecond + answerGrace

// openTimeout bounds the wait for a stream, so that time is left for another
// host.
const openTimeout = 500 * time.Millisecond

// exchange is one attempt: a request and its answer on a stream.
type exchange struct {
	call     *call
	choice   *balance.Choice
	endpoint *balance.Endpoint
	attempt  uint64

	stream   Stream
	upload   *upload
	request  requestFrame
	received peerpb.CallFrame
	status   int
	// finished means that the answer's last frame arrived.
	finished bool
	// reported means that the host itself told what became of the request.
	reported bool
	// cut means that the answer broke off after the caller got its head.
	cut bool
}

// run makes the exchange. It returns nil if an answer began.
func (e *exchange) run() *failure {
	stream, err := e.open()
	if err != nil {
		return e.openFailure(err)
	}
	e.stream = stream
	_ = stream.SetDeadline(e.call.deadline.Add(answerGrace))
	departed := context.AfterFunc(e.call.ctx, func() { interrupt(stream) })
	defer func() { e.close(departed()) }()
	if err := stream.Send(e.head()); err != nil {
		return unknown(e.lossReason(), stepSend, err.Error()).at(e.endpoint.Host)
	}
	e.upload = e.call.startUpload(stream, e.attempt)
	return e.await()
}

func (e *exchange) open() (Stream, error) {
	timeout := min(openTimeout, time.Until(e.call.deadline))
	ctx, cancel := context.WithTimeout(e.call.ctx, timeout)
	defer cancel()
	return e.call.entry.deps.Dialer.OpenCall(ctx, e.endpoint.Host, e.endpoint.Address)
}

// close hands the stream back if it is at the end of a whole exchange.
func (e *exchange) close(untouched bool) {
	uploaded := e.upload.stop(e.call, e.stream)
	if untouched && uploaded && e.finished {
		e.stream.Release()
		return
	}
	e.stream.Discard()
}

func (e *exchange) head() *peerpb.CallFrame {
	c := e.call
	head := &e.request.head
	head.RequestId = c.requestID
	head.Service = c.service
	head.Version = e.endpoint.Version
	head.Route = c.route.Name
	head.Method = c.request.Method
	head.Path = c.request.URL.RequestURI()
	head.Authority = c.request.Host
	head.Headers = c.headers
	head.TimeoutMicros = time.Until(c.deadline).Microseconds()
	head.Priority = int32(c.route.Priority)
	head.Idempotent = c.route.Repeat == revision.RepeatIdempotent
	head.ContentLength = c.request.ContentLength
	head.Revision = c.snapshot.Revision()
	head.Hops = c.hops
	head.InlineBody = c.inline
	head.Complete = c.complete
	e.request.body.Head = head
	e.request.frame.Attempt = e.attempt
	e.request.frame.Body = &e.request.body
	return &e.request.frame
}

// requestFrame is the first frame of a request, kept with its exchange to spare
// allocations.
type requestFrame struct {
	frame peerpb.CallFrame
	body  peerpb.CallFrame_Head
	head  peerpb.CallHead
}

func (e *exchange) openFailure(err error) *failure {
	if e.call.departed() || !time.Now().Before(e.call.deadline) {
		return refused(ReasonExpired, stepOpen, err.Error()).at(e.endpoint.Host)
	}
	return refused(ReasonUnreachable, stepOpen, err.Error()).at(e.endpoint.Host)
}

// lossReason tells a stream lost to the caller's departure or the deadline from
// one lost to the network.
func (e *exchange) lossReason() Reason {
	if e.call.departed() {
		return ReasonCallerDisconnected
	}
	if time.Now().Before(e.call.deadline) {
		return ReasonLost
	}
	return ReasonTimeout
}

// await reads the first frame of the answer.
func (e *exchange) await() *failure {
	frame := &e.received
	if err := e.stream.Receive(frame); err != nil {
		return e.awaitFailure(err)
	}
	if frame.GetAttempt() != e.attempt {
		return unknown(ReasonInvalidResponse, stepAwait, "a frame of another attempt arrived").at(e.endpoint.Host)
	}
	switch body := frame.GetBody().(type) {
	case *peerpb.CallFrame_Answer:
		return e.answer(body.Answer)
	case *peerpb.CallFrame_Refusal:
		return e.refusal(body.Refusal)
	case *peerpb.CallFrame_Failure:
		return e.failure(body.Failure)
	}
	return unknown(ReasonInvalidResponse, stepAwait, "a frame other than an answer arrived").at(e.endpoint.Host)
}

func (e *exchange) awaitFailure(err error) *failure {
	if broken := e.brokenBody(); broken != nil {
		return broken
	}
	return unknown(e.lossReason(), stepAwait, err.Error()).at(e.endpoint.Host)
}

// brokenBody reports a streamed body that the caller did not send whole. The
// target may have taken its beginning.
func (e *exchange) brokenBody() *failure {
	if e.upload == nil || !e.upload.broken.Load() {
		return nil
	}
	failed := e.call.bodyFailure(e.upload.readErr)
	failed.outcome = retry.Unknown
	if failed.reason == ReasonExpired {
		failed.reason = ReasonTimeout
	}
	return failed
}

func (e *exchange) refusal(refusal *peerpb.Refusal) *failure {
	e.finished = true
	e.reported = true
	e.observeLoad(refusal.GetLoad())
	failed := refused(refusalReason(refusal.GetReason()), stepAwait, refusal.GetDetail()).at(e.endpoint.Host)
	failed.load = refusal.GetLoad()
	failed.retryAfter = time.Duration(refusal.GetRetryAfterMillis()) * time.Millisecond
	return failed
}

func (e *exchange) failure(reported *peerpb.Failure) *failure {
	e.reported = true
	reason := ReasonFailed
	if !time.Now().Before(e.call.deadline) {
		reason = ReasonTimeout
	}
	failed := unknown(reason, reported.GetStep(), reported.GetDetail()).at(e.endpoint.Host)
	failed.crashed = reported.GetTargetCrashed()
	return failed
}

func (e *exchange) observeLoad(load *peerpb.Load) {
	if load == nil {
		return
	}
	report := balance.Report{
		Outstanding: int(load.GetOutstanding()),
		Queued:      int(load.GetQueued()),
		Slots:       int(load.GetSlots()),
	}
	e.endpoint.Observe(report, e.call.entry.now())
}

// judge records what the exchange says about the endpoint's health.
func (e *exchange) judge(failed *failure) {
	now := e.call.entry.now()
	switch {
	case e.call.departed():
		// Nothing was learnt.
	case failed != nil && failed.reason == ReasonTimeout && e.call.shortened:
		// A hasty caller says nothing about the host.
	case failed == nil && !e.cut && e.status < http.StatusInternalServerError:
		e.choice.Group.Succeed(e.endpoint)
	case failed == nil || failed.reason.againstHost():
		e.choice.Group.Fail(e.endpoint, now)
	}
	if failed != nil && failed.reason.avoidsHost() {
		e.endpoint.Avoid(now)
	}
}

func (e *exchange) observe(failed *failure, took time.Duration) {
	attempt := Attempt{
		Service:        e.call.service,
		Version:        e.endpoint.Version,
		Route:          e.call.route.Name,
		Host:           e.endpoint.Host,
		Zone:           e.endpoint.Zone,
		Outcome:        retry.Answered,
		Status:         e.status,
		Truncated:      e.cut,
		ReportedByHost: failed == nil || e.reported,
		Duration:       took,
	}
	if failed != nil {
		attempt.Outcome = failed.outcome
		attempt.Reason = failed.reason
	} else {
		e.call.told = Result{
			Version:   e.endpoint.Version,
			Outcome:   retry.Answered,
			Status:    e.status,
			Truncated: e.cut,
		}
	}
	e.call.entry.deps.AttemptObserver.ObserveAttempt(attempt)
}
