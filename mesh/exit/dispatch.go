package exit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

var (
	errResponseMismatch = errors.New("the target answered another request")
	errUnsolicited      = errors.New("the target answered before the request was written")
	errProtocolSwitched = errors.New("the target switched protocols")
	errUnsigned         = errors.New("the success bears no signature of the target")
	errUnframed         = errors.New("the answer has no length, so that its end can't be told from a cut")
)

// resultKind is what became of a call that held a slot.
type resultKind int

const (
	answered resultKind = iota
	notDispatched
	outcomeUnknown // dispatched, no whole answer
	callerGone
)

type result struct {
	kind    resultKind
	status  int
	crashed bool
}

// dispatch sends the call to its target and the answer to the caller.
func (c *callerRequest) dispatch() result {
	response, err := c.exchange(c.target.conns.get)
	if err != nil && c.retriable() {
		response, err = c.exchange(c.target.conns.dial) // the kept connection had been closed
	}
	if err == nil {
		return c.relayAndReuse(response)
	}
	if !c.dispatched {
		return c.refuseUndispatched(err)
	}
	return c.reportFailure("dispatch", err)
}

// finish relays the answer, and keeps the connection if the exchange was whole.
func (c *callerRequest) relayAndReuse(response *http.Response) result {
	if !c.conn.bodyBuffered(response) {
		graceCtx, cancel := context.WithDeadline(c.caller, c.deadline.Add(responseGrace))
		defer cancel()
		c.conn.replaceContext(graceCtx)
	}
	var result result
	if refusal := c.targetRefusal(response); refusal != nil {
		result = c.relayRefusal(response, refusal)
	} else {
		result = c.relay(response)
	}
	whole := result.kind == answered || result.kind == notDispatched
	if whole && !response.Close && c.conn.reusable() {
		c.conn.idleTimeout = c.exit.conventions.connIdleTimeout(response)
		c.target.conns.put(c.conn)
		return result
	}
	c.conn.abandon()
	return result
}

// turnedAway returns why the target did not run the request, or nil if it did.
func (c *callerRequest) targetRefusal(response *http.Response) *refusal {
	conventions := &c.exit.conventions
	if conventions.Instance != "" && response.StatusCode == http.StatusMisdirectedRequest {
		c.exit.removeUnreachable(c.target) // its address is another target's now
		return &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_NO_TARGET, detail: "another target answers at the address"}
	}
	if conventions.NotExecuted == "" || response.Header.Get(conventions.NotExecuted) == "" || c.idMismatch(response) {
		return nil
	}
	return &refusal{
		reason: peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED,
		detail: "the target turned the request away with status " + strconv.Itoa(response.StatusCode),
	}
}

// relayRefusal tells the caller that the target did not run the request.
func (c *callerRequest) relayRefusal(response *http.Response, refusal *refusal) result {
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		response.Close = true
	}
	c.sendRefusal(refusal)
	return result{kind: notDispatched, status: response.StatusCode}
}

// repeatable reports whether a request that failed on a kept connection can be
// written to another one: nothing of it was written, or it may run twice and
// the target sent no byte of an answer.
func (c *callerRequest) retriable() bool {
	if c.conn == nil || !c.conn.reused || !c.head.Complete || c.ctx.Err() != nil {
		return false
	}
	return !c.dispatched || c.head.Idempotent && !c.conn.receivedAny
}

// exchange writes the request to a connection and reads the head of the answer.
func (c *callerRequest) exchange(open func(context.Context) (*targetConn, error)) (*http.Response, error) {
	conn, err := open(c.ctx)
	if err != nil {
		return nil, err
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
	// After a failed write, the target may still have answered.
	for range maxMismatched {
		response, err := conn.receive(request)
		if err != nil || !c.idMismatch(response) {
			return response, err
		}
		// An extra answer to an earlier request came late; the own one follows.
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, errResponseMismatch
		}
	}
	return nil, errResponseMismatch
}

// maxCrossed bounds the answers to other requests that are passed over.
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

// undispatched refuses a call of which nothing was written.
func (c *callerRequest) refuseUndispatched(cause error) result {
	if isConnRefused(cause) {
		c.exit.removeUnreachable(c.target)
	}
	r := &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_NO_TARGET, detail: cause.Error()}
	if c.ctx.Err() != nil {
		r.reason = peerpb.RefusalReason_REFUSAL_REASON_EXPIRED
	}
	c.sendRefusal(r)
	return result{kind: notDispatched}
}

// failed tells the caller that the outcome is unknown.
func (c *callerRequest) reportFailure(step string, cause error) result {
	if c.callerClosed.Load() {
		return result{kind: callerGone}
	}
	crashed := false
	if c.ctx.Err() == nil {
		crashed = c.exit.checkCrash(c)
	}
	c.sendFailure(step, cause, crashed)
	return result{kind: outcomeUnknown, crashed: crashed}
}

func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
