package exit

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/mesh/connreset"
	"sassafrasnotch.example/mesh/fieldname"
)

const (
	// maxResponseHeader bounds the header of a response, and of the informational ones before it,
	// in bytes.
	maxResponseHeader = 256 << 10
	// maxResponses bounds the number of responses read up to and including the final one:
	// informational (1xx) ones and the final one together.
	maxResponses = 8
)

var (
	errWritesDisabled = errors.New("the request was abandoned before it was written")
	errHeaderTooLarge = errors.New("the header of the response exceeds the size limit")
	errInformational  = errors.New("the target sent too many informational responses")
	errInvalidStatus  = errors.New("the status of the response is outside 100 to 599")
	errHeadWithBody   = errors.New("the target sent an informational response with a body")
)

// pastDeadline is a deadline that aborts pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// targetConn is a connection to a target with one request in flight. It tracks
// whether a byte of the request was written.
type targetConn struct {
	*connreset.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	reused    bool
	begunAt   time.Time // the request in flight
	idleSince time.Time // when it was returned to the pool
	// idleTimeout is how long it may stay idle from then on.
	idleTimeout time.Duration

	writeState atomic.Int32
	// writeFailed is set once a write failed on the connection, as opposed to a read of the body.
	writeFailed atomic.Bool
	// readRemaining is the number of bytes that may still be read; receivedAny is set once a
	// byte of a response was received.
	readRemaining int64
	receivedAny   bool
	// writeResult receives the result of a write in a separate goroutine; it is nil
	// if the request was written in the goroutine of dispatch.
	writeResult chan error
	interrupt   *interrupt
}

// interrupt aborts the reads and writes of a connection once a context has ended, unless it is
// disabled before.
type interrupt struct {
	mu       sync.Mutex
	disabled bool
	stop     func() bool
}

func (i *interrupt) fire(conn net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.disabled {
		_ = conn.SetDeadline(pastDeadline)
	}
}

// disable prevents a later interruption and reports whether the context had not ended before.
func (i *interrupt) disable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disabled = true
	return i.stop()
}

// The states of writing one request on a targetConn: no byte written, at least one byte possibly
// written, and writing disabled before the first byte.
const (
	connUnwritten int32 = iota
	connWritten
	connWritesDisabled
)

func newTargetConn(conn net.Conn) *targetConn {
	c := &targetConn{Conn: connreset.Wrap(conn)}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(c)
	return c
}

// begin starts a request, which is interrupted when the context ends.
func (c *targetConn) begin(ctx context.Context) {
	c.writeState.Store(connUnwritten)
	c.receivedAny = false
	c.begunAt = time.Now()
	c.writeResult = nil
	c.watch(ctx)
}

func (c *targetConn) watch(ctx context.Context) {
	i := new(interrupt)
	i.stop = context.AfterFunc(ctx, func() { i.fire(c.Conn) })
	c.interrupt = i
}

// replaceContext makes another context interrupt the request from now on, in place of that of
// begin, which may have ended.
func (c *targetConn) replaceContext(ctx context.Context) {
	if !c.interrupt.disable() {
		_ = c.SetDeadline(time.Time{})
	}
	c.watch(ctx)
}

// bodyBuffered reports whether the whole body of the response was already received.
func (c *targetConn) bodyBuffered(response *http.Response) bool {
	return response.Body == http.NoBody ||
		response.ContentLength >= 0 && int64(c.reader.Buffered()) >= response.ContentLength
}

// disableWrites reports whether no byte of the request was written, and in that case prevents
// later writes.
func (c *targetConn) disableWrites() bool {
	return c.writeState.CompareAndSwap(connUnwritten, connWritesDisabled) || c.writeState.Load() == connWritesDisabled
}

func (c *targetConn) Write(p []byte) (int, error) {
	first := c.writeState.CompareAndSwap(connUnwritten, connWritten)
	if !first && c.writeState.Load() == connWritesDisabled {
		return 0, errWritesDisabled
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	if err != nil && n == 0 && first {
		c.writeState.Store(connWritesDisabled)
	}
	return n, err
}

func (c *targetConn) Read(p []byte) (int, error) {
	if c.readRemaining <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.readRemaining)])
	c.readRemaining -= int64(n)
	c.receivedAny = c.receivedAny || n > 0
	return n, err
}

// send writes the request. A streamed body is written in a separate goroutine, since the target
// may respond before the end of the body.
func (c *targetConn) send(request *http.Request, streamed bool) error {
	if !streamed {
		return c.write(request)
	}
	writeResult := make(chan error, 1)
	c.writeResult = writeResult
	go func() {
		err := c.write(request)
		if err != nil && !c.writeFailed.Load() {
			c.Close() // a truncated body must not appear complete to the target
		}
		writeResult <- err
	}()
	return nil
}

func (c *targetConn) write(request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// receive reads the header of the final response and discards the informational ones before it.
func (c *targetConn) receive(request *http.Request) (*http.Response, error) {
	c.readRemaining = maxResponseHeader
	for range maxResponses {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if err := checkHead(response); err != nil {
			return nil, err
		}
		if isFinal(response.StatusCode) {
			c.readRemaining = math.MaxInt64
			return response, nil
		}
	}
	return nil, errInformational
}

// The statuses of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// checkHead returns an error for a response that is none in HTTP. What follows on its connection can't be
// told apart from its body, so that the connection is of no further use.
func checkHead(response *http.Response) error {
	if err := fieldname.Check(response.Header); err != nil {
		return err
	}
	switch {
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return errInvalidStatus
	case !isFinal(response.StatusCode) && statesBody(response):
		return errHeadWithBody
	}
	return nil
}

// statesBody reports whether the header of an informational response, which net/http reads without a body,
// states one.
func statesBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")
	return length != "" && length != "0" || len(response.TransferEncoding) > 0 || response.Header.Get("Transfer-Encoding") != ""
}

func isFinal(status int) bool {
	return status >= http.StatusOK || status == http.StatusSwitchingProtocols
}

// reusable reports whether the connection can be reused: the request was written completely,
// nothing interrupted it, and no bytes remain to be read.
func (c *targetConn) reusable() bool {
	return c.interrupt.disable() && c.writeCompleted() && !c.writeFailed.Load() && c.reader.Buffered() == 0
}

func (c *targetConn) writeCompleted() bool {
	if c.writeResult == nil {
		return true
	}
	select {
	case err := <-c.writeResult:
		return err == nil
	default:
		return false
	}
}

// abandon closes the connection after an incomplete exchange.
func (c *targetConn) abandon() {
	c.interrupt.disable()
	c.Close()
}
