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
	maxAnswerHeader = 2 << 20
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 8
)

var (
	errSealed        = errors.New("the request was given up before it was written")
	errLongHeader    = errors.New("the header of the answer exceeds the size limit")
	errInformational = errors.New("the target sent too many informational answers")
)

// longAgo is a deadline that ends pending reads and writes at once.
var longAgo = time.Unix(1, 0)

// targetConn is a connection to a target with one request in flight. It knows
// whether a byte of the request was written.
type targetConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	reused bool
	idle   time.Time // when it was put back
	// keep is how long it may then stay idle.
	keep time.Duration

	state atomic.Int32
	// failed is set once the connection, not the body, failed a write.
	failed atomic.Bool
	// left is the number of bytes that may still be read; heard is set once
	// one was.
	left  int64
	heard bool
	// written receives the result of a write in a goroutine of its own; nil
	// if the request was written in that of the call.
	written   chan error
	interrupt *interrupt
}

// interrupt ends the reads and writes of a connection once a context has ended,
// until it is lifted.
type interrupt struct {
	mu     sync.Mutex
	lifted bool
	stop   func() bool
}

func (i *interrupt) fire(conn net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.lifted {
		_ = conn.SetDeadline(longAgo)
	}
}

// lift reports whether nothing was interrupted, and makes sure that it stays so.
func (i *interrupt) lift() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lifted = true
	return i.stop()
}

// The states of a targetConn for one request.
const (
	connUnwritten int32 = iota
	connWritten
	connSealed
)

func newTargetConn(conn net.Conn) *targetConn {
	c := &targetConn{Conn: conn}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(c)
	return c
}

// arm starts a request, which the end of the context interrupts.
func (c *targetConn) arm(ctx context.Context) {
	c.state.Store(connUnwritten)
	c.heard = false
	c.written = nil
	c.watch(ctx)
}

func (c *targetConn) watch(ctx context.Context) {
	i := new(interrupt)
	i.stop = context.AfterFunc(ctx, func() { i.fire(c.Conn) })
	c.interrupt = i
}

// rearm lets another context interrupt the request from here on, in place of that
// of arm, which may have ended.
func (c *targetConn) rearm(ctx context.Context) {
	if !c.interrupt.lift() {
		_ = c.SetDeadline(time.Time{})
	}
	c.watch(ctx)
}

// holds reports whether the whole body of the response was read from the network.
func (c *targetConn) holds(response *http.Response) bool {
	return response.Body == http.NoBody ||
		response.ContentLength >= 0 && int64(c.reader.Buffered()) >= response.ContentLength
}

// seal reports whether nothing of the request was written, and makes sure
// that it stays so.
func (c *targetConn) seal() bool {
	return c.state.CompareAndSwap(connUnwritten, connSealed) || c.state.Load() == connSealed
}

func (c *targetConn) Write(p []byte) (int, error) {
	first := c.state.CompareAndSwap(connUnwritten, connWritten)
	if !first && c.state.Load() == connSealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	if err != nil && n == 0 && first {
		c.state.Store(connSealed)
	}
	return n, err
}

func (c *targetConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errLongHeader
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	c.heard = c.heard || n > 0
	return n, err
}

// send writes the request. A body that streams is written in a goroutine of
// its own, since the target may answer before its end.
func (c *targetConn) send(request *http.Request, streams bool) error {
	if !streams {
		return c.write(request)
	}
	written := make(chan error, 1)
	c.written = written
	go func() {
		err := c.write(request)
		if err != nil && !c.failed.Load() {
			c.Close() // a body cut short must not look whole
		}
		written <- err
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
		c.left = maxAnswerHeader
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if final(response.StatusCode) {
			c.left = math.MaxInt64
			return response, nil
		}
	}
	return nil, errInformational
}

func final(status int) bool {
	return status >= http.StatusOK || status == http.StatusSwitchingProtocols
}

// settled reports whether the request was written whole and nothing
// interrupted it or is left to read.
func (c *targetConn) settled() bool {
	return c.interrupt.lift() && c.wroteAll() && !c.failed.Load() && c.reader.Buffered() == 0
}

func (c *targetConn) wroteAll() bool {
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		return err == nil
	default:
		return false
	}
}

// abandon closes the connection, whose request did not end in order.
func (c *targetConn) abandon() {
	c.interrupt.lift()
	c.Close()
}
