package exit

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"sassafrasnotch.example/mesh/fieldname"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

var bodyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, peer.MaxDataChunk)
	return &buffer
}}

// responseHeadFrame is the first frame of a response, in one allocation.
type responseHeadFrame struct {
	frame peerpb.CallFrame
	body  peerpb.CallFrame_Answer
	head  peerpb.AnswerHead
	load  peerpb.Load
}

// relay sends the target's response to the caller. A response that is truncated or that belongs
// to another request is a failure.
func (c *callerRequest) relay(response *http.Response) result {
	if err := c.checkResponse(response); err != nil {
		return c.reportFailure("check answer", err)
	}
	head := &c.firstFrame.head
	head.Status = int32(response.StatusCode)
	head.Headers = responseHeader(response.Header)
	head.ContentLength = response.ContentLength
	if bodiless(c.head.Method, response) {
		return c.sendComplete()
	}
	buffer := bodyBuffers.Get().(*[]byte)
	defer bodyBuffers.Put(buffer)
	if length := response.ContentLength; length >= 0 && length <= peer.MaxInlineBody {
		return c.relayInline(response.Body, (*buffer)[:length])
	}
	return c.relayStream(response, *buffer)
}

func (c *callerRequest) checkResponse(response *http.Response) error {
	conventions := &c.exit.conventions
	switch {
	case c.idMismatch(response), c.mayRepeatRefusal(response):
		return errResponseMismatch
	case conventions.Signature != "" && succeeded(response) && response.Header.Get(conventions.Signature) == "":
		return errUnsigned
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errProtocolSwitched
	case !conventions.AllowUnframed && !framed(c.head.Method, response):
		return errUnframed
	}
	return nil
}

// idMismatch reports whether the response carries the id of another request, or may be a surplus one to an
// earlier request on the connection: targets that send the id do so in every response but a refusal.
func (c *callerRequest) idMismatch(response *http.Response) bool {
	id := response.Header.Get(c.exit.conventions.RequestID)
	if id == "" {
		return c.conn.reused && !c.identified(response) && !c.statesRefusal(response)
	}
	return c.head.RequestId != "" && id != c.head.RequestId
}

// mayRepeatRefusal reports whether a response that states that its request was not run may be that to an
// earlier request on the connection, sent once more: it names no request. The request of this exchange
// may run meanwhile.
func (c *callerRequest) mayRepeatRefusal(response *http.Response) bool {
	return c.conn.reused && !c.identified(response) && c.statesRefusal(response)
}

// statesRefusal reports whether the response states that its request was not run.
func (c *callerRequest) statesRefusal(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return c.exit.conventions.NotExecuted != "" && response.Header.Get(c.exit.conventions.NotExecuted) != ""
}

func succeeded(response *http.Response) bool {
	return response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
}

// framed reports whether the end of the body is marked, by a length or by
// chunked encoding.
func framed(method string, response *http.Response) bool {
	return bodiless(method, response) || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

func bodiless(method string, response *http.Response) bool {
	return method == http.MethodHead || response.Body == http.NoBody
}

// relayInline sends a short response in one frame.
func (c *callerRequest) relayInline(body io.Reader, buffer []byte) result {
	if _, err := io.ReadFull(body, buffer); err != nil {
		return c.reportFailure("read answer", err)
	}
	c.firstFrame.head.InlineBody = buffer
	return c.sendComplete()
}

func (c *callerRequest) sendComplete() result {
	c.firstFrame.head.Complete = true
	if err := c.sendHead(); err != nil {
		return result{kind: callerGone}
	}
	return c.respondedResult()
}

func (c *callerRequest) respondedResult() result {
	return result{kind: responded, status: int(c.firstFrame.head.Status)}
}

func (c *callerRequest) sendHead() error {
	c.firstFrame.head.Load = c.load()
	c.firstFrame.body.Answer = &c.firstFrame.head
	c.firstFrame.frame.Body = &c.firstFrame.body
	return c.stream.Send(&c.firstFrame.frame)
}

// relayStream sends a long response in data frames as they arrive from the target.
func (c *callerRequest) relayStream(response *http.Response, buffer []byte) result {
	if err := c.stream.SetDeadline(c.deadline.Add(outcomeSendGrace)); err != nil {
		return result{kind: callerGone}
	}
	if err := c.sendHead(); err != nil {
		return result{kind: callerGone}
	}
	data := &peerpb.CallFrame_Data{}
	frame := &peerpb.CallFrame{Body: data}
	for {
		n, readErr := response.Body.Read(buffer)
		data.Data = buffer[:n]
		if n > 0 && c.stream.Send(frame) != nil {
			return result{kind: callerGone}
		}
		if errors.Is(readErr, io.EOF) {
			if err := fieldname.Check(response.Trailer); err != nil {
				return c.reportFailure("read trailer", err)
			}
			return c.endStream()
		}
		if readErr != nil {
			return c.reportFailure("read answer", readErr)
		}
	}
}

func (c *callerRequest) endStream() result {
	end := &peerpb.CallFrame{Body: &peerpb.CallFrame_End{End: &peerpb.CallEnd{}}}
	if c.stream.Send(end) != nil {
		return result{kind: callerGone}
	}
	return c.respondedResult()
}
