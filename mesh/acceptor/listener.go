package acceptor

import (
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/limitedconn"
)

// retryInterval is the time between a failed accept and the next one.
const retryInterval = 10 * time.Millisecond

// Listener is the listener of one port.
type Listener struct {
	net.Listener
	limit    *limitedconn.Limit
	port     string
	logger   *zap.Logger
	failures atomic.Uint64
	// failingSince is when the first accept failed after the last one that succeeded, in Unix
	// nanoseconds; 0 while accepts succeed.
	failingSince atomic.Int64
}

// OnFull sets the function that closes a connection of the port that can be spared, and reports whether
// there was one. It must be called before Accept.
func (l *Listener) OnFull(makeRoom func() bool) { l.limit.MakeRoom = makeRoom }

// Accept implements net.Listener. A connection beyond the budget is closed at once: in the queue of the
// kernel its caller would wait for nothing. After an error that says that the process or the host is short
// of descriptors or memory, Accept tries again until it succeeds, since a server ends or pauses on an
// error.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.recordSuccess()
			if l.limit.Acquire() {
				return l.limit.Wrap(conn), nil
			}
			_ = conn.Close()
			continue
		}
		if !limitedconn.IsShortage(err) {
			return nil, err
		}
		l.recordFailure(err)
		if l.limit.MakeRoom != nil {
			l.limit.MakeRoom()
		}
		time.Sleep(retryInterval)
	}
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
