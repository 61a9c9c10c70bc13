package exit

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/steperr"
)

const stepReadBody = "read request body"

var errUnexpectedFrame = errors.New("expected a data or end frame of the request body")

// requestBody reads the body of a request from the frames of its stream. It implements
// io.ReadCloser.
type requestBody struct {
	request  *callerRequest
	buffered []byte
	err      error
	// complete is set once the last frame of the request was read.
	complete atomic.Bool
}

// fullyRead reports whether all frames of the request were read.
func (b *requestBody) fullyRead() bool { return b.complete.Load() }

// Read returns io.EOF only after the frame that ends the body.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.buffered) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.err = b.readFrame()
	}
	n := copy(p, b.buffered)
	b.buffered = b.buffered[n:]
	return n, nil
}

// Close does nothing: the stream outlives the body.
func (b *requestBody) Close() error { return nil }

func (b *requestBody) readFrame() error {
	var frame peerpb.CallFrame
	if err := b.request.stream.Receive(&frame); err != nil {
		b.request.abort()
		return steperr.Wrap(err, stepReadBody, b.request.stream.Peer().Host)
	}
	switch body := frame.Body.(type) {
	case *peerpb.CallFrame_Data:
		b.buffered = body.Data
		return nil
	case *peerpb.CallFrame_End:
		b.request.stream.WatchClose(b.request.abort)
		b.complete.Store(true)
		return io.EOF
	}
	b.request.abort()
	return steperr.Wrap(errUnexpectedFrame, stepReadBody, b.request.stream.Peer().Host)
}

// httpBody returns the body to send and its length in bytes, -1 if the length is unknown.
func (c *callerRequest) httpBody() (io.ReadCloser, int64) {
	if !c.head.Complete {
		return &c.body, c.head.ContentLength
	}
	if length := len(c.head.InlineBody); length > 0 {
		return io.NopCloser(bytes.NewReader(c.head.InlineBody)), int64(length)
	}
	return http.NoBody, 0
}
