package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

var (
	errOtherAttempt = errors.New("the frame belongs to another attempt")
	errNotCallHead  = errors.New("the call starts without a head")
)

// Stream is a connection that carries the frames of one call at a time. One
// goroutine may send while another receives.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	remote Identity
	dialed bool
	// lane is the owner on the dialing side, nil on local streams.
	pool   *streamPool
	counts *byteCounts
	// keepalive is the interval of keepalive frames; 0 means none.
	keepaliveInterval time.Duration

	// finished is set by Release and Discard.
	finished  atomic.Bool
	idleSince time.Time // when released
	watchDone chan struct{}

	deadlineMu sync.Mutex
	deadline   time.Time // set by SetDeadline

	// sending guards writes and the fields behind it.
	sendMu sync.Mutex
	// open is set from the first to the last own frame of the call.
	sendPending    bool
	keepaliveTimer *time.Timer

	// attempt is that of the call in flight; answered is set once a frame of
	// the answer was sent or received; unread once it is known that the other
	// end has not read the request.
	attempt         uint64
	responseStarted atomic.Bool
	requestUnread   atomic.Bool
	// streamed is set on the dialing side if the request has data frames. The
	// other end may not have read them all when it answers.
	hasDataFrames bool
}

func newStream(conn net.Conn, remote Identity, dialed bool, keepaliveInterval time.Duration, counts *byteCounts) *Stream {
	return &Stream{
		conn:              conn,
		reader:            newFrameReader(conn),
		remote:            remote,
		dialed:            dialed,
		keepaliveInterval: keepaliveInterval,
		counts:            counts,
	}
}

// Peer returns the daemon at the other end.
func (s *Stream) Peer() Identity { return s.remote }

// Send writes the frame in a single write. On the accepting side it sets the
// frame's attempt to that of the call in flight.
func (s *Stream) Send(frame *peerpb.CallFrame) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.dialed {
		return s.sendRequest(frame)
	}
	frame.Attempt = s.attempt
	if _, err := s.write(frame); err != nil {
		return err
	}
	s.responseStarted.Store(true)
	s.updateKeepalive(frame)
	return nil
}

// sendRequest drops the frames of a request of which the connection took no
// byte; Receive then returns the refusal.
func (s *Stream) sendRequest(frame *peerpb.CallFrame) error {
	head := frame.GetHead()
	if head != nil {
		s.startAttempt(frame.Attempt)
		s.hasDataFrames = !head.Complete
	}
	if s.requestUnread.Load() {
		return nil
	}
	n, err := s.write(frame)
	if n == 0 && head != nil && err != nil && !errors.Is(err, errFrameSize) {
		s.requestUnread.Store(true)
		return nil
	}
	s.updateKeepalive(frame)
	return err
}

func (s *Stream) startAttempt(attempt uint64) {
	s.attempt = attempt
	s.responseStarted.Store(false)
	s.requestUnread.Store(false)
}

func (s *Stream) write(frame *peerpb.CallFrame) (int, error) {
	n, err := writeFrame(s.conn, frame, maxCallFrame)
	if err != nil {
		return n, stepError(ErrStream, "send frame", s.remote.Host, err)
	}
	return n, nil
}

// Receive reads the next frame of the call in flight. Every error means that
// the stream was cut and is of no further use. A request that the other end
// certainly has not read is reported as a refusal.
func (s *Stream) Receive(frame *peerpb.CallFrame) error {
	s.waitForWatch()
	if s.requestUnread.Load() {
		s.setRefusal(frame)
		return nil
	}
	if err := s.nextFrame(frame); err != nil {
		return err
	}
	if s.isCloseFrame(frame) {
		s.setRefusal(frame)
		return nil
	}
	if frame.Attempt != s.attempt {
		return stepError(ErrStream, "check attempt", s.remote.Host, errOtherAttempt)
	}
	if s.dialed {
		s.responseStarted.Store(true)
	}
	return nil
}

// read returns the next frame that is no keepalive.
func (s *Stream) nextFrame(frame *peerpb.CallFrame) error {
	for {
		s.setFrameDeadline()
		if err := readFrame(s.reader, frame, maxCallFrame); err != nil {
			s.closeIdleOnTimeout(err)
			return stepError(ErrStream, "receive frame", s.remote.Host, err)
		}
		if frame.Body != nil {
			return nil
		}
		s.counts.received.Add(uint64(frameSize(frame)))
	}
}

// receiveHead reads the first frame of the next call, for which it waits at
// most idleServerTime.
func (s *Stream) receiveHead(frame *peerpb.CallFrame) error {
	s.setIdleReadDeadline()
	s.waitForWatch()
	if err := readFrame(s.reader, frame, maxCallFrame); err != nil {
		return stepError(ErrStream, "read head", s.remote.Host, err)
	}
	if frame.GetHead() == nil {
		return stepError(ErrStream, "read head", s.remote.Host, errNotCallHead)
	}
	s.startAttempt(frame.Attempt)
	return nil
}

// WatchClose calls onCut in a goroutine of its own once the other end has closed
// the stream or the deadline has passed. It is for the accepting side after
// the request's last frame, and ends when the next frame arrives.
func (s *Stream) WatchClose(onClose func()) {
	if s.watchDone != nil {
		return
	}
	done := make(chan struct{})
	s.watchDone = done
	s.resetReadDeadline()
	go func() {
		defer close(done)
		if _, err := s.reader.Peek(1); err != nil {
			onClose()
		}
	}()
}

// joinWatch waits for the goroutine of Watch, since it shares the reader.
func (s *Stream) waitForWatch() {
	if s.watchDone == nil {
		return
	}
	<-s.watchDone
	s.watchDone = nil
}

// Release ends a whole exchange; the stream may be reused.
func (s *Stream) Release() {
	if !s.reusable() {
		s.Discard()
		return
	}
	if !s.finished.CompareAndSwap(false, true) {
		return
	}
	s.clearDeadline()
	s.pool.putIdle(s)
}

func (s *Stream) reusable() bool {
	if s.pool == nil || !s.dialed {
		return false
	}
	return !s.hasDataFrames && !s.requestUnread.Load() && s.reader.Buffered() == 0
}

// Discard ends an exchange that was cancelled, timed out or broken. The
// stream is closed and never reused.
func (s *Stream) Discard() {
	if !s.finished.CompareAndSwap(false, true) {
		return
	}
	s.SetDeadline(pastDeadline) // wakes a blocked Send or Receive
	if s.dialed {
		s.conn.Close()
	}
	s.stopKeepalive()
	if s.pool != nil {
		s.pool.release()
	}
}

// serve runs the handler and reports whether the stream is in order: the call
// has a frame of an answer, so that closing the stream in order always means
// that a later request was not read. A panic of the handler does not end the
// daemon.
func (s *Stream) serve(ctx context.Context, handler RequestHandler, frame *peerpb.CallFrame, log *zap.Logger) (reusable, orderly bool) {
	s.startKeepalive()
	defer func() {
		if cause := recover(); cause != nil {
			log.Error("call handler panicked", zap.Any("cause", cause), zap.Stack("stack"))
			reusable = false
		}
		orderly = s.responseStarted.Load() || s.Send(noResponseFrame()) == nil
		s.stopKeepalive()
		reusable = reusable && orderly && !s.finished.Load()
	}()
	return handler.ServeRequest(ctx, s.remote, frame, s), false
}

func noResponseFrame() *peerpb.CallFrame {
	return &peerpb.CallFrame{Body: &peerpb.CallFrame_Failure{Failure: &peerpb.Failure{
		Step:   "serve call",
		Detail: "the call ended without an answer",
	}}}
}
