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

	"sassafrasnotch.example/mesh/connstate"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

var (
	errOtherAttempt = errors.New("frame has the number of another attempt")
	errNotCallHead  = errors.New("first frame of the request is not a CallHead")
)

// Stream is a request connection, or the in-memory connection of a request to the local host. It
// carries the frames of one request and its response at a time. One goroutine may send while
// another receives.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	remote Identity
	dialed bool // whether this is the dialing side, which sends the requests
	// pool owns the stream on the dialing side. It is nil on the accepting side and on local
	// streams.
	pool   *streamPool
	counts *byteCounts
	// keepaliveInterval is the interval between keepalive frames; 0 means that none are sent or
	// expected.
	keepaliveInterval time.Duration

	// finished is set by Release and Discard, and cleared when an idle stream is used again.
	finished  atomic.Bool
	idleSince time.Time // when released
	// answersChecks is set on the dialing side if the other end answers checks; see check.
	answersChecks bool
	// confirmsDispatch is set on the dialing side if the other end can ask before it dispatches.
	confirmsDispatch bool
	watchDone        chan struct{} // closed at the end of the goroutine of WatchClose; nil if there is none

	deadlineMu sync.Mutex
	deadline   time.Time // set by SetDeadline

	// sendMu guards writes, sendPending and keepaliveTimer.
	sendMu sync.Mutex
	// sendPending is set while this end has not sent the last frame of its request or response.
	sendPending    bool
	keepaliveTimer *time.Timer

	// attempt is the number of the attempt in flight.
	attempt uint64
	// responseStarted is set once a frame of the response was sent or received.
	responseStarted atomic.Bool
	// requestUnread is set once it is certain that the other end has not read the request.
	requestUnread atomic.Bool
	// hasDataFrames is set on the dialing side if the request has data frames. The stream is then
	// not reused, since the other end may not have read them all when it responds.
	hasDataFrames bool
	// onSilence is set while a silence of the other end does not end the exchange; see
	// KeepThroughSilence.
	onSilence func()
}

// newStream returns a stream on a connection whose handshake is done. counts may be nil if
// keepaliveInterval is 0.
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

// Peer returns the identity of the daemon at the other end.
func (s *Stream) Peer() Identity { return s.remote }

// ConfirmsDispatch reports whether the other end, another host, honours CallHead.Confirm. Daemons of older
// releases don't, and on the own host nothing can be lost on the way.
func (s *Stream) ConfirmsDispatch() bool { return s.confirmsDispatch }

// Send writes the frame in a single write. On the accepting side it sets the frame's attempt to the
// one in flight. On the dialing side a head frame starts an attempt. If the connection took no byte
// of the head frame, Send returns nil and drops the frames of the request, and Receive returns a
// refusal.
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

// sendRequest is Send on the dialing side.
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

// startAttempt resets the state of the stream for the next attempt.
func (s *Stream) startAttempt(attempt uint64) {
	s.attempt = attempt
	s.responseStarted.Store(false)
	s.requestUnread.Store(false)
	s.onSilence = nil
}

func (s *Stream) write(frame *peerpb.CallFrame) (int, error) {
	n, err := writeFrame(s.conn, frame, maxCallFrame)
	if err != nil {
		return n, stepError(ErrStream, "send frame", s.remote.Host, err)
	}
	return n, nil
}

// Receive reads the next frame of the request or response in flight. After an error, which wraps
// ErrStream, the stream can't be used any more. Receive returns a refusal for a request that the
// other end has certainly not read.
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

// nextFrame reads the next frame that is not a keepalive frame.
func (s *Stream) nextFrame(frame *peerpb.CallFrame) error {
	for {
		if err := s.awaitFrame(); err != nil {
			return stepError(ErrStream, "await frame", s.remote.Host, err)
		}
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

// receiveHead reads the first frame of the next request, for which it waits at most
// acceptedIdleTimeout, and answers the checks before it.
func (s *Stream) receiveHead(frame *peerpb.CallFrame) error {
	for {
		s.setIdleReadDeadline()
		s.waitForWatch()
		if err := readFrame(s.reader, frame, maxCallFrame); err != nil {
			return stepError(ErrStream, "read head", s.remote.Host, err)
		}
		if frame.GetCheck() == nil {
			break
		}
		s.counts.received.Add(uint64(frameSize(frame)))
		if err := s.answerCheck(); err != nil {
			return err
		}
	}
	if frame.GetHead() == nil {
		return stepError(ErrStream, "read head", s.remote.Host, errNotCallHead)
	}
	s.startAttempt(frame.Attempt)
	return nil
}

// WatchClose calls onClose in a goroutine of its own once the other end has closed the stream or
// the deadline has passed. It is used on the accepting side after the last frame of the request,
// and ends when the next frame arrives.
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

// ClosedByPeer reports whether the other end has closed the stream, also behind frames that were not
// received yet. It does not block.
func (s *Stream) ClosedByPeer() bool {
	if local, ok := s.conn.(*memoryConn); ok {
		return local.closedByPeer()
	}
	return connstate.ClosedByPeer(s.conn)
}

// waitForWatch waits for the goroutine of WatchClose, which uses the reader of the stream too.
func (s *Stream) waitForWatch() {
	if s.watchDone == nil {
		return
	}
	<-s.watchDone
	s.watchDone = nil
}

// Release ends a complete exchange. The pool keeps the stream for reuse if it can, else it is
// closed. The caller must not use it any more.
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

// reusable reports whether another request can be sent on the stream: this is the dialing side, the
// other end has read all frames of the last request, and none of its frames is left to read.
func (s *Stream) reusable() bool {
	if s.pool == nil || !s.dialed {
		return false
	}
	return !s.hasDataFrames && !s.requestUnread.Load() && s.reader.Buffered() == 0
}

// Discard ends an exchange that was cancelled, timed out or failed. The stream is not reused. The
// dialing side closes it at once, the accepting side once its handler has returned. Discard has no
// effect after Release or Discard.
func (s *Stream) Discard() {
	if !s.finished.CompareAndSwap(false, true) {
		return
	}
	s.SetDeadline(pastDeadline) // unblocks Send and Receive
	if s.dialed {
		s.conn.Close()
	}
	s.stopKeepalive()
	if s.pool != nil {
		s.pool.release()
	}
}

// serve runs the handler. It reports whether the stream can be reused, and whether the request has
// a frame of a response, without which the stream must not be closed gracefully: a graceful close
// always means that a later request was not read. A panic of the handler does not end the daemon.
func (s *Stream) serve(ctx context.Context, handler RequestHandler, frame *peerpb.CallFrame, log *zap.Logger) (reusable, responded bool) {
	s.startKeepalive()
	defer func() {
		if cause := recover(); cause != nil {
			log.Error("request handler panicked", zap.Any("cause", cause), zap.Stack("stack"))
			reusable = false
		}
		responded = s.responseStarted.Load() || s.Send(noResponseFrame()) == nil
		s.stopKeepalive()
		reusable = reusable && responded && !s.finished.Load()
	}()
	return handler.ServeRequest(ctx, s.remote, frame, s), false
}

// noResponseFrame returns the failure that is sent for a request whose handler sent no response.
func noResponseFrame() *peerpb.CallFrame {
	return &peerpb.CallFrame{Body: &peerpb.CallFrame_Failure{Failure: &peerpb.Failure{
		Step:   "serve call",
		Detail: "the request ended without a response",
	}}}
}
