package peer

import (
	"io"
	"net"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

const (
	// idleServerTime is the time after which the accepting side closes a call
	// connection without a call.
	acceptedIdleTimeout = 90 * time.Second
	// goodbyeTime bounds the wait for the other end to close after a goodbye.
	closeFrameTimeout = 250 * time.Millisecond
)

// goodbyeFrame is the last frame of a call connection that is closed in order.
// It belongs to no attempt and states that no further request is read.
func closeFrame() *peerpb.CallFrame {
	return &peerpb.CallFrame{Body: &peerpb.CallFrame_Refusal{Refusal: &peerpb.Refusal{
		Reason: peerpb.RefusalReason_REFUSAL_REASON_LEAVING,
		Detail: "the host closed the connection before it read the request",
	}}}
}

func (s *Stream) isCloseFrame(frame *peerpb.CallFrame) bool {
	return s.dialed && !s.responseStarted.Load() && frame.Attempt == 0 && frame.GetRefusal() != nil
}

// refuse fills in the refusal of a request that was not read.
func (s *Stream) setRefusal(frame *peerpb.CallFrame) {
	frame.Attempt = s.attempt
	frame.Body = closeFrame().Body
	s.requestUnread.Store(true)
	s.responseStarted.Store(true)
}

// closeWriter is the half of a TCP connection that ends sending.
type closeWriter interface{ CloseWrite() error }

// sayGoodbye closes the sending half of a connection on which no call is in
// flight and bounds the wait for the other end to close.
func sendCloseFrame(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(closeFrameTimeout))
	if _, err := writeFrame(conn, closeFrame(), maxCallFrame); err != nil {
		return
	}
	if writer, ok := conn.(closeWriter); ok {
		writer.CloseWrite()
	}
}

// drain reads what the other end still sends, so that closing the connection
// does not reset it before the goodbye is read.
func discardInput(conn net.Conn) { io.Copy(io.Discard, conn) }
