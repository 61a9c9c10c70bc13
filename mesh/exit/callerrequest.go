package exit

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// outcomeSendGrace is the time after the deadline in which the outcome of a request can still be
// sent. It bounds the use of the stream to the entry, whereas responseGrace bounds how long the
// target may continue its response.
const outcomeSendGrace = time.Second

// responseOverrun is how long a response that began by the deadline may continue after it. The entry
// allows the same time and that of the transfer. Both stay below 250 ms, the time for which a
// request may be held past the timeout of its route.
const responseOverrun = 150 * time.Millisecond

// callerRequest is one request of a caller, from its receipt to its outcome.
type callerRequest struct {
	exit   *Exit
	head   *peerpb.CallHead
	stream *peer.Stream
	key    versionKey

	// ctx ends at the deadline or when the caller leaves, caller only when the caller leaves.
	ctx      context.Context
	caller   context.Context
	cancel   context.CancelFunc
	timeout  time.Duration
	deadline time.Time
	// callerClosed is set once the caller has closed the stream.
	callerClosed atomic.Bool

	url    *url.URL
	header http.Header
	body   requestBody
	conn   *targetConn // used last
	// dispatched is set once a byte of the request may have been written to the target.
	dispatched  bool
	firstFrame  responseHeadFrame
	fingerprint uint64
	pathErr     error

	admissionID uint64
	target      *target
}

func (e *Exit) newCallerRequest(ctx context.Context, head *peerpb.CallHead, s *peer.Stream) (*callerRequest, context.CancelFunc) {
	timeout := time.Duration(head.TimeoutMicros) * time.Microsecond
	c := &callerRequest{
		exit:     e,
		head:     head,
		stream:   s,
		key:      versionKey{head.Service, head.Version},
		timeout:  timeout,
		deadline: time.Now().Add(timeout),
	}
	caller, leave := context.WithCancel(ctx)
	ctx, expire := context.WithDeadline(caller, c.deadline)
	c.ctx, c.caller = ctx, caller
	c.cancel = func() { leave(); expire() }
	c.url, c.pathErr = url.ParseRequestURI(head.Path)
	c.header = e.conventions.requestHeader(head)
	c.fingerprint = requestFingerprint(head)
	c.body.request = c
	c.body.buffered = head.InlineBody
	c.body.complete.Store(head.Complete)
	if head.Complete {
		s.WatchClose(c.abort)
	} else {
		s.SetDeadline(c.deadline.Add(outcomeSendGrace))
	}
	return c, c.cancel
}

// abort cancels the request because the caller closed the stream.
func (c *callerRequest) abort() {
	c.callerClosed.Store(true)
	c.cancel()
}

func (c *callerRequest) sendRefusal(r *refusal) bool {
	frame := &peerpb.CallFrame{Body: &peerpb.CallFrame_Refusal{Refusal: &peerpb.Refusal{
		Reason:           r.reason,
		Detail:           r.detail,
		Load:             c.load(),
		RetryAfterMillis: r.retryAfter.Milliseconds(),
		ByAdmission:      r.byAdmission,
	}}}
	return c.stream.Send(frame) == nil
}

func (c *callerRequest) sendFailure(step string, cause error, crashed bool) {
	c.stream.Send(&peerpb.CallFrame{Body: &peerpb.CallFrame_Failure{Failure: &peerpb.Failure{
		Step:          step,
		Detail:        cause.Error(),
		TargetCrashed: crashed,
	}}})
}

// load returns the load of the requested version.
func (c *callerRequest) load() *peerpb.Load {
	now := time.Now()
	c.exit.mu.Lock()
	load, wait, failures := c.exit.loadOf(c.key, now), c.exit.wait(c.key, now), c.exit.failureRate(c.key, now)
	service := c.exit.serviceTime(c.key, c.head.Route)
	if c.exit.evacuated {
		wait = evacuatedWait
	}
	c.exit.mu.Unlock()
	reported := &c.firstFrame.load
	reported.Outstanding = int32(load.Outstanding)
	reported.Queued = int32(load.Queued)
	reported.Slots = int32(load.Slots)
	reported.WaitMicros = wait.Microseconds()
	reported.FailurePermille = uint32(failures * 1000)
	reported.ServiceMicros = service.Microseconds()
	c.reportNested(reported, now)
	return reported
}
