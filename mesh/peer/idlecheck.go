package peer

import (
	"context"
	"errors"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// checkTimeout bounds the check of an idle stream. It is that of a TCP handshake: a daemon that is
// slower to answer a single byte serves no request in time.
const checkTimeout = connectTimeout

// errIdleClosed means that the other end has closed an idle stream.
var errIdleClosed = errors.New("the host closed the idle connection")

func checkFrame() *peerpb.CallFrame {
	return &peerpb.CallFrame{Body: &peerpb.CallFrame_Check{Check: &peerpb.CallCheck{}}}
}

// needsCheck reports whether the stream has been idle for long enough that the other end may have
// lost power or its path meanwhile, which the connection does not show. A request on it would be
// lost, and its outcome unknown.
func (s *Stream) needsCheck(now time.Time) bool {
	return s.answersChecks && now.Sub(s.idleSince) > s.keepaliveInterval
}

// check sends a check on an idle stream and waits for its answer. An error means that no request was
// read or will be read on the stream.
func (s *Stream) check(ctx context.Context) error {
	limit := time.Now().Add(checkTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(limit) {
		limit = deadline
	}
	if err := s.conn.SetDeadline(limit); err != nil {
		return stepError(ErrDial, "check idle stream", s.remote.Host, err)
	}
	frame := checkFrame()
	sent, err := writeFrame(s.conn, frame, maxCallFrame)
	if err == nil {
		s.counts.sent.Add(uint64(sent))
		err = readFrame(s.reader, frame, maxCallFrame)
	}
	switch {
	case err != nil:
		return stepError(ErrDial, "check idle stream", s.remote.Host, err)
	case frame.GetCheck() == nil:
		return stepError(ErrDial, "check idle stream", s.remote.Host, errIdleClosed)
	}
	s.counts.received.Add(uint64(frameSize(frame)))
	s.clearDeadline()
	return nil
}

// answerCheck answers the check of an idle stream, on the accepting side.
func (s *Stream) answerCheck() error {
	sent, err := s.write(checkFrame())
	if err != nil {
		return err
	}
	s.counts.sent.Add(uint64(sent))
	return nil
}
