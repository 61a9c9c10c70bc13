package peer

import (
	"errors"
	"net"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// silentIntervals is the number of keepalive intervals after which an end that
// owes a frame and sent none is taken for unreachable.
const maxSilentIntervals = 2

// longAgo is a deadline that ends pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// SetDeadline bounds sending and receiving; the zero time removes the bound.
func (s *Stream) SetDeadline(t time.Time) error {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	s.deadline = t
	return s.conn.SetDeadline(t)
}

// clearDeadline removes every bound from a stream that goes idle.
func (s *Stream) clearDeadline() { s.SetDeadline(time.Time{}) }

// awaitCall bounds the wait for the next call on the accepting side.
func (s *Stream) setIdleReadDeadline() {
	s.clearDeadline()
	if s.keepaliveInterval > 0 {
		s.conn.SetReadDeadline(time.Now().Add(acceptedIdleTimeout))
	}
}

// expectFrame bounds the next read by the deadline and by the silence that
// an end with frames left to send does not exceed.
func (s *Stream) setFrameDeadline() {
	if s.keepaliveInterval == 0 {
		return
	}
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	limit := time.Now().Add(maxSilentIntervals * s.keepaliveInterval)
	if !s.deadline.IsZero() && s.deadline.Before(limit) {
		limit = s.deadline
	}
	s.conn.SetReadDeadline(limit)
}

// expectNothing lets the next read wait as long as the deadline allows.
func (s *Stream) resetReadDeadline() {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	s.conn.SetReadDeadline(s.deadline)
}

// noteSilence closes the idle streams to the host if the read ended for
// silence: what lost track of this connection may have lost them too.
func (s *Stream) closeIdleOnTimeout(err error) {
	var timeout net.Error
	if s.pool == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		return
	}
	s.deadlineMu.Lock()
	deadlinePassed := !s.deadline.IsZero() && !time.Now().Before(s.deadline)
	s.deadlineMu.Unlock()
	if !deadlinePassed {
		s.pool.closeIdle()
	}
}

// beginPart starts to send keepalive frames while the last own frame of the
// call is outstanding.
func (s *Stream) startKeepalive() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.startKeepaliveLocked()
}

func (s *Stream) startKeepaliveLocked() {
	s.sendPending = true
	if s.keepaliveInterval == 0 {
		return
	}
	if s.keepaliveTimer == nil {
		s.keepaliveTimer = time.AfterFunc(s.keepaliveInterval, s.sendKeepalive)
		return
	}
	s.keepaliveTimer.Reset(s.keepaliveInterval)
}

func (s *Stream) stopKeepalive() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.stopKeepaliveLocked()
}

func (s *Stream) stopKeepaliveLocked() {
	s.sendPending = false
	if s.keepaliveTimer != nil {
		s.keepaliveTimer.Stop()
	}
}

// noteSent starts or ends the own part of the call by the frame sent.
func (s *Stream) updateKeepalive(frame *peerpb.CallFrame) {
	switch body := frame.Body.(type) {
	case *peerpb.CallFrame_Head:
		if !body.Head.Complete {
			s.startKeepaliveLocked()
		}
	case *peerpb.CallFrame_Answer:
		if body.Answer.Complete {
			s.stopKeepaliveLocked()
		}
	case *peerpb.CallFrame_End, *peerpb.CallFrame_Refusal, *peerpb.CallFrame_Failure:
		s.stopKeepaliveLocked()
	}
}

// sendAlive sends a frame without a body.
func (s *Stream) sendKeepalive() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if !s.sendPending {
		return
	}
	n, err := s.write(&peerpb.CallFrame{Attempt: s.attempt})
	if err != nil {
		return
	}
	s.counts.sent.Add(uint64(n))
	s.keepaliveTimer.Reset(s.keepaliveInterval)
}
