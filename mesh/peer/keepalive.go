package peer

import (
	"errors"
	"net"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// maxSilentIntervals is the number of keepalive intervals without a frame after which the other end
// counts as unreachable, if it has frames left to send.
const maxSilentIntervals = 2

// pastDeadline is a deadline that ends pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// SetDeadline sets the time after which Send and Receive fail; the zero time removes the deadline.
func (s *Stream) SetDeadline(t time.Time) error {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	s.deadline = t
	return s.conn.SetDeadline(t)
}

// clearDeadline removes the deadlines of a stream that becomes idle.
func (s *Stream) clearDeadline() { s.SetDeadline(time.Time{}) }

// setIdleReadDeadline bounds the wait of the accepting side for the next request by
// acceptedIdleTimeout. A local stream, which sends no keepalives, may stay idle.
func (s *Stream) setIdleReadDeadline() {
	s.clearDeadline()
	if s.keepaliveInterval > 0 {
		s.conn.SetReadDeadline(time.Now().Add(acceptedIdleTimeout))
	}
}

// setFrameDeadline bounds the next read by the deadline of the stream and by maxSilentIntervals,
// within which an end that has frames left to send sends at least a keepalive frame. It returns the
// bound.
func (s *Stream) setFrameDeadline() time.Time {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	limit := time.Now().Add(maxSilentIntervals * s.keepaliveInterval)
	if !s.deadline.IsZero() && s.deadline.Before(limit) {
		limit = s.deadline
	}
	s.conn.SetReadDeadline(limit)
	return limit
}

// KeepThroughSilence makes the exchange last to the deadline of the stream though the other end
// falls silent, unless only the connection does: the other end may be paused, and a request that
// must not be repeated gains nothing if it is given up earlier. The function is called in Receive at
// the first silence. It applies to the request sent last, on the dialing side, and needs a deadline.
func (s *Stream) KeepThroughSilence(onSilence func()) { s.onSilence = onSilence }

// awaitFrame waits until the first byte of a frame arrives, for as long as setFrameDeadline allows.
// When this process was itself paused, what the other end sent meanwhile may still have to be
// read, so that the time begins anew.
func (s *Stream) awaitFrame() error {
	if s.keepaliveInterval == 0 {
		return nil
	}
	for {
		limit := s.setFrameDeadline()
		_, err := s.reader.Peek(1)
		switch {
		case err == nil:
			s.setFrameDeadline()
			return nil
		case !s.silent(err):
			return err
		case time.Since(limit) > s.keepaliveInterval:
			continue
		}
		s.pool.closeIdle()
		if s.onSilence == nil {
			return err
		}
		s.onSilence()
		if err := s.waitThroughSilence(); err != nil {
			return err
		}
	}
}

// waitThroughSilence waits for the first byte of a frame until the deadline of the stream. It ends
// the wait earlier if the other end accepts a new connection and still sends nothing on this one:
// then the connection is broken, and the other end is not paused.
func (s *Stream) waitThroughSilence() error {
	for {
		alive := s.pool.probe(maxSilentIntervals * s.keepaliveInterval)
		s.setFrameDeadline()
		_, err := s.reader.Peek(1)
		if err == nil || alive || !s.silent(err) {
			return err
		}
	}
}

// silent reports whether a read ended for lack of keepalive frames, before the deadline of the
// stream.
func (s *Stream) silent(err error) bool {
	var timeout net.Error
	if s.pool == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	return s.deadline.IsZero() || time.Now().Before(s.deadline)
}

// resetReadDeadline bounds the next read by the deadline of the stream only.
func (s *Stream) resetReadDeadline() {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	s.conn.SetReadDeadline(s.deadline)
}

// closeIdleOnTimeout closes the idle streams to the host if a read timed out before the deadline of
// the stream, that is, for lack of keepalive frames: a fault that broke this connection unnoticed
// may have broken the others too.
func (s *Stream) closeIdleOnTimeout(err error) {
	if s.silent(err) {
		s.pool.closeIdle()
	}
}

// startKeepalive starts to send keepalive frames. They are sent until this end has sent its last
// frame of the exchange.
func (s *Stream) startKeepalive() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.startKeepaliveLocked()
}

// startKeepaliveLocked is startKeepalive for callers that hold sendMu.
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

// stopKeepalive stops sending keepalive frames.
func (s *Stream) stopKeepalive() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.stopKeepaliveLocked()
}

// stopKeepaliveLocked is stopKeepalive for callers that hold sendMu.
func (s *Stream) stopKeepaliveLocked() {
	s.sendPending = false
	if s.keepaliveTimer != nil {
		s.keepaliveTimer.Stop()
	}
}

// updateKeepalive starts the keepalive frames after a request head that data frames follow, and
// stops them after the last frame of a request or response. The caller holds sendMu.
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

// sendKeepalive sends a frame without a body, unless the last frame of the exchange was sent.
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
