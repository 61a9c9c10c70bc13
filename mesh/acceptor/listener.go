package acceptor

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// retryInterval is the time between a failed accept and the next one.
const retryInterval = 10 * time.Millisecond

// Listener is the listener of one port.
type Listener struct {
	net.Listener
	port     string
	logger   *zap.Logger
	failures atomic.Uint64
	// failingSince is when the first accept failed after the last one that succeeded, in Unix
	// nanoseconds; 0 while accepts succeed.
	failingSince atomic.Int64
}

// Accept implements net.Listener. It does not return an error that says that the process or the host
// is short of descriptors or memory, since a server ends or pauses on an error; it tries again until it
// succeeds.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.recordSuccess()
			return conn, nil
		}
		if !isShortage(err) {
			return nil, err
		}
		l.recordFailure(err)
		time.Sleep(retryInterval)
	}
}

// isShortage reports whether an error says that the process or the host is short of descriptors or memory.
func isShortage(err error) bool {
	for _, shortage := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

func (l *Listener) recordFailure(err error) {
	l.failures.Add(1)
	if l.failingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		l.logger.Warn("accept fails", zap.String("step", "accept"), zap.String("port", l.port), zap.Error(err))
	}
}

func (l *Listener) recordSuccess() {
	if since := l.failingSince.Swap(0); since != 0 {
		l.logger.Info("accept succeeds again", zap.String("port", l.port), zap.Duration("failed_for", time.Since(time.Unix(0, since))))
	}
}
