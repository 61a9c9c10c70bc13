package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"sassafrasnotch.example/coord/revision"
)

// waitingConns holds the caller connections that wait for a request or read the header of
// one. The limits on both follow the configuration; those of a running http.Server cannot
// change.
type waitingConns struct {
	mu       sync.Mutex
	conns    map[net.Conn]*waitingConn
	stopping bool
}

type waitingConn struct {
	since      time.Time
	usedBefore bool // by an earlier request
	expired    bool
}

func newWaitingConns() *waitingConns {
	return &waitingConns{conns: make(map[net.Conn]*waitingConn)}
}

// track implements http.Server.ConnState.
func (w *waitingConns) track(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state != http.StateNew && state != http.StateIdle {
		if waiting := w.conns[conn]; waiting != nil && waiting.expired && state == http.StateActive {
			_ = conn.SetReadDeadline(time.Time{}) // the request was read just as the connection expired
		}
		delete(w.conns, conn)
		return
	}
	if state == http.StateNew && w.stopping {
		_ = conn.Close()
		return
	}
	if counted, ok := conn.(*countedConn); ok {
		counted.headerStart.Store(0)
	}
	w.conns[conn] = &waitingConn{since: time.Now(), usedBefore: state == http.StateIdle}
}

// expire ends the connections that have waited for a request, or have read a header, for
// longer than the limits allow. http.Server closes a connection whose read exceeds its
// deadline.
func (w *waitingConns) expire(now time.Time, limits revision.CallerLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn, waiting := range w.conns {
		since, limit := waiting.since, limits.IdleTimeout.Std()
		if counted, ok := conn.(*countedConn); ok {
			if start := counted.headerStart.Load(); start != 0 {
				since, limit = time.Unix(0, start), limits.HeaderTimeout.Std()
			}
		}
		if limit > 0 && now.Sub(since) > limit {
			waiting.expired = true
			_ = conn.SetReadDeadline(pastDeadline)
		}
	}
}

// closeUnused closes the connections that were never used, and those accepted later.
// http.Server.Shutdown would wait five seconds or more for each of them, longer than a stop
// may take.
func (w *waitingConns) closeUnused() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = true
	for conn, waiting := range w.conns {
		if !waiting.usedBefore {
			_ = conn.Close()
		}
	}
}
