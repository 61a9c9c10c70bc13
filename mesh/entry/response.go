package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/fieldname"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// maxBufferedBody is the length, in bytes, of the longest body that net/http buffers without
// waiting for the caller.
const maxBufferedBody = 2 << 10

// Errors of a response that is truncated.
var (
	errWrongAttempt    = errors.New("entry: received a frame of another attempt")
	errBodyLength      = errors.New("entry: the length of the response body differs from its Content-Length")
	errUnexpectedFrame = errors.New("entry: received a frame other than data or end")
)

// relayResponse checks the head of a response and relays the response to the caller.
func (e *exchange) relayResponse(head *peerpb.AnswerHead) *failure {
	e.observeLoad(head.GetLoad())
	if detail := e.checkHead(head); detail != "" {
		return unknown(ReasonInvalidResponse, stepAwait, detail).withPeer(e.endpoint.Host)
	}
	e.reportedByHost = true
	e.status = int(head.GetStatus())
	e.finished = head.GetComplete()
	e.writeHead(head)
	body := &relayedBody{
		caller:    e.request.writer,
		recording: e.request.claim.newRecording(head),
		remaining: head.GetContentLength(),
	}
	if err := e.relayBody(head, body); err != nil {
		e.truncated = true
		return nil
	}
	body.recording.save()
	e.truncated = body.callerErr != nil
	return nil
}

// checkHead returns what is wrong with a response before any of it is relayed, or "".
func (e *exchange) checkHead(head *peerpb.AnswerHead) string {
	if head.GetStatus() < http.StatusOK || head.GetStatus() > 599 {
		return "the response status is outside 200 to 599"
	}
	for _, field := range head.GetHeaders() {
		if !fieldname.Valid(field.GetName()) {
			return fieldname.ErrInvalid.Error()
		}
	}
	length := head.GetContentLength()
	if head.GetComplete() && e.hasBody(head) && length >= 0 && length != int64(len(head.GetInlineBody())) {
		return "the length of the response body differs from its Content-Length"
	}
	return ""
}

// hasBody reports whether the stated length is that of a body that follows.
func (e *exchange) hasBody(head *peerpb.AnswerHead) bool {
	status := head.GetStatus()
	return e.request.httpRequest.Method != http.MethodHead &&
		status != http.StatusNoContent && status != http.StatusNotModified
}

func (e *exchange) writeHead(head *peerpb.AnswerHead) {
	header := e.request.writer.Header()
	for _, field := range head.GetHeaders() {
		if !isHopByHop(field.GetName()) {
			header.Add(field.GetName(), field.GetValue())
		}
	}
	header.Set(HeaderOutcome, retry.Responded.String())
	header.Set(e.request.entry.deps.Conventions.RequestIDHeader, e.request.requestID)
	if e.request.closesConnection() {
		header.Set("Connection", "close")
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
	header.Del("Content-Length")
	if head.GetContentLength() >= 0 && head.GetStatus() != http.StatusNoContent {
		header.Set("Content-Length", strconv.FormatInt(head.GetContentLength(), 10))
	}
	e.request.writer.WriteHeader(int(head.GetStatus()))
}

// relayBody copies the body to the caller as its frames arrive.
func (e *exchange) relayBody(head *peerpb.AnswerHead, body *relayedBody) error {
	if !e.hasBody(head) {
		body.remaining = 0
	}
	if !head.GetComplete() {
		_ = e.stream.SetDeadline(e.request.deadline.Add(responseOverrun))
	}
	if !head.GetComplete() || len(head.GetInlineBody()) > maxBufferedBody {
		clearDeadline := e.limitWriteTime()
		defer clearDeadline()
	} else {
		limitTail(e.request.writer)
	}
	if err := body.write(head.GetInlineBody()); err != nil {
		return err
	}
	if head.GetComplete() {
		return nil
	}
	control := http.NewResponseController(e.request.writer)
	frame := &e.receivedFrame
	for {
		if err := e.receiveFrame(frame); err != nil {
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
			return errUnexpectedFrame
		}
	}
}

// limitWriteTime ends writes to the caller responseOverrun after the request's deadline, so
// that a caller that does not read holds neither the stream nor the target's slot for
// longer. The returned function leaves a limit for what net/http writes after the handler.
func (e *exchange) limitWriteTime() (clearDeadline func()) {
	control := http.NewResponseController(e.request.writer)
	_ = control.SetWriteDeadline(e.request.deadline.Add(responseOverrun))
	return func() { limitTail(e.request.writer) }
}

func (e *exchange) receiveFrame(frame *peerpb.CallFrame) error {
	frame.Reset()
	if err := e.stream.Receive(frame); err != nil {
		return err
	}
	if frame.GetAttempt() != e.attempt {
		return errWrongAttempt
	}
	return nil
}

// relayedBody checks a relayed body against its stated length.
type relayedBody struct {
	caller    io.Writer
	recording *recording
	remaining int64 // bytes; negative if no length was stated
	// callerErr is the error of writing a recorded body to the caller. The body is recorded
	// to its end all the same.
	callerErr error
}

func (b *relayedBody) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if b.remaining >= 0 {
		if int64(len(data)) > b.remaining {
			return errBodyLength
		}
		b.remaining -= int64(len(data))
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
	if b.remaining > 0 {
		return errBodyLength
	}
	return nil
}
