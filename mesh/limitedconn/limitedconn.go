// Package limitedconn opens connections within a budget of descriptors.
package limitedconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"

	"sassafrasnotch.example/coord/descriptors"
)

// ErrNoDescriptor means that the budget grants the part of the process no further descriptor.
var ErrNoDescriptor = errors.New("no descriptor is left in the budget")

// shortages are the errors of a process or host that is short of descriptors, memory or local ports.
var shortages = []error{ErrNoDescriptor, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// IsShortage reports whether an error of a dial or an accept arose on this host, so that it says nothing
// about the other end.
func IsShortage(err error) bool {
	for _, shortage := range shortages {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// Limit is the part of a process that opens connections, with the budget for them.
type Limit struct {
	Budget *descriptors.Budget
	Part   descriptors.Part
	// MakeRoom closes a connection of the part that it can spare, and reports whether there was one. It
	// may be nil.
	MakeRoom func() bool
}

// Acquire counts one more descriptor, for which it makes room if it must and can.
func (l *Limit) Acquire() bool {
	if l.Budget.Acquire(l.Part) {
		return true
	}
	return l.MakeRoom != nil && l.MakeRoom() && l.Budget.Acquire(l.Part)
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a connection, whose descriptor counts until it is closed. The error wraps ErrNoDescriptor if
// the budget grants none.
func (l *Limit) Dial(ctx context.Context, dial DialFunc, network, address string) (net.Conn, error) {
	if !l.Acquire() {
		return nil, fmt.Errorf("dial %s for %v: %w", address, l.Part, ErrNoDescriptor)
	}
	conn, err := dial(ctx, network, address)
	if err != nil {
		l.Budget.Release(l.Part)
		return nil, err
	}
	return l.Wrap(conn), nil
}

// Dialer returns a function that opens connections with the given one as Dial does.
func (l *Limit) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return l.Dial(ctx, dial, network, address)
	}
}

// Wrap returns the connection, whose descriptor has been acquired, such that its close releases it.
func (l *Limit) Wrap(c net.Conn) net.Conn {
	release := sync.OnceFunc(func() { l.Budget.Release(l.Part) })
	if tcp, ok := c.(*net.TCPConn); ok {
		return &tcpConn{tcp, release}
	}
	return &conn{c, release}
}

// tcpConn keeps the methods of a TCP connection beyond net.Conn.
type tcpConn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *tcpConn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}

type conn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
