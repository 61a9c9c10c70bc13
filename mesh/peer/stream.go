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
	errNoHead       = errors.New("the call starts without a head")
)

// Stream is a connection that carries the frames of one call at a time. One
// goroutine may send while another receives.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	remote Identity
	dialed bool
	// lane is the owner on the dialing side, nil on local streams.
	lane  *lane
	bytes *byteCounts
	// keepalive is the interval of keepalive frames; 0 means none.
	keepalive time.Duration

	// finished is set by Release and Discard.
	finished atomic.Bool
	idle     time.Time // when released
	watching chan struct{}

	deadlines sync.Mutex
	deadline  time.Time // set by SetDeadline

	// sending guards writes and the fields behind it.
	sending sync.Mutex
	// open is set from the first to the last own frame of the call.
	open  bool
	alive *time.Timer

	// attempt is that of the call in flight; answered is set once a frame of
	// the answer was sent or received; unread once it is known that the other
	// end has not read the request.
	attempt  uint64
	answered atomic.Bool
	unread   atomic.Bool
	// streamed is set on the dialing side if the request has data frames. The
	// other end may not have read them all when it answers.
	streamed bool
}

func newStream(conn net.Conn, remote Identity, dialed bool, keepalive time.Duration, bytes *byteCounts) *Stream {
	return &Stream{
		conn:      conn,
		reader:    newFrameReader(conn),
		remote:    remote,
		dialed:    dialed,
		keepalive: keepalive,
		bytes:     bytes,
	}
}

// Peer returns the daemon at the other end.
func (s *Stream) Peer() Identity { return s.remote }

// Send writes the frame in a single write. On the accepting side it sets the
// frame's attempt to that of the call in flight.
func (s *Stream) Send(frame *peerpb.CallFrame) error {
	s.sending.Lock()
	defer s.sending.Unlock()
	if s.dialed {
		return s.sendRequest(frame)
	}
	frame.Attempt = s.attempt
	if _, err := s.write(frame); err != nil {
		return err
	}
	s.answered.Store(true)
	s.noteSent(frame)
	return nil
}

// sendRequest drops the frames of a request of which the connection took no
// byte; Receive then returns the refusal.
func (s *Stream) sendRequest(frame *peerpb.CallFrame) error {
	head := frame.GetHead()
	if head != nil {
		s.startAttempt(frame.Attempt)
		s.streamed = !head.Complete
	}
	if s.unread.Load() {
		return nil
	}
	n, err := s.write(frame)
	if n == 0 && head != nil && err != nil && !errors.Is(err, errFrameSize) {
		s.unread.Store(true)
		return nil
	}
	s.noteSent(frame)
	return err
}

func (s *Stream) startAttempt(attempt uint64) {
	s.attempt = attempt
	s.answered.Store(false)
	s.unread.Store(false)
}

func (s *Stream) write(frame *peerpb.CallFrame) (int, error) {
	n, err := writeFrame(s.conn, frame, maxCallFrame)
	if err != nil {
		return n, fail(ErrStream, "send frame", s.remote.Host, err)
	}
	return n, nil
}

// Receive reads the next frame of the call in flight. Every error means that
// the stream was cut and is of no further use. A request that the other end
// certainly has not read is reported as a refusal.
func (s *Stream) Receive(frame *peerpb.CallFrame) error {
	s.joinWatch()
	if s.unread.Load() {
		s.refuse(frame)
		return nil
	}
	if err := s.read(frame); err != nil {
		return err
	}
	if s.isGoodbye(frame) {
		s.refuse(frame)
		return nil
	}
	if frame.Attempt != s.attempt {
		return fail(ErrStream, "check attempt", s.remote.Host, errOtherAttempt)
	}
	if s.dialed {
		s.answered.Store(true)
	}
	return nil
}

// read returns the next frame that is no keepalive.
func (s *Stream) read(frame *peerpb.CallFrame) error {
	for {
		s.expectFrame()
		if err := readFrame(s.reader, frame, maxCallFrame); err != nil {
			s.noteSilence(err)
			return fail(ErrStream, "receive frame", s.remote.Host, err)
		}
		if frame.Body != nil {
			return nil
		}
		s.bytes.received.Add(uint64(frameSize(frame)))
	}
}

// receiveHead reads the first frame of the next call, for which it waits at
// most idleServerTime.
func (s *Stream) receiveHead(frame *peerpb.CallFrame) error {
	s.awaitCall()
	s.joinWatch()
	if err := readFrame(s.reader, frame, maxCallFrame); err != nil {
		return fail(ErrStream, "read head", s.remote.Host, err)
	}
	if frame.GetHead() == nil {
		return fail(ErrStream, "read head", s.remote.Host, errNoHead)
	}
	s.startAttempt(frame.Attempt)
	return nil
}

// WatchClose calls onCut in a goroutine of its own once the other end has closed
// the stream or the deadline has passed. It is for the accepting side after
// the request's last frame, and ends when the next frame arrives.
func (s *Stream) WatchClose(onCut func()) {
	if s.watching != nil {
		return
	}
	done := make(chan struct{})
	s.watching = done
	s.expectNothing()
	go func() {
		defer close(done)
		if _, err := s.reader.Peek(1); err != nil {
			onCut()
		}
	}()
}

// joinWatch waits for the goroutine of Watch, since it shares the reader.
func (s *Stream) joinWatch() {
	if s.watching == nil {
		return
	}
	<-s.watching
	s.watching = nil
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
	s.lane.put(s)
}

func (s *Stream) reusable() bool {
	if s.lane == nil || !s.dialed {
		return false
	}
	return !s.streamed && !s.unread.Load() && s.reader.Buffered() == 0
}

// Discard ends an exchange that was cancelled, timed out or broken. The
// stream is closed and never reused.
func (s *Stream) Discard() {
	if !s.finished.CompareAndSwap(false, true) {
		return
	}
	s.SetDeadline(longAgo) // wakes a blocked Send or Receive
	if s.dialed {
		s.conn.Close()
	}
	s.endPart()
	if s.lane != nil {
		s.lane.drop()
	}
}

// serve runs the handler and reports whether the stream is in order: the call
// has a frame of an answer, so that closing the stream in order always means
// that a later request was not read. A panic of the handler does not end the
// daemon.
func (s *Stream) serve(ctx context.Context, calls RequestHandler, frame *peerpb.CallFrame, log *zap.Logger) (reusable, inOrder bool) {
	s.beginPart()
	defer func() {
		if cause := recover(); cause != nil {
			log.Error("call handler panicked", zap.Any("cause", cause), zap.Stack("stack"))
			reusable = false
		}
		inOrder = s.answered.Load() || s.Send(unansweredFrame()) == nil
		s.endPart()
		reusable = reusable && inOrder && !s.finished.Load()
	}()
	return calls.ServeRequest(ctx, s.remote, frame, s), false
}

func unansweredFrame() *peerpb.CallFrame {
	return &peerpb.CallFrame{Body: &peerpb.CallFrame_Failure{Failure: &peerpb.Failure{
		Step:   "serve call",
		Detail: "the call ended without an answer",
	}}}
}
