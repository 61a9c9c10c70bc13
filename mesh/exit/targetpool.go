package exit

import (
	"context"
	"net"
	"sync"
	"time"

	"sassafrasnotch.example/mesh/idleconn"
)

const (
	targetDialTimeout = time.Second
	// maxIdleConnections bounds the kept connections to one target.
	maxIdleConnections = 512
	targetIdleTimeout  = 30 * time.Second
)

// targetPool keeps the idle connections to one target.
type targetPool struct {
	address string
	maxIdle int

	mu     sync.Mutex
	idle   []*targetConn // the last one was used last
	closed bool
}

func newTargetPool(address string, slots int) *targetPool {
	return &targetPool{address: address, maxIdle: min(max(slots, 1), maxIdleConnections)}
}

// get returns an idle connection or opens one.
func (p *targetPool) get(ctx context.Context) (*targetConn, error) {
	for conn := p.pop(); conn != nil; conn = p.pop() {
		if time.Since(conn.idleSince) < conn.idleTimeout && !idleconn.Stale(conn.Conn) {
			conn.reused = true
			return conn, nil
		}
		conn.Close()
	}
	return p.dial(ctx)
}

func (p *targetPool) dial(ctx context.Context) (*targetConn, error) {
	dialer := net.Dialer{Timeout: targetDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newTargetConn(conn), nil
}

func (p *targetPool) pop() *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	conn := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return conn
}

// put keeps a connection whose exchange was whole.
func (p *targetPool) put(conn *targetConn) {
	conn.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed && len(p.idle) < p.maxIdle
	if keep {
		p.idle = append(p.idle, conn)
	}
	p.mu.Unlock()
	if !keep {
		conn.Close()
	}
}

// expire closes the connections that were idle for as long as they may be.
func (p *targetPool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for count < len(p.idle) && now.Sub(p.idle[count].idleSince) >= p.idle[count].idleTimeout {
		p.idle[count].Close()
		count++
	}
	if count > 0 {
		p.idle = append(p.idle[:0], p.idle[count:]...)
	}
}

// close closes the idle connections, and those in use once they are put back.
func (p *targetPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}
