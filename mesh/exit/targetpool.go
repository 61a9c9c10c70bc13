package exit

import (
	"context"
	"net"
	"sync"
	"time"

	"sassafrasnotch.example/mesh/idleconn"
	"sassafrasnotch.example/mesh/limitedconn"
)

const (
	// targetDialTimeout bounds the establishment of a connection.
	targetDialTimeout = time.Second
	// maxIdleConnections bounds the idle connections to one target.
	maxIdleConnections = 512
	// targetIdleTimeout is the longest time for which an idle connection is kept if the target
	// states a Keep-Alive timeout. It is also the DefaultIdleTimeout of DefaultConventions.
	targetIdleTimeout = 30 * time.Second
)

// targetPool is a pool of idle connections to one target: as many as the target had slots when it
// was added, at most maxIdleConnections. The connection used last is reused first. It is safe for
// concurrent use.
type targetPool struct {
	address string
	maxIdle int
	limit   *limitedconn.Limit

	mu     sync.Mutex
	idle   []*targetConn // ordered by the time of last use, latest at the end
	closed bool
}

func newTargetPool(address string, slots int, limit *limitedconn.Limit) *targetPool {
	return &targetPool{address: address, limit: limit, maxIdle: min(max(slots, 1), maxIdleConnections)}
}

// get returns an idle connection that is neither expired nor closed by the target, or opens one; see dial.
func (p *targetPool) get(ctx context.Context, until time.Time) (*targetConn, error) {
	for conn := p.pop(); conn != nil; conn = p.pop() {
		if time.Since(conn.idleSince) < conn.idleTimeout && !idleconn.Stale(conn.NetConn()) {
			conn.reused = true
			return conn, nil
		}
		conn.Close()
	}
	return p.dial(ctx, until)
}

// dial opens a connection. The attempt ends at the time until.
func (p *targetPool) dial(ctx context.Context, until time.Time) (*targetConn, error) {
	dialer := net.Dialer{Timeout: targetDialTimeout, Deadline: until}
	conn, err := p.limit.Dial(ctx, dialer.DialContext, "tcp", p.address)
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

// put returns a connection to the pool after a complete exchange, or closes it if the pool is
// full or closed.
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

// expire closes the connections whose idle timeout has passed.
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

// allStale reports whether the target has closed all idle connections, of which there are some: it has
// probably ended.
func (p *targetPool) allStale() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		if !idleconn.Stale(conn.NetConn()) {
			return false
		}
	}
	return len(p.idle) > 0
}

// dropIdleSince closes the connections that have been idle since a time.
func (p *targetPool) dropIdleSince(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for count < len(p.idle) && p.idle[count].idleSince.Before(since) {
		p.idle[count].Close()
		count++
	}
	p.idle = append(p.idle[:0], p.idle[count:]...)
}

// close closes the idle connections, and makes put close those in use.
func (p *targetPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}
