// Package connstate tells the state of a connection's other end without reading from it.
package connstate

import (
	"crypto/tls"
	"net"
	"syscall"
)

// ClosedByPeer reports whether the other end has closed the connection, or its sending direction, also
// behind bytes that were not read yet. A connection whose type gives no access to its socket is never
// reported as closed. ClosedByPeer does not block.
func ClosedByPeer(conn net.Conn) bool { return check(conn, peerClosed) }

// Readable reports whether bytes, or the close of the other end, wait to be read. Unlike a read it may be
// called while another goroutine reads. It reports false where the type of the connection gives no access
// to its socket.
func Readable(conn net.Conn) bool { return check(conn, readable) }

// check reports whether the state holds for the connection's socket, also if the connection is closed here.
func check(conn net.Conn, state func(fd int) bool) bool {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	holds := false
	err = control.Control(func(fd uintptr) { holds = state(int(fd)) })
	return err != nil || holds
}
