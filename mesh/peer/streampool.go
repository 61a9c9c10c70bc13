package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"sassafrasnotch.example/mesh/idleconn"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

const (
	// maxIdleStreams bounds the idle request connections that are kept to one host.
	maxIdleStreams = 64
	// idleStreamTimeout is the time after which the dialing side closes an idle request connection.
	idleStreamTimeout = 30 * time.Second
	// maxDials bounds the request connections to one host that are being opened at the same time.
	maxDials = 8
)

// streamPool keeps the request connections to one host.
type streamPool struct {
	parent    *Pool
	key       remoteKey
	backoff   *dialBackoff
	dialSlots chan struct{} // holds a token for each running dial

	mu     sync.Mutex
	idle   []*Stream // in order of last use, the most recent one last
	inUse  int
	closed bool
}

func newStreamPool(p *Pool, key remoteKey, b *dialBackoff) *streamPool {
	return &streamPool{parent: p, key: key, backoff: b, dialSlots: make(chan struct{}, maxDials)}
}

// openStream returns an idle stream or opens one. Idle streams that the other end has closed are
// discarded. If the other end doesn't answer the check of one in time, all are, and the error is a
// time-out: the request can be sent to another host sooner than by dialing this one.
func (p *streamPool) openStream(ctx context.Context) (*Stream, error) {
	for {
		s, err := p.reserve()
		if err != nil {
			return nil, err
		}
		if s == nil {
			break
		}
		usable, err := p.usable(ctx, s)
		if usable {
			return s, nil
		}
		s.Discard()
		if err != nil {
			p.closeIdle()
			return nil, err
		}
	}
	s, err := p.dial(ctx)
	if err != nil {
		p.release()
		return nil, err
	}
	return s, nil
}

// usable reports whether a request can be sent on a stream that was idle. The error is a time-out of
// its check, or the end of the context.
func (p *streamPool) usable(ctx context.Context, s *Stream) (bool, error) {
	if idleconn.Stale(s.conn) {
		return false, nil
	}
	if !s.needsCheck(time.Now()) {
		return true, nil
	}
	stopInterrupt := context.AfterFunc(ctx, func() { s.conn.SetDeadline(pastDeadline) })
	err := s.check(ctx)
	if !stopInterrupt() && err == nil {
		err = stepError(ErrDial, "check idle stream", p.key.host, ctx.Err())
	}
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) && ctx.Err() == nil {
		return false, nil // closed; another stream may be open
	}
	return err == nil, err
}

// reserve counts one more stream in use and returns the most recently used idle stream, or nil if
// there is none.
func (p *streamPool) reserve() (*Stream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, stepError(ErrDial, "open stream", p.key.host, errPoolClosed)
	}
	if p.inUse >= p.parent.settings.MaxStreams {
		return nil, stepError(ErrLimit, "open stream", p.key.host, fmt.Errorf("%d streams in use", p.inUse))
	}
	p.inUse++
	last := len(p.idle) - 1
	if last < 0 {
		return nil, nil
	}
	s := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	s.finished.Store(false)
	return s, nil
}

// dial opens a connection whose Hello states that it carries requests.
func (p *streamPool) dial(ctx context.Context) (*Stream, error) {
	select {
	case p.dialSlots <- struct{}{}:
		defer func() { <-p.dialSlots }()
	case <-ctx.Done():
		return nil, stepError(ErrDial, "wait for dial", p.key.host, ctx.Err())
	}
	if err := p.backoff.check(); err != nil {
		return nil, err
	}
	conn, hello, err := p.parent.connect(ctx, p.key, peerpb.StreamKind_STREAM_KIND_CALL)
	if err == nil || ctx.Err() == nil {
		p.backoff.record(err)
	}
	if err != nil {
		return nil, err
	}
	s := newStream(conn, identityOf(hello), true, p.parent.settings.Keepalive.Std(), &p.parent.controlBytes)
	s.pool, s.answersChecks, s.confirmsDispatch = p, hello.AnswersChecks, hello.ConfirmsDispatch
	return s, nil
}

// probe reports whether the host accepts a new connection within the time.
func (p *streamPool) probe(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s, err := p.dial(ctx)
	if err != nil {
		return false
	}
	s.conn.Close()
	return true
}

// putIdle ends the use of a stream whose exchange is complete. It keeps the stream as idle, or
// closes it if there are maxIdleStreams or the pool is closed.
func (p *streamPool) putIdle(s *Stream) {
	s.idleSince = time.Now()
	p.mu.Lock()
	p.inUse--
	keep := !p.closed && len(p.idle) < maxIdleStreams
	if keep {
		p.idle = append(p.idle, s)
	}
	p.mu.Unlock()
	if !keep {
		s.conn.Close()
	}
}

// release ends the use of a stream that is not kept.
func (p *streamPool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
}

// longestIdle returns since when the stream that was not used for longest has been idle, if there is an
// idle one.
func (p *streamPool) longestIdle() (since time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].idleSince, true
}

// closeLongestIdle closes the stream that has been idle for longest, and reports whether there was one.
func (p *streamPool) closeLongestIdle() bool {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	s := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	p.mu.Unlock()
	s.conn.Close()
	return true
}

// closeIdle closes all idle streams.
func (p *streamPool) closeIdle() { p.closeExpired(time.Now().Add(idleStreamTimeout)) }

// closeExpired closes the streams that have been idle for idleStreamTimeout.
func (p *streamPool) closeExpired(now time.Time) {
	p.mu.Lock()
	count := 0
	for count < len(p.idle) && now.Sub(p.idle[count].idleSince) >= idleStreamTimeout {
		count++
	}
	expired := append([]*Stream(nil), p.idle[:count]...)
	p.idle = append(p.idle[:0], p.idle[count:]...)
	p.mu.Unlock()
	for _, s := range expired {
		s.conn.Close()
	}
}

// close closes all idle streams. Those in use are closed at their release.
func (p *streamPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}
