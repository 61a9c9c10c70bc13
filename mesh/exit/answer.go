package exit

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

var bodyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, peer.DataChunk)
	return &buffer
}}

// answerFrame is the first frame of an answer in one allocation.
type answerFrame struct {
	frame peerpb.CallFrame
	body  peerpb.CallFrame_Answer
	head  peerpb.AnswerHead
	load  peerpb.Load
}

// relay sends the target's response to the caller. A response that ends short
// of its length, or answers another request, is a failure.
func (c *call) relay(response *http.Response) result {
	if err := c.checkResponse(response); err != nil {
		return c.failed("check answer", err)
	}
	head := &c.answer.head
	head.Status = int32(response.StatusCode)
	head.Headers = answerHeader(response.Header)
	head.ContentLength = response.ContentLength
	if bodiless(c.head.Method, response) {
		return c.sendWhole()
	}
	buffer := bodyBuffers.Get().(*[]byte)
	defer bodyBuffers.Put(buffer)
	if length := response.ContentLength; length >= 0 && length <= peer.InlineLimit {
		return c.relayInline(response.Body, (*buffer)[:length])
	}
	return c.relayStream(response.Body, *buffer)
}

func (c *call) checkResponse(response *http.Response) error {
	conventions := &c.exit.conventions
	switch {
	case c.crossed(response):
		return errCrossed
	case conventions.Signature != "" && succeeded(response) && response.Header.Get(conventions.Signature) == "":
		return errUnsigned
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errSwitched
	case !conventions.AllowUnframed && !framed(c.head.Method, response):
		return errUnframed
	}
	return nil
}

// crossed reports whether the response names another request.
func (c *call) crossed(response *http.Response) bool {
	id := response.Header.Get(c.exit.conventions.RequestID)
	return id != "" && c.head.RequestId != "" && id != c.head.RequestId
}

func succeeded(response *http.Response) bool {
	return response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
}

// framed reports whether the end of the body is marked, by a length or by
// chunks.
func framed(method string, response *http.Response) bool {
	return bodiless(method, response) || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

func bodiless(method string, response *http.Response) bool {
	return method == http.MethodHead || response.Body == http.NoBody
}

// relayInline sends a short answer in one frame.
func (c *call) relayInline(body io.Reader, buffer []byte) result {
	if _, err := io.ReadFull(body, buffer); err != nil {
		return c.failed("read answer", err)
	}
	c.answer.head.InlineBody = buffer
	return c.sendWhole()
}

func (c *call) sendWhole() result {
	c.answer.head.Complete = true
	if err := c.sendHead(); err != nil {
		return result{kind: callerGone}
	}
	return c.answered()
}

func (c *call) answered() result {
	return result{kind: answered, status: int(c.answer.head.Status)}
}

func (c *call) sendHead() error {
	c.answer.head.Load = c.load()
	c.answer.body.Answer = &c.answer.head
	c.answer.frame.Body = &c.answer.body
	return c.stream.Send(&c.answer.frame)
}

// relayStream sends a long answer frame by frame as the target sends it.
func (c *call) relayStream(body io.Reader, buffer []byte) result {
	if err := c.stream.SetDeadline(c.deadline.Add(streamGrace)); err != nil {
		return result{kind: callerGone}
	}
	if err := c.sendHead(); err != nil {
		return result{kind: callerGone}
	}
	data := &peerpb.CallFrame_Data{}
	frame := &peerpb.CallFrame{Body: data}
	for {
		n, readErr := body.Read(buffer)
		data.Data = buffer[:n]
		if n > 0 && c.stream.Send(frame) != nil {
			return result{kind: callerGone}
		}
		if errors.Is(readErr, io.EOF) {
			return c.endStream()
		}
		if readErr != nil {
			return c.failed("read answer", readErr)
		}
	}
}

func (c *call) endStream() result {
	end := &peerpb.CallFrame{Body: &peerpb.CallFrame_End{End: &peerpb.CallEnd{}}}
	if c.stream.Send(end) != nil {
		return result{kind: callerGone}
	}
	return c.answered()
}
