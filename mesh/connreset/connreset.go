// Package connreset tells the reader of a connection that it was reset, also if a write was told first.
package connreset

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pastDeadline is a deadline that aborts a pending write at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection whose Read returns io.EOF only if the other end closed its sending direction in order.
//
// A socket reports a reset, or another failure, to one call only. If that is a write, later reads find the socket
// at its end, as after an orderly close. Their error is that of the write instead. Reads and writes may be
// concurrent; at most one goroutine may read.
type Conn struct {
	net.Conn

	// writing is held during a write, so that a failure that it took from the socket is recorded when a
	// read asks for it.
	writing sync.Mutex
	failure error // of a write, guarded by writing
}

// Wrap returns the connection as a Conn. All of its reads and writes have to use the Conn.
func Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && breaksConnection(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the stream it aborts a write in progress, which could otherwise wait for as long
// as the other end leaves its receive window closed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// writeFailure returns the failure of the connection that a write was told of, or nil.
func (c *Conn) writeFailure() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(pastDeadline)
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.failure
}

// breaksConnection reports whether the error of a write is a failure that the socket will not report to a read. The
// error is EPIPE after an orderly close by the other end: the bytes before it have all arrived, whatever follows.
func breaksConnection(err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE):
		return false
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return false
	}
	return true
}
