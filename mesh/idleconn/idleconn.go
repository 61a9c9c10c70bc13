// Package idleconn checks idle connections of a pool before their reuse.
package idleconn

import (
	"crypto/tls"
	"net"
	"syscall"
)

// Stale reports whether an idle connection was closed by the other end, or holds bytes that
// no request asked for. A connection whose type gives no access to its socket is never
// stale. Stale does not block.
func Stale(conn net.Conn) bool {
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
	idle := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err != nil || !idle
}
