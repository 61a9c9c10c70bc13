// Package connclose closes connections whose other end may still be sending.
package connclose

import (
	"io"
	"net"
	"time"
)

// Limits bound how long a connection stays open after its sending direction was closed.
type Limits struct {
	Timeout time.Duration
	// Bytes is the number of bytes that are read and discarded.
	Bytes int64
}

// closeWriter is implemented by connections that can close their sending direction alone.
type closeWriter interface{ CloseWrite() error }

// Linger closes the sending direction of a connection, discards what arrives until the other end closes
// the connection or a limit is reached, and then closes it. A close with unread bytes would reset the
// connection, and the other end could lose a response that it has not read yet. A concurrent Close of the
// connection ends Linger.
func Linger(conn net.Conn, limits Limits) error {
	half, ok := conn.(closeWriter)
	if !ok || half.CloseWrite() != nil {
		return conn.Close()
	}
	_ = conn.SetReadDeadline(time.Now().Add(limits.Timeout))
	_, _ = io.CopyN(io.Discard, conn, limits.Bytes)
	return conn.Close()
}
