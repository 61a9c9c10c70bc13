package peer

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// memoryWindow is the number of bytes that one direction of an in-memory
// connection holds before a write blocks.
const memoryWindow = 4 * MaxDataChunk

// memoryConn is one end of a buffered in-memory connection.
type memoryConn struct {
	in, out       *memoryPipe
	read, written alarm
}

// newMemoryPair returns the two ends of a connection.
func newMemoryPair() (net.Conn, net.Conn) {
	forth, back := newMemoryPipe(), newMemoryPipe()
	return &memoryConn{in: back, out: forth}, &memoryConn{in: forth, out: back}
}

func (c *memoryConn) Read(p []byte) (int, error)  { return c.in.read(p, &c.read) }
func (c *memoryConn) Write(p []byte) (int, error) { return c.out.write(p, &c.written) }

// Close ends both directions; what was written before can still be read.
func (c *memoryConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr  { return memoryAddr{} }
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr{} }

func (c *memoryConn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.written.set(t)
	return nil
}

func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return nil
}

func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.written.set(t)
	return nil
}

type memoryAddr struct{}

func (memoryAddr) Network() string { return "memory" }
func (memoryAddr) String() string  { return "local" }

// memoryPipe is one direction of the connection. A token in filled or drained
// wakes the waiting reader or writer.
type memoryPipe struct {
	mu      sync.Mutex
	buffer  bytes.Buffer
	closed  bool
	done    chan struct{}
	filled  chan struct{}
	drained chan struct{}
}

func newMemoryPipe() *memoryPipe {
	return &memoryPipe{
		done:    make(chan struct{}),
		filled:  make(chan struct{}, 1),
		drained: make(chan struct{}, 1),
	}
}

func (p *memoryPipe) read(data []byte, deadline *alarm) (int, error) {
	for {
		n, closed := p.tryRead(data)
		if n > 0 || len(data) == 0 {
			return n, nil
		}
		if closed {
			return 0, io.EOF
		}
		select {
		case <-p.filled:
		case <-p.done:
		case <-deadline.rung():
			return 0, os.ErrDeadlineExceeded
		}
	}
}

func (p *memoryPipe) tryRead(data []byte) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, _ := p.buffer.Read(data)
	if n > 0 {
		wake(p.drained)
	}
	return n, p.closed
}

func (p *memoryPipe) write(data []byte, deadline *alarm) (int, error) {
	total := 0
	for {
		n, closed := p.tryWrite(data[total:])
		total += n
		if closed {
			return total, io.ErrClosedPipe
		}
		if total == len(data) {
			return total, nil
		}
		select {
		case <-p.drained:
		case <-p.done:
		case <-deadline.rung():
			return total, os.ErrDeadlineExceeded
		}
	}
}

func (p *memoryPipe) tryWrite(data []byte) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, true
	}
	n, _ := p.buffer.Write(data[:min(len(data), memoryWindow-p.buffer.Len())])
	if n > 0 {
		wake(p.filled)
	}
	return n, false
}

func (p *memoryPipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
}

func wake(waiter chan struct{}) {
	select {
	case waiter <- struct{}{}:
	default:
	}
}

// alarm rings at a deadline that can be moved.
type alarm struct {
	mu    sync.Mutex
	timer *time.Timer
	ring  chan struct{}
}

func (a *alarm) set(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	stopped := a.timer == nil || a.timer.Stop()
	a.timer = nil
	if a.ring == nil || !stopped {
		a.ring = make(chan struct{})
	}
	if t.IsZero() {
		return
	}
	ring := a.ring
	a.timer = time.AfterFunc(time.Until(t), func() { close(ring) })
}

func (a *alarm) rung() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ring == nil {
		a.ring = make(chan struct{})
	}
	return a.ring
}
