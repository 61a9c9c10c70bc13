package peer

import "net"

// Layout of the header of a yamux frame: sizes and offsets in bytes, and values of the type.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxTypeData     = 0
	muxTypePing     = 2
	muxLengthOffset = 8
)

// maxCoalescedBytes is the largest body that is copied behind its header; a larger one is written
// from a second buffer without a copy.
const maxCoalescedBytes = 8 << 10

// coalescingConn is the connection below a yamux session. It writes the header of a data frame
// together with the body, so that a frame costs one system call, and counts the bytes of pings. It
// needs no locks, since yamux writes from a single goroutine.
type coalescingConn struct {
	net.Conn
	counts        *byteCounts
	pendingHeader []byte // of a data frame whose body has not been written yet
}

func newCoalescingConn(conn net.Conn, counts *byteCounts) *coalescingConn {
	return &coalescingConn{Conn: conn, counts: counts}
}

// Write writes p, but keeps the header of a data frame until the body is written.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) > 0 {
		return c.writeWithHeader(p)
	}
	if isDataHeader(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	c.countPing(p)
	return c.Conn.Write(p)
}

// countPing counts a ping or the reply to one. Each has its counterpart in the other direction,
// which is counted too.
func (c *coalescingConn) countPing(p []byte) {
	if len(p) != muxHeaderBytes || p[muxTypeOffset] != muxTypePing {
		return
	}
	c.counts.sent.Add(muxHeaderBytes)
	c.counts.received.Add(muxHeaderBytes)
}

// writeWithHeader writes the kept header and the body, and returns the number of bytes written of
// the body.
func (c *coalescingConn) writeWithHeader(body []byte) (int, error) {
	defer func() { c.pendingHeader = c.pendingHeader[:0] }()
	if len(body) > maxCoalescedBytes {
		buffers := net.Buffers{c.pendingHeader, body}
		n, err := buffers.WriteTo(c.Conn)
		return max(int(n)-muxHeaderBytes, 0), err
	}
	c.pendingHeader = append(c.pendingHeader, body...)
	n, err := c.Conn.Write(c.pendingHeader)
	return max(n-muxHeaderBytes, 0), err
}

// isDataHeader reports whether p is the header of a data frame that has a body.
func isDataHeader(p []byte) bool {
	if len(p) != muxHeaderBytes || p[muxTypeOffset] != muxTypeData {
		return false
	}
	length := p[muxLengthOffset:muxHeaderBytes]
	return length[0]|length[1]|length[2]|length[3] != 0
}
