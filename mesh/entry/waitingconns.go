package entry

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/connstate"
)

// waitingConns holds the caller connections that wait for a request or read the header of
// one. The limits on both follow the configuration; those of a running http.Server cannot
// change.
type waitingConns struct {
	mu       sync.Mutex
	conns    map[net.Conn]*waitingConn
	order    *list.List // of net.Conn, the longest waiting one first
	stopping bool
}

// Bounds of the search for a connection to close when there are too many.
const (
	// minSpareWait is the time for which a connection has waited before it is closed for another one: a
	// shorter wait is that of a caller between two requests.
	minSpareWait = time.Second
	// maxSpareChecks is the number of connections that are looked at.
	maxSpareChecks = 16
)

type waitingConn struct {
	position   *list.Element
	since      time.Time
	usedBefore bool // by an earlier request
	expired    bool
}

func newWaitingConns() *waitingConns {
	return &waitingConns{conns: make(map[net.Conn]*waitingConn), order: list.New()}
}

// track implements http.Server.ConnState.
func (w *waitingConns) track(conn net.Conn, state http.ConnState) {
	if counted, ok := conn.(*countedConn); ok {
		counted.account.Track(state)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if state != http.StateNew && state != http.StateIdle {
		if waiting := w.conns[conn]; waiting != nil && waiting.expired && state == http.StateActive {
			_ = conn.SetReadDeadline(time.Time{}) // the request was read just as the connection expired
		}
		w.remove(conn)
		return
	}
	if state == http.StateNew && w.stopping {
		_ = conn.Close()
		return
	}
	if counted, ok := conn.(*countedConn); ok {
		counted.headerStart.Store(0)
	}
	w.remove(conn)
	w.conns[conn] = &waitingConn{position: w.order.PushBack(conn), since: time.Now(), usedBefore: state == http.StateIdle}
}

// remove forgets a connection that no longer waits, if it did. The caller holds mu.
func (w *waitingConns) remove(conn net.Conn) {
	if waiting := w.conns[conn]; waiting != nil {
		w.order.Remove(waiting.position)
		delete(w.conns, conn)
	}
}

// closeLongest closes the connection that has waited longest for a request, and reports whether there was
// one that can be spared: one that has waited for minSpareWait and on which no byte of a request has
// arrived.
func (w *waitingConns) closeLongest(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	checked := 0
	for element := w.order.Front(); element != nil && checked < maxSpareChecks; element = element.Next() {
		conn := element.Value.(net.Conn)
		if now.Sub(w.conns[conn].since) < minSpareWait {
			return false
		}
		checked++
		counted, ok := conn.(*countedConn)
		if !ok || counted.headerStart.Load() != 0 || connstate.Readable(counted.Conn) {
			continue
		}
		w.remove(conn)
		_ = conn.Close()
		return true
	}
	return false
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
