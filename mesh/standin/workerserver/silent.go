package workerserver

import (
	"context"
	"net"
	"net/http"
)

// silence is what a worker with Config.SilentWhenFull has left without a response. Worker.mu guards it.
type silence struct {
	conns    []net.Conn
	mostHeld int
}

// runContext returns the context of a run. A worker that falls silent when full does not notice that a
// connection is closed.
func (w *Worker) runContext(request *http.Request) context.Context {
	if w.config.SilentWhenFull {
		return context.WithoutCancel(request.Context())
	}
	return request.Context()
}

// fallsSilent reports whether a request that got no slot gets no response: it was not queued.
func (w *Worker) fallsSilent(ctx context.Context) bool {
	return w.config.SilentWhenFull && ctx.Err() == nil
}

// keepSilent keeps the connection open until the worker stops, and reads and writes nothing more.
func (w *Worker) keepSilent(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silence.conns = append(w.silence.conns, conn)
}

func (w *Worker) closeSilent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.silence.conns {
		_ = conn.Close()
	}
}

// UnansweredRequests returns the number of requests that the worker had no room for and never responded to.
func (w *Worker) UnansweredRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.silence.conns)
}

// MostHeld returns the largest number of requests that the worker ran or queued at one time.
func (w *Worker) MostHeld() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silence.mostHeld
}
