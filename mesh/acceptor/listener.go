package acceptor

import (
	"net"
	"sync/atomic"

	"go.uber.org/zap"
)

// Listener is the listener of one port.
type Listener struct {
	net.Listener
	port     string
	logger   *zap.Logger
	failures atomic.Uint64
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		l.failures.Add(1)
	}
	return conn, err
}
