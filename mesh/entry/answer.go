package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// smallAnswer is the longest body, in bytes, that net/http takes into its buffer
// without waiting for the caller.
const smallAnswer = 2 << 10

// Errors of an answer that breaks off.
var (
	errCrossed = errors.New("entry: a frame of another attempt arrived")
	errLength  = errors.New("entry: the body differs from its stated length")
	errFrame   = errors.New("entry: a frame other than data or end arrived")
)

// answer checks the head of an answer and relays it.
func (e *exchange) answer(head *peerpb.AnswerHead) *failure {
	e.observeLoad(head.GetLoad())
	if detail := e.checkHead(head); detail != "" {
		return unknown(ReasonInvalidResponse, stepAwait, detail).at(e.endpoint.Host)
	}
	e.reported = true
	e.status = int(head.GetStatus())
	e.finished = head.GetComplete()
	e.writeHead(head)
	body := &relayedBody{
		caller:    e.call.writer,
		recording: e.call.claim.record(head),
		left:      head.GetContentLength(),
	}
	if err := e.relay(head, body); err != nil {
		e.cut = true
		return nil
	}
	body.recording.finish()
	e.cut = body.callerErr != nil
	return nil
}

// checkHead returns what is wrong with an answer before any of it is relayed.
func (e *exchange) checkHead(head *peerpb.AnswerHead) string {
	if head.GetStatus() < http.StatusOK || head.GetStatus() > 599 {
		return "the answer's status is out of range"
	}
	length := head.GetContentLength()
	if head.GetComplete() && e.hasBody(head) && length >= 0 && length != int64(len(head.GetInlineBody())) {
		return "the answer's body differs from its stated length"
	}
	return ""
}

// hasBody reports whether the stated length is that of a body that follows.
func (e *exchange) hasBody(head *peerpb.AnswerHead) bool {
	status := head.GetStatus()
	return e.call.request.Method != http.MethodHead &&
		status != http.StatusNoContent && status != http.StatusNotModified
}

func (e *exchange) writeHead(head *peerpb.AnswerHead) {
	header := e.call.writer.Header()
	for _, field := range head.GetHeaders() {
		if !isHopByHop(field.GetName()) {
			header.Add(field.GetName(), field.GetValue())
		}
	}
	header.Set(HeaderOutcome, retry.Answered.String())
	header.Set(e.call.entry.deps.Conventions.RequestIDHeader, e.call.requestID)
	if e.call.entry.closing.Load() {
		header.Set("Connection", "close")
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	header.Del("Content-Length")
	if head.GetContentLength() >= 0 && head.GetStatus() != http.StatusNoContent {
		header.Set("Content-Length", strconv.FormatInt(head.GetContentLength(), 10))
	}
	e.call.writer.WriteHeader(int(head.GetStatus()))
}

// relay copies the body to the caller as its frames arrive.
func (e *exchange) relay(head *peerpb.AnswerHead, body *relayedBody) error {
	if !e.hasBody(head) {
		body.left = 0
	}
	if !head.GetComplete() {
		_ = e.stream.SetDeadline(e.call.deadline.Add(answerTail))
	}
	if !head.GetComplete() || len(head.GetInlineBody()) > smallAnswer {
		lift := e.limitWrites()
		defer lift()
	}
	if err := body.write(head.GetInlineBody()); err != nil {
		return err
	}
	if head.GetComplete() {
		return nil
	}
	control := http.NewResponseController(e.call.writer)
	frame := &e.received
	for {
		if err := e.next(frame); err != nil {
			return err
		}
		switch content := frame.GetBody().(type) {
		case *peerpb.CallFrame_Data:
			if err := body.write(content.Data); err != nil {
				return err
			}
			if head.GetContentLength() < 0 {
				_ = control.Flush()
			}
		case *peerpb.CallFrame_End:
			e.finished = true
			return body.end()
		default:
			return errFrame
		}
	}
}

// limitWrites bounds the answer by the tail after the call's deadline, so that a caller that
// does not read holds neither the stream nor the target's slot for longer.
func (e *exchange) limitWrites() (lift func()) {
	control := http.NewResponseController(e.call.writer)
	_ = control.SetWriteDeadline(e.call.deadline.Add(answerTail))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

func (e *exchange) next(frame *peerpb.CallFrame) error {
	frame.Reset()
	if err := e.stream.Receive(frame); err != nil {
		return err
	}
	if frame.GetAttempt() != e.attempt {
		return errCrossed
	}
	return nil
}

// relayedBody holds a body to its stated length.
type relayedBody struct {
	caller    io.Writer
	recording *recording
	left      int64 // bytes; negative if no length was stated
	// callerErr is why the caller takes no more of a recorded body.
	callerErr error
}

func (b *relayedBody) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if b.left >= 0 {
		if int64(len(data)) > b.left {
			return errLength
		}
		b.left -= int64(len(data))
	}
	b.recording.add(data)
	if b.callerErr != nil {
		return nil
	}
	_, err := b.caller.Write(data)
	if b.recording == nil {
		return err
	}
	b.callerErr = err
	return nil
}

func (b *relayedBody) end() error {
	if b.left > 0 {
		return errLength
	}
	return nil
}
