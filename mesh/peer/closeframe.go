package peer

import (
	"io"
	"net"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

const (
	// acceptedIdleTimeout is the time without a request after which the accepting side closes a
	// request connection.
	acceptedIdleTimeout = 90 * time.Second
	// closeFrameTimeout bounds sending a close frame and the wait for the other end to close.
	closeFrameTimeout = 250 * time.Millisecond
)

// closeFrame returns the last frame of a request connection that is closed gracefully. It belongs
// to no attempt and states that no further request is read from the connection.
func closeFrame() *peerpb.CallFrame {
	return &peerpb.CallFrame{Body: &peerpb.CallFrame_Refusal{Refusal: &peerpb.Refusal{
		Reason: peerpb.RefusalReason_REFUSAL_REASON_LEAVING,
		Detail: "the host closed the connection before it read the request",
	}}}
}

// isCloseFrame reports whether the frame, received on the dialing side before any frame of the
// response, closes the connection.
func (s *Stream) isCloseFrame(frame *peerpb.CallFrame) bool {
	return s.dialed && !s.responseStarted.Load() && frame.Attempt == 0 && frame.GetRefusal() != nil
}

// setRefusal sets the frame to the refusal of a request that the other end has not read, and marks
// the request as unread.
func (s *Stream) setRefusal(frame *peerpb.CallFrame) {
	frame.Attempt = s.attempt
	frame.Body = closeFrame().Body
	s.requestUnread.Store(true)
	s.responseStarted.Store(true)
}

// closeWriter is a connection whose sending direction can be closed alone, such as a TCP
// connection.
type closeWriter interface{ CloseWrite() error }

// sendCloseFrame sends a close frame on a connection on which no request is in flight and closes
// its sending direction. Its deadline also bounds the wait for the other end to close.
func sendCloseFrame(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(closeFrameTimeout))
	if _, err := writeFrame(conn, closeFrame(), maxCallFrame); err != nil {
		return
	}
	if writer, ok := conn.(closeWriter); ok {
		writer.CloseWrite()
	}
}

// discardInput reads what the other end still sends, so that closing the connection does not reset
// it before the close frame is read.
func discardInput(conn net.Conn) { io.Copy(io.Discard, conn) }
