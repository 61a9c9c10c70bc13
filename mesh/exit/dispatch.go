package exit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"sassafrasnotch.example/mesh/limitedconn"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

var (
	errResponseMismatch = errors.New("the response carries the id of another request")
	errUnsolicited      = errors.New("the target sent a response before the request was written")
	errProtocolSwitched = errors.New("the target switched protocols")
	errUnsigned         = errors.New("the success response lacks the signature header of the target")
	errCallerLeft       = errors.New("the entry has closed the stream")
	errUnframed         = errors.New("the response has neither a length nor chunks, so a truncated body can't be detected")
)

// resultKind classifies the outcome of a request that held a slot.
type resultKind int

const (
	responded      resultKind = iota // a complete response was relayed
	notDispatched                    // not written to the target, or reported by it as not executed
	outcomeUnknown                   // dispatched, but no complete response was received
	callerGone
)

type result struct {
	kind    resultKind
	status  int
	crashed bool
	// refusalSent means that the caller was sent a refusal, with which the exchange is complete.
	refusalSent bool
	// inTime means that the failure came before the deadline and before the caller left: it shows something
	// about the target, even if the caller leaves as soon as it is told.
	inTime bool
}

// failed reports whether the target did not serve the request: it refused it, sent no complete
// response or responded with a server error.
func (r *result) failed() bool {
	return r.kind != responded || r.status >= http.StatusInternalServerError
}

// dispatch sends the request to its target and the response to the caller.
func (c *callerRequest) dispatch() result {
	response, err := c.exchange(c.target.conns.get)
	if err != nil && c.dispatched && c.ctx.Err() == nil {
		c.exit.observeLoss(c.target)
	}
	if err != nil && c.retriable() && c.exit.mayRepeat(c.target) {
		if c.dispatched {
			c.exit.countRepeat(c.target)
		}
		response, err = c.exchange(c.target.conns.dial) // the target had closed the idle connection
	}
	if err == nil {
		return c.relayAndReuse(response)
	}
	if !c.dispatched {
		return c.refuseUndispatched(err)
	}
	c.dropForgotten()
	return c.reportFailure("dispatch", err)
}

// relayAndReuse relays the response, and returns the connection to the pool if the
// exchange was complete.
func (c *callerRequest) relayAndReuse(response *http.Response) result {
	if !c.conn.bodyBuffered(response) {
		graceCtx, cancel := context.WithDeadline(c.caller, c.deadline.Add(responseOverrun))
		defer cancel()
		c.conn.replaceContext(graceCtx)
	}
	c.observeNotice(response)
	var result result
	if refusal := c.targetRefusal(response); refusal != nil {
		result = c.relayRefusal(response, refusal)
	} else {
		result = c.relay(response)
	}
	complete := result.kind == responded || result.kind == notDispatched
	if complete && !response.Close && c.identified(response) && c.conn.reusable() {
		c.conn.idleTimeout = c.exit.conventions.connIdleTimeout(response)
		c.target.conns.put(c.conn)
		return result
	}
	c.conn.abandon()
	return result
}

// targetRefusal returns a refusal if the target reports that it did not run the request, or else
// nil.
func (c *callerRequest) targetRefusal(response *http.Response) *refusal {
	conventions := &c.exit.conventions
	if c.mayRepeatRefusal(response) {
		return nil
	}
	if conventions.Instance != "" && response.StatusCode == http.StatusMisdirectedRequest {
		c.exit.removeAndNotify(c.target) // its address now belongs to another target
		return &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_NO_TARGET, detail: "another target uses the address"}
	}
	if conventions.NotExecuted == "" || response.Header.Get(conventions.NotExecuted) == "" || c.idMismatch(response) {
		return nil
	}
	return &refusal{
		reason: peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED,
		detail: "the target refused the request with status " + strconv.Itoa(response.StatusCode),
	}
}

// identified reports whether the response names its request, or targets do not do that.
func (c *callerRequest) identified(response *http.Response) bool {
	conventions := &c.exit.conventions
	return !conventions.EchoesRequestID || response.Header.Get(conventions.RequestID) != ""
}

// relayRefusal sends the refusal of a request that the target did not run. A body that has not
// arrived yet is not waited for: it may have no end.
func (c *callerRequest) relayRefusal(response *http.Response, refusal *refusal) result {
	sent := c.sendRefusal(refusal)
	if !c.conn.bodyBuffered(response) || !discardBody(response) {
		response.Close = true
	}
	return result{kind: notDispatched, status: response.StatusCode, refusalSent: sent}
}

