// Package acceptor accepts the connections of the daemon's ports.
package acceptor

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/descriptors"
	"sassafrasnotch.example/mesh/limitedconn"
	"sassafrasnotch.example/mesh/steperr"
)

// Ports opens the TCP ports of a daemon. It is safe for concurrent use.
type Ports struct {
	budget *descriptors.Budget
	logger *zap.Logger

	mu        sync.Mutex
	listeners []*Listener
}

// NewPorts returns Ports without an open port. Their connections count in the budget.
func NewPorts(budget *descriptors.Budget, logger *zap.Logger) *Ports {
	return &Ports{budget: budget, logger: logger}
}

// Listen opens a TCP port, whose connections belong to the part of the process. The name of the port is
// part of the step of its errors.
func (p *Ports) Listen(port string, part descriptors.Part, address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "listen for "+port, address)
	}
	l := &Listener{Listener: listener, limit: &limitedconn.Limit{Budget: p.budget, Part: part}, port: port, logger: p.logger}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, l)
	return l, nil
}

// maxAcceptFailure is the longest time for which accepts of a port may fail while the port counts as
// accepting.
const maxAcceptFailure = 500 * time.Millisecond

// Accepting reports whether every port accepts connections.
func (p *Ports) Accepting(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.listeners {
		if since := l.failingSince.Load(); since != 0 && now.Sub(time.Unix(0, since)) > maxAcceptFailure {
			return false
		}
	}
	return true
}

// Failures returns the number of failed accepts of each port since the start of the daemon.
func (p *Ports) Failures() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	failures := make(map[string]uint64)
	for _, l := range p.listeners {
		failures[l.port] = l.failures.Load()
	}
	return failures
}
