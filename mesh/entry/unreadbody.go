package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/mesh/connclose"
)

const (
	// lingerTimeout bounds the time for which a connection that was closed before the end of a body still
	// receives; shortLingerTimeout applies instead while the daemon stops and to connections beyond
	// the limit.
	lingerTimeout      = 5 * time.Second
	shortLingerTimeout = 500 * time.Millisecond
	// remainderGrace is the time that the remainder of a short body has to arrive before its
	// connection is closed.
	remainderGrace = 10 * time.Millisecond
)

// trackedBody is the body of a caller's request as net/http reads it from the connection. It records
// how much of the body was read, and whether its end was.
type trackedBody struct {
	io.ReadCloser
	read  atomic.Int64 // bytes
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read.Add(int64(n))
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// bodyGuard is the http.ResponseWriter of a request with a body. A final response that begins before the
// end of the body was read closes the connection, whatever the response is: what arrives of the body
// after it must not be read as a further request.
//
// net/http does that itself only for bodies of its own type and without full duplex.
type bodyGuard struct {
	http.ResponseWriter
	request   *http.Request
	body      trackedBody
	conn      *countedConn // nil without a server
	began     bool
	uploading bool // the body is read concurrently
	closes    bool
}

// newBodyGuard tracks the body of a request. It returns nil if the request has none.
func newBodyGuard(writer http.ResponseWriter, request *http.Request, conn *countedConn) *bodyGuard {
	if request.Body == nil || request.Body == http.NoBody {
		return nil
	}
	guard := &bodyGuard{ResponseWriter: writer, request: request, body: trackedBody{ReadCloser: request.Body}, conn: conn}
	request.Body = &guard.body
	return guard
}

// Unwrap is called by http.ResponseController.
func (g *bodyGuard) Unwrap() http.ResponseWriter { return g.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (g *bodyGuard) WriteHeader(status int) {
	if !g.began && status >= http.StatusOK {
		g.began = true
		g.decide()
	}
	g.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (g *bodyGuard) Write(p []byte) (int, error) {
	if !g.began {
		g.WriteHeader(http.StatusOK)
	}
	return g.ResponseWriter.Write(p)
}

// decide closes the connection after the response if the end of the body was not read.
func (g *bodyGuard) decide() {
	if g.body.ended.Load() {
		return
	}
	g.discardRemainder()
	if !g.body.ended.Load() {
		g.closes = true
		g.Header().Set("Connection", "close")
	}
}

// discardRemainder reads a short body that nothing else reads, so that its connection can be kept. A body
// of which the caller sends no part before the status 100 is left unread.
func (g *bodyGuard) discardRemainder() {
	length := g.request.ContentLength
	if g.uploading || length < 0 || length > maxInlineBody || g.request.Header.Get("Expect") != "" {
		return
	}
	_ = http.NewResponseController(g.ResponseWriter).SetReadDeadline(time.Now().Add(remainderGrace))
	_, _ = io.Copy(io.Discard, &g.body)
}

// finish ends the request. net/http would wait for the remainder of the body before it closes the
// connection.
func (g *bodyGuard) finish() {
	if g == nil || !g.closes {
		return
	}
	g.conn.discardOnClose(g.unread())
	_ = http.NewResponseController(g.ResponseWriter).SetReadDeadline(pastDeadline)
}

// unread returns the number of bytes of the body that may still arrive, -1 if it is unknown.
func (g *bodyGuard) unread() int64 {
	if g.request.ContentLength < 0 {
		return -1
	}
	return g.request.ContentLength - g.body.read.Load()
}

// discardOnClose makes Close of the connection receive that many bytes of a request's body, or, if the
// number is negative, as many as a body may have. The connection may be nil.
func (c *countedConn) discardOnClose(bytes int64) {
	if c == nil {
		return
	}
	if limit := c.entry.settings.MaxBodyBytes; bytes < 0 || bytes > limit {
		bytes = limit
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unreadBody = bytes
}

// lingerLimits returns for how long, and for how many bytes, a connection that is closed now receives.
func (c *countedConn) lingerLimits() connclose.Limits {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.resets {
		return connclose.Limits{}
	}
	limits := connclose.Limits{Timeout: lingerTimeout, Bytes: c.unreadBody}
	if c.overLimit || c.entry.keepAlivesDisabled.Load() {
		limits.Timeout = shortLingerTimeout
	}
	return limits
}
