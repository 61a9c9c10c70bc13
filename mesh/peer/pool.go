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
	errPoolClosed = errors.New("the pool is closed")
	errNotLocal   = errors.New("no handler for calls to the own host")
)

// Pool keeps the connections to other daemons. It is safe for concurrent use.
type Pool struct {
	self     Identity
	settings settings.Peer
	log      *zap.Logger
	bytes    byteCounts
	security Security // nil without

	mu      sync.Mutex
	remotes map[remoteKey]*remote
	closed  bool
	done    chan struct{} // closed by Close
	local   *localHost
}

type remoteKey struct{ host, address string }

// NewPool returns a pool without connections; they are opened at first use.
func NewPool(self Identity, s settings.Peer, log *zap.Logger) *Pool {
	return &Pool{
		self:     self,
		settings: s,
		log:      log,
		remotes:  make(map[remoteKey]*remote),
		done:     make(chan struct{}),
	}
}

// SetLocalHandlers serves requests to the own host without a connection.
func (p *Pool) SetLocalHandlers(calls RequestHandler, control ControlHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local = &localHost{self: p.self, calls: calls, control: control, log: p.log}
}

// OpenStream returns a stream for one call to the host at the TCP address. An
// error means that no byte of a request was taken.
func (p *Pool) OpenStream(ctx context.Context, host, address string) (*Stream, error) {
	if host == p.self.Host {
		return p.openLocal()
	}
	r, err := p.remote(host, address)
	if err != nil {
		return nil, err
	}
	return r.calls.openCall(ctx)
}

// Control sends a request to the host and waits for the reply.
func (p *Pool) Control(ctx context.Context, host, address string, req *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	if host == p.self.Host {
		return p.controlLocal(ctx, req)
	}
	r, err := p.remote(host, address)
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
	return p.bytes.sent.Load(), p.bytes.received.Load()
}

func (p *Pool) remote(host, address string) (*remote, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fail(ErrDial, "open stream", host, errPoolClosed)
	}
	key := remoteKey{host, address}
	r := p.remotes[key]
	if r == nil {
		if len(p.remotes) == 0 {
			go p.expire()
		}
		r = newRemote(p, key)
		p.remotes[key] = r
	}
	return r, nil
}

// expire closes call connections that stay idle, until the pool is closed.
func (p *Pool) expire() {
	ticker := time.NewTicker(idleStreamTime / 2)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-ticker.C:
			for _, r := range p.snapshot() {
				r.calls.expire(now)
			}
		}
	}
}

func (p *Pool) snapshot() []*remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.remotes))
}

func (p *Pool) localHost() (*localHost, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.local == nil || p.closed {
		return nil, fail(ErrDial, "open local stream", p.self.Host, errNotLocal)
	}
	return p.local, nil
}

func (p *Pool) openLocal() (*Stream, error) {
	local, err := p.localHost()
	if err != nil {
		return nil, err
	}
	return local.openCall(), nil
}

func (p *Pool) controlLocal(ctx context.Context, req *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	local, err := p.localHost()
	if err != nil {
		return nil, err
	}
	return local.control.ServeControl(ctx, p.self, req), nil
}
