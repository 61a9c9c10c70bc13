package peer

import "net"

// Layout of a yamux frame header.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxTypeData     = 0
	muxTypePing     = 2
	muxLengthOffset = 8
)

// maxJoinedBytes is the largest body that is copied behind its header rather
// than written from two buffers.
const maxCoalescedBytes = 8 << 10

// frameConn joins a yamux header with the body that follows it, so that a
// frame costs one system call, and counts the bytes of probes. yamux writes
// from a single goroutine.
type coalescingConn struct {
	net.Conn
	counts        *byteCounts
	pendingHeader []byte
}

func newCoalescingConn(conn net.Conn, counts *byteCounts) *coalescingConn {
	return &coalescingConn{Conn: conn, counts: counts}
}

// Write holds a data header back until its body comes.
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

// countProbe counts a probe or the answer to one, each of which has its
// counterpart in the other direction.
func (c *coalescingConn) countPing(p []byte) {
	if len(p) != muxHeaderBytes || p[muxTypeOffset] != muxTypePing {
		return
	}
	c.counts.sent.Add(muxHeaderBytes)
	c.counts.received.Add(muxHeaderBytes)
}

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

func isDataHeader(p []byte) bool {
	if len(p) != muxHeaderBytes || p[muxTypeOffset] != muxTypeData {
		return false
	}
	length := p[muxLengthOffset:muxHeaderBytes]
	return length[0]|length[1]|length[2]|length[3] != 0
}
