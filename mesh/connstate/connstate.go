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
func ClosedByPeer(conn net.Conn) bool {
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
	closed := false
	err = control.Control(func(fd uintptr) { closed = peerClosed(int(fd)) })
	return err != nil || closed
}
