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
)

const (
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxResponseHeader = 2 << 20
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 8
)

var (
	errWritesDisabled = errors.New("the request was given up before it was written")
	errHeaderTooLarge = errors.New("the header of the answer exceeds the size limit")
	errInformational  = errors.New("the target sent too many informational answers")
)

// longAgo is a deadline that ends pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// targetConn is a connection to a target with one request in flight. It knows
// whether a byte of the request was written.
type targetConn struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	reused    bool
	idleSince time.Time // when it was put back
	// keep is how long it may then stay idle.
	idleTimeout time.Duration

	writeState atomic.Int32
	// failed is set once the connection, not the body, failed a write.
	writeFailed atomic.Bool
	// left is the number of bytes that may still be read; heard is set once
	// one was.
	readRemaining int64
	receivedAny   bool
	// written receives the result of a write in a goroutine of its own; nil
	// if the request was written in that of the call.
	writeResult chan error
	interrupt   *interrupt
}

// interrupt ends the reads and writes of a connection once a context has ended,
// until it is lifted.
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

// lift reports whether nothing was interrupted, and makes sure that it stays so.
func (i *interrupt) disable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disabled = true
	return i.stop()
}

// The states of a targetConn for one request.
const (
	connUnwritten int32 = iota
	connWritten
	connWritesDisabled
)

func newTargetConn(conn net.Conn) *targetConn {
	c := &targetConn{Conn: conn}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(c)
	return c
}

// arm starts a request, which the end of the context interrupts.
func (c *targetConn) begin(ctx context.Context) {
	c.writeState.Store(connUnwritten)
	c.receivedAny = false
	c.writeResult = nil
	c.watch(ctx)
}

func (c *targetConn) watch(ctx context.Context) {
	i := new(interrupt)
	i.stop = context.AfterFunc(ctx, func() { i.fire(c.Conn) })
	c.interrupt = i
}

// rearm lets another context interrupt the request from here on, in place of that
// of arm, which may have ended.
func (c *targetConn) replaceContext(ctx context.Context) {
	if !c.interrupt.disable() {
		_ = c.SetDeadline(time.Time{})
	}
	c.watch(ctx)
}

// holds reports whether the whole body of the response was read from the network.
func (c *targetConn) bodyBuffered(response *http.Response) bool {
	return response.Body == http.NoBody ||
		response.ContentLength >= 0 && int64(c.reader.Buffered()) >= response.ContentLength
}

// seal reports whether nothing of the request was written, and makes sure
// that it stays so.
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

// send writes the request. A body that streams is written in a goroutine of
// its own, since the target may answer before its end.
func (c *targetConn) send(request *http.Request, streamed bool) error {
	if !streamed {
		return c.write(request)
	}
	writeResult := make(chan error, 1)
	c.writeResult = writeResult
	go func() {
		err := c.write(request)
		if err != nil && !c.writeFailed.Load() {
			c.Close() // a body cut short must not look whole
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

// receive reads the head of the final answer.
func (c *targetConn) receive(request *http.Request) (*http.Response, error) {
	for range maxInformational {
		c.readRemaining = maxResponseHeader
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if isFinal(response.StatusCode) {
			c.readRemaining = math.MaxInt64
			return response, nil
		}
	}
	return nil, errInformational
}

func isFinal(status int) bool {
	return status >= http.StatusOK || status == http.StatusSwitchingProtocols
}

// settled reports whether the request was written whole and nothing
// interrupted it or is left to read.
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

// abandon closes the connection, whose request did not end in order.
func (c *targetConn) abandon() {
	c.interrupt.disable()
	c.Close()
}
