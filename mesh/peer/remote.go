package peer

import (
	"context"
	"fmt"
	"sync"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// streamsBeforeGrowth is the number of streams in use on each session above
// which another session is opened.
const sessionGrowthThreshold = 16

// remote is another daemon as the pool knows it.
type remoteDaemon struct {
	pool *Pool
	key  remoteKey

	backoff *dialBackoff
	streams *streamPool

	mu       sync.Mutex
	sessions []*session
	dialing  *sessionDial
	closed   bool
}

// dial is a connection attempt that several callers may wait for.
type sessionDial struct {
	done chan struct{}
	err  error
}

func newRemoteDaemon(p *Pool, key remoteKey) *remoteDaemon {
	backoff := newDialBackoff(key.host)
	return &remoteDaemon{pool: p, key: key, backoff: backoff, streams: newStreamPool(p, key, backoff)}
}

// acquire returns a session with its stream count raised, dialing if none is
// open. It opens another one in the background when all are busy.
func (r *remoteDaemon) acquireSession(ctx context.Context) (*session, error) {
	for {
		s, running, err := r.chooseSession()
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-running.done:
		case <-ctx.Done():
			return nil, stepError(ErrDial, "wait for session", r.key.host, ctx.Err())
		}
		if running.err != nil {
			return nil, running.err
		}
	}
}

func (r *remoteDaemon) chooseSession() (*session, *sessionDial, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, nil, stepError(ErrDial, "open session", r.key.host, errPoolClosed)
	}
	leastUsed, inUse := r.leastUsedSession()
	if leastUsed == nil {
		running, err := r.startDial()
		return nil, running, err
	}
	if inUse >= int64(r.pool.settings.MaxStreams*len(r.sessions)) {
		return nil, nil, stepError(ErrLimit, "open stream", r.key.host, fmt.Errorf("%d streams in use", inUse))
	}
	if leastUsed.inUse.Load() >= sessionGrowthThreshold && len(r.sessions) < r.pool.settings.SessionsPerPeer {
		r.startDial() // a failure leaves the sessions there are
	}
	leastUsed.acquire()
	return leastUsed, nil, nil
}

// leastBusy forgets closed sessions and returns the least busy of the others
// with the number of streams in use on all of them.
func (r *remoteDaemon) leastUsedSession() (leastUsed *session, inUse int64) {
	open := r.sessions[:0]
	for _, s := range r.sessions {
		if s.closed() || s.retired.Load() {
			continue
		}
		open = append(open, s)
		sessionInUse := s.inUse.Load()
		inUse += sessionInUse
		if leastUsed == nil || sessionInUse < leastUsed.inUse.Load() {
			leastUsed = s
		}
	}
	clear(r.sessions[len(open):])
	r.sessions = open
	return leastUsed, inUse
}

// startDial joins the running dial or starts one, unless the last failure is
// too recent.
func (r *remoteDaemon) startDial() (*sessionDial, error) {
	if r.dialing != nil {
		return r.dialing, nil
	}
	if err := r.backoff.check(); err != nil {
		return nil, err
	}
	started := &sessionDial{done: make(chan struct{})}
	r.dialing = started
	go r.runDial(started)
	return started, nil
}

func (r *remoteDaemon) runDial(running *sessionDial) {
	s, err := r.pool.dialSession(r.key)
	r.backoff.record(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer close(running.done)
	r.dialing = nil
	running.err = err
	if err != nil {
		return
	}
	if r.closed {
		running.err = stepError(ErrDial, "open session", r.key.host, errPoolClosed)
		s.close("pool closed")
		return
	}
	r.sessions = append(r.sessions, s)
	go s.keepalive(r.pool.settings.Keepalive.Std(), true)
}

func (r *remoteDaemon) control(ctx context.Context, req *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	s, err := r.acquireSession(ctx)
	if err != nil {
		return nil, err
	}
	defer s.release()
	return s.control(ctx, req)
}

func (r *remoteDaemon) close() {
	r.streams.close()
	r.mu.Lock()
	r.closed = true
	sessions := r.sessions
	r.sessions = nil
	r.mu.Unlock()
	for _, s := range sessions {
		s.close("pool closed")
	}
}
