package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sassafrasnotch.example/mesh/idleconn"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

const (
	// maxIdleStreams bounds the kept call connections to one host.
	maxIdleStreams = 64
	// idleStreamTime is the time after which an idle call connection is closed.
	idleStreamTime = 30 * time.Second
	// maxDials bounds the call connections to one host that are being opened.
	maxDials = 8
)

// lane keeps the call connections to one host.
type streamPool struct {
	pool      *Pool
	key       remoteKey
	backoff   *dialBackoff
	dialSlots chan struct{} // holds a token for each running dial

	mu     sync.Mutex
	idle   []*Stream // the last one was used last
	inUse  int
	closed bool
}

func newStreamPool(p *Pool, key remoteKey, b *dialBackoff) *streamPool {
	return &streamPool{pool: p, key: key, backoff: b, dialSlots: make(chan struct{}, maxDials)}
}

// openCall returns an idle connection or opens one.
func (p *streamPool) openStream(ctx context.Context) (*Stream, error) {
	for {
		s, err := p.reserve()
		if err != nil {
			return nil, err
		}
		if s == nil {
			break
		}
		if !idleconn.Stale(s.conn) {
			return s, nil
		}
		s.Discard()
	}
	s, err := p.dial(ctx)
	if err != nil {
		p.release()
		return nil, err
	}
	return s, nil
}

// take counts a stream in use and returns an idle one, or nil.
func (p *streamPool) reserve() (*Stream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, stepError(ErrDial, "open stream", p.key.host, errPoolClosed)
	}
	if p.inUse >= p.pool.settings.MaxStreams {
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

// dial opens a connection and announces that it carries calls.
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
	conn, identity, err := p.pool.connect(ctx, p.key, peerpb.StreamKind_STREAM_KIND_CALL)
	if err == nil || ctx.Err() == nil {
		p.backoff.record(err)
	}
	if err != nil {
		return nil, err
	}
	s := newStream(conn, identity, true, p.pool.settings.Keepalive.Std(), &p.pool.controlBytes)
	s.pool = p
	return s, nil
}

// put keeps a stream whose exchange was whole.
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

// drop forgets a stream that was in use.
func (p *streamPool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
}

// purge closes the idle streams.
func (p *streamPool) closeIdle() { p.closeExpired(time.Now().Add(idleStreamTime)) }

// expire closes the streams that were idle for idleStreamTime.
func (p *streamPool) closeExpired(now time.Time) {
	p.mu.Lock()
	count := 0
	for count < len(p.idle) && now.Sub(p.idle[count].idleSince) >= idleStreamTime {
		count++
	}
	expired := append([]*Stream(nil), p.idle[:count]...)
	p.idle = append(p.idle[:0], p.idle[count:]...)
	p.mu.Unlock()
	for _, s := range expired {
		s.conn.Close()
	}
}

func (p *streamPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}
