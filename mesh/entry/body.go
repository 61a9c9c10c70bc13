package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

const (
	// maxInlineBody is the length, in bytes, of the longest body that is sent in the first frame
	// and can be sent again. Of a longer one, the remainder is streamed.
	maxInlineBody = 16 << 10
	// chunkBytes is the length of the data frames of a streamed body.
	chunkBytes = 32 << 10
	// uploadGrace is the time that an upload has to end by itself after its request has
	// ended, and again after its stream was interrupted.
	uploadGrace = 10 * time.Millisecond
)

var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// readInlineBody reads the start of the body, and all of it if it is short.
func (c *callerRequest) readInlineBody() *failure {
	if c.httpRequest.Body == nil || c.httpRequest.Body == http.NoBody || c.httpRequest.ContentLength == 0 {
		c.bodyComplete = true
		return nil
	}
	c.limitBody()
	size := int64(maxInlineBody)
	if c.httpRequest.ContentLength > 0 {
		size = min(size, c.httpRequest.ContentLength)
	}
	inline := make([]byte, size)
	c.conn.awaitCaller(true)
	n, err := io.ReadFull(c.httpRequest.Body, inline)
	c.conn.awaitCaller(false)
	c.inlineBody = inline[:n]
	switch {
	case err == io.EOF || err == io.ErrUnexpectedEOF && c.httpRequest.ContentLength < 0:
		c.bodyComplete = true
	case err != nil:
		return c.bodyFailure(err)
	case int64(n) == c.httpRequest.ContentLength:
		c.bodyComplete = true
	}
	return nil
}

// limitBody bounds the body by its size and by the request's deadline. net/http clears the
// read deadline at the end of the body.
func (c *callerRequest) limitBody() {
	c.httpRequest.Body = http.MaxBytesReader(c.writer, c.httpRequest.Body, c.maxBody())
	c.control = http.NewResponseController(c.writer)
	_ = c.control.SetReadDeadline(c.deadline)
}

// bodyFailure returns the refusal of a request whose body cannot be read.
func (c *callerRequest) bodyFailure(err error) *failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refused(ReasonBodyTooLarge, stepBody, "the body exceeds maxBodyBytes")
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return refused(ReasonExpired, stepBody, "the body did not arrive before the deadline")
	}
	return refused(ReasonBodyCut, stepBody, err.Error())
}

// upload streams the remainder of a body after its inline part.
type upload struct {
	done chan struct{}
	// readFailed is set, before the stream is interrupted, once readErr is valid.
	readFailed atomic.Bool
	// readErr is the error of reading the caller's body. readErr and sendErr are valid after
	// done is closed.
	readErr error
	sendErr error
}

// startUpload sends the remainder of the body concurrently with the wait for the response.
// It returns nil if the inline part is the whole body.
func (c *callerRequest) startUpload(stream Stream, attempt uint64) *upload {
	if c.bodyComplete {
		return nil
	}
	c.uploading, c.guard.uploading = true, true
	c.conn.watchBody()
	_ = c.control.EnableFullDuplex()
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.run(c.httpRequest.Body, stream, attempt)
	}()
	return u
}

func (u *upload) run(body io.Reader, stream Stream, attempt uint64) {
	chunk := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(chunk)
	for {
		n, err := body.Read(chunk[:])
		if err != nil && err != io.EOF {
			// A failed read cancels the request, so that Send may fail because of it.
			u.readErr = err
			u.readFailed.Store(true)
		}
		if n > 0 {
			data := &peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_Data{Data: chunk[:n]}}
			if u.sendErr = stream.Send(data); u.sendErr != nil {
				return
			}
		}
		if err == io.EOF {
			end := &peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_End{End: &peerpb.CallEnd{}}}
			u.sendErr = stream.Send(end)
			return
		}
		if err != nil {
			interrupt(stream)
			return
		}
	}
}

// stop ends an upload whose remainder is no longer needed and reports whether the body was
// sent whole. It sets the read deadline last: once the body was read to its end, net/http
// watches the connection with a read of its own, and a deadline would end that read and
// with it the later requests on the connection.
func (u *upload) stop(c *callerRequest, stream Stream) bool {
	if u == nil {
		return true
	}
	if !u.endedWithin(uploadGrace) {
		interrupt(stream)
	}
	if !u.endedWithin(uploadGrace) {
		_ = c.control.SetReadDeadline(pastDeadline)
		<-u.done
	}
	return u.readErr == nil && u.sendErr == nil
}

// endedWithin reports whether the upload ended within the time.
func (u *upload) endedWithin(wait time.Duration) bool {
	select {
	case <-u.done:
		return true
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-u.done:
		return true
	case <-timer.C:
		return false
	}
}

// pastDeadline is a deadline that ends pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

func interrupt(stream Stream) { _ = stream.SetDeadline(pastDeadline) }
