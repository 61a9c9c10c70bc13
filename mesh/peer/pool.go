package peer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/descriptors"
	"sassafrasnotch.example/mesh/limitedconn"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

var (
	errPoolClosed      = errors.New("pool is closed")
	errNoLocalHandlers = errors.New("pool is closed or has no handlers for requests to the local host")
)

// Pool opens and keeps the connections to other daemons. It is safe for concurrent use.
type Pool struct {
	self         Identity
	settings     settings.Peer
	log          *zap.Logger
	controlBytes byteCounts
	security     Security // nil if connections are not secured
	limit        limitedconn.Limit

	mu      sync.Mutex
	remotes map[remoteKey]*remoteDaemon
	closed  bool
	done    chan struct{} // closed by Close
	local   *localHandlers
}

// remoteKey identifies a daemon by its host name and TCP address.
type remoteKey struct{ host, address string }

// NewPool returns a pool of the daemon self. It opens connections when they are first needed; Close
// closes them.
func NewPool(self Identity, s settings.Peer, log *zap.Logger) *Pool {
	p := &Pool{
		self:     self,
		settings: s,
		log:      log,
		remotes:  make(map[remoteKey]*remoteDaemon),
		done:     make(chan struct{}),
	}
	p.UseBudget(descriptors.Unlimited())
	return p
}

// UseBudget makes the connections of the pool count in the budget. At its bound the pool closes the
// request connection that has been idle for longest. It must be called before the first connection is
// opened.
func (p *Pool) UseBudget(budget *descriptors.Budget) {
	p.limit = limitedconn.Limit{Budget: budget, Part: descriptors.PeersDialed, MakeRoom: p.closeLongestIdle}
}

// closeLongestIdle closes the request connection that has been idle for longest, and reports whether
// there was one.
func (p *Pool) closeLongestIdle() bool {
	var longest *streamPool
	var since time.Time
	for _, r := range p.remoteDaemons() {
		if idleSince, ok := r.streams.longestIdle(); ok && (longest == nil || idleSince.Before(since)) {
			longest, since = r.streams, idleSince
		}
	}
	return longest != nil && longest.closeLongestIdle()
}

// SetLocalHandlers sets the handlers of requests to the local host, which are served without a TCP
// connection.
func (p *Pool) SetLocalHandlers(requestHandler RequestHandler, controlHandler ControlHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local = &localHandlers{self: p.self, requestHandler: requestHandler, controlHandler: controlHandler, log: p.log}
}

// OpenStream returns a stream for one request to the host at the TCP address. The caller ends the
// exchange with Release or Discard. An error, which wraps ErrDial, ErrHandshake or ErrLimit, means
// that no byte of a request was sent.
func (p *Pool) OpenStream(ctx context.Context, host, address string) (*Stream, error) {
	if host == p.self.Host {
		return p.openLocalStream()
	}
	r, err := p.remoteDaemon(host, address)
	if err != nil {
		return nil, err
	}
	return r.streams.openStream(ctx)
}

// Control sends a control request to the host at the TCP address and returns the reply. A request
// to the local host is passed to its handler directly.
func (p *Pool) Control(ctx context.Context, host, address string, req *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	if host == p.self.Host {
		return p.controlLocal(ctx, req)
	}
	r, err := p.remoteDaemon(host, address)
	if err != nil {
		return nil, err
	}
	return r.control(ctx, req)
}

// Close closes all sessions and idle request connections. Streams in use are closed at their
// Release. Close always returns nil.
func (p *Pool) Close() error {
	p.mu.Lock()
	if !p.closed {
		close(p.done)
	}
	p.closed = true
	remotes := p.remotes
	p.remotes = nil
	p.mu.Unlock()
	for _, r := range remotes {
		r.close()
	}
	return nil
}

// Bytes returns the control bytes that the pool has sent and received: control frames and session
// pings with the yamux headers, and keepalive frames, but no other frames of requests.
func (p *Pool) Bytes() (sent, received uint64) {
	return p.controlBytes.sent.Load(), p.controlBytes.received.Load()
}

// remoteDaemon returns the entry of the daemon, which it adds if necessary.
func (p *Pool) remoteDaemon(host, address string) (*remoteDaemon, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, stepError(ErrDial, "open stream", host, errPoolClosed)
	}
	key := remoteKey{host, address}
	r := p.remotes[key]
	if r == nil {
		if len(p.remotes) == 0 {
			go p.closeExpiredStreams()
		}
		r = newRemoteDaemon(p, key)
		p.remotes[key] = r
	}
	return r, nil
}

// closeExpiredStreams closes request connections after idleStreamTimeout, until the pool is closed.
func (p *Pool) closeExpiredStreams() {
	ticker := time.NewTicker(idleStreamTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-ticker.C:
			for _, r := range p.remoteDaemons() {
				r.streams.closeExpired(now)
			}
		}
	}
}

func (p *Pool) remoteDaemons() []*remoteDaemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.remotes))
}

func (p *Pool) localHandlers() (*localHandlers, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.local == nil || p.closed {
		return nil, stepError(ErrDial, "open local stream", p.self.Host, errNoLocalHandlers)
	}
	return p.local, nil
}

func (p *Pool) openLocalStream() (*Stream, error) {
	handlers, err := p.localHandlers()
	if err != nil {
		return nil, err
	}
	return handlers.openStream(), nil
}

func (p *Pool) controlLocal(ctx context.Context, req *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	handlers, err := p.localHandlers()
	if err != nil {
		return nil, err
	}
	return handlers.controlHandler.ServeControl(ctx, p.self, req), nil
}
