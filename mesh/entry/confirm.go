package entry

import (
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// asksBeforeDispatch reports whether the host is to ask before it dispatches the request. Requests that
// may be repeated need no certainty, and streamed bodies are under way before the host can ask.
func (e *exchange) asksBeforeDispatch() bool {
	c := e.request
	return c.entry.settings.ConfirmDispatch && c.route.Repeat != revision.RepeatIdempotent && c.bodyComplete &&
		e.stream.ConfirmsDispatch()
}

// questionTimeout bounds how long a host that has a free slot may take to ask. It is as long as a
// connection to it may take; a request that certainly does not run there can be sent elsewhere.
const questionTimeout = 250 * time.Millisecond

// answerDeadline returns until when the next frame of the host is awaited.
func (e *exchange) answerDeadline() time.Time {
	deadline := e.request.deadline.Add(responseGrace)
	if e.unconfirmed && e.offer.Bounded {
		if limit := time.Now().Add(e.offer.MaxWait + questionTimeout); limit.Before(deadline) {
			return limit
		}
	}
	return deadline
}

// keepThroughSilence makes an exchange last though the host falls silent, if the request may run there
// and must not be repeated.
func (e *exchange) keepThroughSilence() {
	if !e.unconfirmed && e.request.route.Repeat == revision.RepeatNever {
		e.stream.KeepThroughSilence(e.recordSilence)
	}
}

// confirmDispatch allows the dispatch for which the host has asked, and awaits the response. Unless there
// is time left and a caller, the host is not allowed it and the request ends as not run.
func (e *exchange) confirmDispatch() *failure {
	switch {
	case !e.unconfirmed:
		return unknown(ReasonInvalidResponse, stepAwait, "the host asked for a dispatch that it had been allowed").withPeer(e.endpoint.Host)
	case e.request.callerLeft() || e.request.cancelled():
		return refused(ReasonExpired, stepAwait, "the caller has closed its connection").withPeer(e.endpoint.Host)
	case !time.Now().Before(e.request.deadline):
		return refused(ReasonExpired, stepAwait, "the deadline passed before the dispatch").withPeer(e.endpoint.Host)
	}
	e.unconfirmed = false
	_ = e.stream.SetDeadline(e.answerDeadline())
	goAhead := &peerpb.CallFrame{Attempt: e.attempt, Body: &peerpb.CallFrame_Go{Go: &peerpb.CallGo{}}}
	if err := e.stream.Send(goAhead); err != nil {
		return unknown(e.lossReason(), stepSend, err.Error()).withPeer(e.endpoint.Host)
	}
	e.keepThroughSilence()
	e.receivedFrame.Reset()
	return e.awaitResponse()
}

// unconfirmedFailure returns the failure of a request that was lost before its dispatch was allowed: it
// has not run, and will not, since the stream is closed.
func (e *exchange) unconfirmedFailure(err error) *failure {
	if e.request.cancelled() || !time.Now().Before(e.request.deadline) {
		return refused(ReasonExpired, stepAwait, err.Error()).withPeer(e.endpoint.Host)
	}
	failed := refused(ReasonUnreachable, stepAwait, err.Error()).withPeer(e.endpoint.Host)
	failed.silent = isTimeout(err)
	return failed
}