// retriable reports whether a request that failed on a reused connection can be
// written to another one: no byte of it was written, or it is idempotent and
// the target sent no byte of a response.
func (c *callerRequest) retriable() bool {
	if c.conn == nil || !c.conn.reused || !c.head.Complete || c.ctx.Err() != nil {
		return false
	}
	return !c.dispatched || c.head.Idempotent && !c.conn.receivedAny
}

// exchange writes the request to a connection and reads the header of the response.
func (c *callerRequest) exchange(open func(context.Context, time.Time) (*targetConn, error)) (*http.Response, error) {
	conn, err := open(c.ctx, c.queueDeadline())
	if err != nil {
		return nil, err
	}
	if err := c.ctx.Err(); err != nil { // a connection from the pool is returned without a look at the context
		c.target.conns.put(conn)
		return nil, err
	}
	if c.stream.ClosedByPeer() {
		c.abort()
		c.target.conns.put(conn)
		return nil, errCallerLeft
	}
	c.conn = conn
	conn.begin(c.ctx)
	response, err := c.roundTrip(conn)
	unwritten := conn.disableWrites()
	c.dispatched = c.dispatched || !unwritten
	if err == nil && unwritten {
		err = errUnsolicited
	}
	if err != nil {
		conn.abandon()
	}
	return response, err
}

func (c *callerRequest) roundTrip(conn *targetConn) (*http.Response, error) {
	request := c.request()
	if err := conn.send(request, !c.head.Complete); err != nil && conn.disableWrites() {
		return nil, err
	}
	// After a failed write, a response may still have been received.
	for range maxMismatched {
		response, err := conn.receive(request)
		if err != nil || !c.idMismatch(response) {
			return response, err
		}
		// A surplus response to an earlier request came late; that to this request follows.
		if !discardBody(response) || response.Close {
			return nil, errResponseMismatch
		}
	}
	return nil, errResponseMismatch
}

// maxDiscardedBody bounds the body that is read to reach the response behind it, in bytes.
const maxDiscardedBody = 256 << 10

// discardBody reads an unwanted body and reports whether it ended within maxDiscardedBody.
func discardBody(response *http.Response) bool {
	_, err := io.CopyN(io.Discard, response.Body, maxDiscardedBody)
	return errors.Is(err, io.EOF)
}

// maxMismatched bounds the number of responses to other requests that are read for one request.
const maxMismatched = 3

func (c *callerRequest) request() *http.Request {
	c.url.Scheme = "http"
	c.url.Host = c.target.Address
	c.exit.conventions.setDeadline(c.header, time.Until(c.deadline))
	if name := c.exit.conventions.Instance; name != "" {
		c.header.Set(name, c.target.Instance)
	}
	body, length := c.httpBody()
	return &http.Request{
		Method:        c.head.Method,
		URL:           c.url,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        c.header,
		Body:          body,
		ContentLength: length,
		Host:          c.head.Authority,
	}
}

// dropForgotten closes the idle connections that are older than a request that got no byte of a response
// on a reused one by its deadline. The target may have forgotten all of them without a reset, and each
// would cost another request.
func (c *callerRequest) dropForgotten() {
	if c.conn.reused && !c.conn.receivedAny && errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		c.target.conns.dropIdleSince(c.conn.begunAt)
	}
}

// refuseUndispatched refuses a request of which no byte was written to the target.
func (c *callerRequest) refuseUndispatched(cause error) result {
	if isConnRefused(cause) {
		c.exit.removeAndNotify(c.target)
	}
	r := &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_NO_TARGET, detail: cause.Error()}
	switch {
	case c.ctx.Err() != nil:
		r.reason = peerpb.RefusalReason_REFUSAL_REASON_EXPIRED
	case limitedconn.IsShortage(cause):
		r.reason = peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED
	}
	return result{kind: notDispatched, refusalSent: c.sendRefusal(r)}
}

// reportFailure sends the caller a failure, since the outcome at the target is unknown. It checks
// whether the target crashed unless the deadline passed or the caller left.
func (c *callerRequest) reportFailure(step string, cause error) result {
	if c.callerClosed.Load() {
		return result{kind: callerGone}
	}
	inTime, crashed := c.ctx.Err() == nil, false
	if inTime {
		crashed = c.exit.checkCrash(c)
	}
	c.sendFailure(step, cause, crashed)
	return result{kind: outcomeUnknown, crashed: crashed, inTime: inTime}
}

func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
