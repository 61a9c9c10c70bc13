package peer

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// maxPipeBytes is the number of bytes that one direction of an in-memory connection holds before a
// write blocks.
const maxPipeBytes = 4 * MaxDataChunk

// memoryConn is one end of a buffered in-memory connection. It implements net.Conn.
type memoryConn struct {
	in, out                     *memoryPipe
	readDeadline, writeDeadline deadlineTimer
}

// newMemoryConns returns the two ends of an in-memory connection.
func newMemoryConns() (net.Conn, net.Conn) {
	forward, backward := newMemoryPipe(), newMemoryPipe()
	return &memoryConn{in: backward, out: forward}, &memoryConn{in: forward, out: backward}
}

func (c *memoryConn) Read(p []byte) (int, error)  { return c.in.read(p, &c.readDeadline) }
func (c *memoryConn) Write(p []byte) (int, error) { return c.out.write(p, &c.writeDeadline) }

// Close closes both directions; bytes written before can still be read.
func (c *memoryConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

// closedByPeer reports whether either end has closed the connection.
func (c *memoryConn) closedByPeer() bool {
	select {
	case <-c.in.done:
		return true
	default:
		return false
	}
}

func (c *memoryConn) LocalAddr() net.Addr  { return memoryAddr{} }
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr{} }

func (c *memoryConn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// memoryAddr is the address of both ends.
type memoryAddr struct{}

func (memoryAddr) Network() string { return "memory" }
func (memoryAddr) String() string  { return "local" }

// memoryPipe is one direction of an in-memory connection. A token in readable or writable wakes the
// waiting reader or writer.
type memoryPipe struct {
	mu       sync.Mutex
	buffer   bytes.Buffer
	closed   bool
	done     chan struct{} // closed with the pipe
	readable chan struct{}
	writable chan struct{}
}

func newMemoryPipe() *memoryPipe {
	return &memoryPipe{
		done:     make(chan struct{}),
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
	}
}

func (p *memoryPipe) read(data []byte, deadline *deadlineTimer) (int, error) {
	for {
		n, closed := p.tryRead(data)
		if n > 0 || len(data) == 0 {
			return n, nil
		}
		if closed {
			return 0, io.EOF
		}
		select {
		case <-p.readable:
		case <-p.done:
		case <-deadline.done():
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// tryRead reads without blocking and reports whether the pipe is closed.
func (p *memoryPipe) tryRead(data []byte) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, _ := p.buffer.Read(data)
	if n > 0 {
		notify(p.writable)
	}
	return n, p.closed
}

func (p *memoryPipe) write(data []byte, deadline *deadlineTimer) (int, error) {
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
		case <-p.writable:
		case <-p.done:
		case <-deadline.done():
			return total, os.ErrDeadlineExceeded
		}
	}
}

// tryWrite writes what fits without blocking and reports whether the pipe is closed.
func (p *memoryPipe) tryWrite(data []byte) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, true
	}
	n, _ := p.buffer.Write(data[:min(len(data), maxPipeBytes-p.buffer.Len())])
	if n > 0 {
		notify(p.readable)
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

// notify wakes the goroutine that waits on the channel, or the next one that will.
func notify(waiting chan struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// deadlineTimer closes a channel at a deadline that can be changed. The zero value has no deadline.
type deadlineTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{} // returned by done
}

// set sets the deadline; the zero time removes it.
func (d *deadlineTimer) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stopped := d.timer == nil || d.timer.Stop()
	d.timer = nil
	if d.expired == nil || !stopped {
		d.expired = make(chan struct{})
	}
	if t.IsZero() {
		return
	}
	expired := d.expired
	d.timer = time.AfterFunc(time.Until(t), func() { close(expired) })
}

// done returns a channel that is closed at the deadline.
func (d *deadlineTimer) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired == nil {
		d.expired = make(chan struct{})
	}
	return d.expired
}
