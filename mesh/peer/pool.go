package peer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

var (
	errPoolClosed      = errors.New("the pool is closed")
	errNoLocalHandlers = errors.New("no handler for calls to the own host")
)

// Pool keeps the connections to other daemons. It is safe for concurrent use.
type Pool struct {
	self         Identity
	settings     settings.Peer
	log          *zap.Logger
	controlBytes byteCounts
	security     Security // nil without

	mu      sync.Mutex
	remotes map[remoteKey]*remoteDaemon
	closed  bool
	done    chan struct{} // closed by Close
	local   *localHandlers
}

type remoteKey struct{ host, address string }

// NewPool returns a pool without connections; they are opened at first use.
func NewPool(self Identity, s settings.Peer, log *zap.Logger) *Pool {
	return &Pool{
		self:     self,
		settings: s,
		log:      log,
		remotes:  make(map[remoteKey]*remoteDaemon),
		done:     make(chan struct{}),
	}
}

// SetLocalHandlers serves requests to the own host without a connection.
func (p *Pool) SetLocalHandlers(requests RequestHandler, control ControlHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local = &localHandlers{self: p.self, requests: requests, control: control, log: p.log}
}

// OpenStream returns a stream for one call to the host at the TCP address. An
// error means that no byte of a request was taken.
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

// Control sends a request to the host and waits for the reply.
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

// Close closes all sessions and idle call connections. Streams in use are
// closed at their Release.
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

// Bytes returns the bytes spent on control: control frames and keepalive
// probes with their multiplexing headers, not calls.
func (p *Pool) Bytes() (sent, received uint64) {
	return p.controlBytes.sent.Load(), p.controlBytes.received.Load()
}

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

// expire closes call connections that stay idle, until the pool is closed.
func (p *Pool) closeExpiredStreams() {
	ticker := time.NewTicker(idleStreamTime / 2)
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
	return handlers.control.ServeControl(ctx, p.self, req), nil
}
