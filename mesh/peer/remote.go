package peer

import (
	"context"
	"fmt"
	"sync"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// sessionGrowthThreshold is the number of streams in use on every session from which another
// session is opened.
const sessionGrowthThreshold = 16

// remoteDaemon holds the connections of a pool to one other daemon.
type remoteDaemon struct {
	pool *Pool
	key  remoteKey

	backoff *dialBackoff
	streams *streamPool

	mu       sync.Mutex // guards the fields below
	sessions []*session
	dialing  *sessionDial // the running dial, nil if none
	closed   bool
}

// sessionDial is the opening of a session, for which several callers may wait.
type sessionDial struct {
	done chan struct{} // closed at the end of the dial
	err  error         // set before done is closed
}

func newRemoteDaemon(p *Pool, key remoteKey) *remoteDaemon {
	backoff := newDialBackoff(key.host)
	return &remoteDaemon{pool: p, key: key, backoff: backoff, streams: newStreamPool(p, key, backoff)}
}

// acquireSession returns a session on which one more stream is counted in use. It waits for a dial
// if no session is open, and opens another session in the background if all have many streams in
// use.
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

// chooseSession returns the least used session, or the running dial if no session is open.
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
		r.startDial() // if it fails, the open sessions are still used
	}
	leastUsed.acquire()
	return leastUsed, nil, nil
}

// leastUsedSession removes closed and retired sessions. It returns the session with the fewest
// streams in use, nil if none is left, and the number of streams in use on all sessions.
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

// startDial returns the running dial or starts one. It fails while the delay after a failed dial
// lasts.
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
