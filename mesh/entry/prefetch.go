package entry

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/fieldname"
)

const (
	// maxPrefetches bounds the requests of one connection that are started early.
	maxPrefetches = 8
	// maxTotalPrefetches bounds those of all connections. With maxHeldBody, they hold at most 32 MiB of
	// responses that callers do not read.
	maxTotalPrefetches = 1024
	// maxHeldBody bounds the response body of a request started early that is kept until its turn,
	// in bytes. The response then waits to be read.
	maxHeldBody = 32 << 10
	// heldWriteTimeout bounds the writing of a held response to the caller.
	heldWriteTimeout = 10 * time.Second
)

// prefetch is a request that its caller sent before the response to an earlier one (pipelining,
// RFC 9112, section 9.3.2), started while the earlier one is served. net/http reads requests one
// after the other; when it reaches this one, the response is there or under way. So a slow
// request holds up the responses behind it, but not the work. Only requests that may be repeated
// are started early: the caller sends them again if the connection ends first.
type prefetch struct {
	request *http.Request
	writer  *heldWriter
	conn    *countedConn
	done    chan struct{}
	aborted bool // valid after done is closed
	release func()
}

// startPrefetches starts the whole requests in the buffer, in order, up to the first that can't be
// started early. The caller holds mutex.
func (c *countedConn) startPrefetches() {
	if !c.serving || c.raw || c.closing || c.overLimit || c.readErr != nil || c.entry.keepAlivesDisabled.Load() {
		return
	}
	for len(c.prefetches) < maxPrefetches {
		if c.ahead > len(c.partial)+len(c.buffer) {
			return
		}
		data := append(c.partial[:len(c.partial):len(c.partial)], c.buffer...)[c.ahead:]
		length, form := parseMessage(data)
		if form != messageComplete {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data[:length])))
		if err != nil || fieldname.Check(request.Header) != nil {
			return // the server refuses it when it has its turn
		}
		if request.Close || !request.ProtoAtLeast(1, 1) || !c.entry.mayPrefetch(request) {
			return
		}
		releaseMemory := c.account.Spare(prefetchBytes + headMemory(request))
		if releaseMemory == nil {
			return
		}
		releaseCount := c.entry.acquirePrefetch(request)
		if releaseCount == nil {
			releaseMemory()
			return
		}
		release := func() { releaseMemory(); releaseCount() }
		request.RemoteAddr = c.RemoteAddr().String()
		p := &prefetch{request: request.WithContext(c.ctx), writer: newHeldWriter(c.ctx), conn: c, done: make(chan struct{}), release: release}
		c.prefetches = append(c.prefetches, p)
		c.ahead += length
		go c.entry.runPrefetch(p)
	}
}

// takePrefetch returns the prefetch of the request that net/http has read, or nil if there is none.
// The caller holds mutex.
func (c *countedConn) takePrefetch(request *http.Request) *prefetch {
	if len(c.prefetches) == 0 {
		return nil
	}
	first := c.prefetches[0]
	if first.request.Method != request.Method || first.request.RequestURI != request.RequestURI || first.request.Host != request.Host ||
		!slices.Equal(first.request.Header[headerAuthorization], request.Header[headerAuthorization]) {
		c.entry.deps.Log.Error("pipelined request differs from the one started early; the connection is closed",
			zap.String("step", stepAdmit), zap.String("peer", request.RemoteAddr))
		c.cancel()
		_ = c.Conn.Close()
		return nil
	}
	c.prefetches = c.prefetches[1:]
	return first
}

// mayPrefetch reports whether the request's route allows it to run more than once.
func (e *Entry) mayPrefetch(request *http.Request) bool {
	snapshot := e.deps.Configuration.Snapshot()
	if snapshot == nil {
		return false
	}
	route, ok := snapshot.Match(request.Host, routePath(request.URL))
	return ok && route.Repeat == revision.RepeatIdempotent
}

// runPrefetch serves the request and keeps its response.
func (e *Entry) runPrefetch(p *prefetch) {
	defer close(p.done)
	defer func() {
		if cause := recover(); cause != nil {
			p.aborted = true
			if cause != http.ErrAbortHandler {
				e.deps.Log.Error("panic while serving a request", zap.Any("cause", cause), zap.Stack("stack"))
			}
		}
	}()
	e.serveRequest(p.writer, p.request, p.conn)
}

// replyTo relays the response to the caller, as it comes, and waits for its end.
func (p *prefetch) replyTo(writer http.ResponseWriter, request *http.Request) {
	defer p.release()
	control := http.NewResponseController(writer)
	_ = control.SetWriteDeadline(time.Now().Add(heldWriteTimeout))
	p.writer.attach(writer)
	<-p.done
	p.writer.finish()
	if p.aborted {
		resetOnClose(request.Context())
		panic(http.ErrAbortHandler)
	}
	limitTail(writer)
}

// heldWriter is an http.ResponseWriter that keeps the response until it is attached to the one of
// the caller's connection.
type heldWriter struct {
	ctx    context.Context // of the connection
	header http.Header

	mutex    sync.Mutex
	attached *sync.Cond
	status   int
	body     []byte
	out      http.ResponseWriter // nil until attach
	deadline time.Time
}

func newHeldWriter(ctx context.Context) *heldWriter {
	w := &heldWriter{ctx: ctx, header: make(http.Header)}
	w.attached = sync.NewCond(&w.mutex)
	return w
}

// Header implements http.ResponseWriter.
func (w *heldWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *heldWriter) WriteHeader(status int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.status == 0 {
		w.status = status
		w.relayHead()
	}
}

// Write implements http.ResponseWriter. It blocks while a longer body than maxHeldBody waits for
// its turn.
func (w *heldWriter) Write(p []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.status == 0 {
		w.status = http.StatusOK
		w.relayHead()
	}
	stop := context.AfterFunc(w.ctx, w.attached.Broadcast)
	defer stop()
	for w.out == nil && len(w.body)+len(p) > maxHeldBody && w.ctx.Err() == nil {
		w.attached.Wait()
	}
	if err := w.ctx.Err(); err != nil {
		return 0, err
	}
	if w.out != nil {
		return w.out.Write(p)
	}
	w.body = append(w.body, p...)
	return len(p), nil
}

// Flush implements http.Flusher.
func (w *heldWriter) Flush() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.out != nil {
		_ = http.NewResponseController(w.out).Flush()
	}
}

// SetWriteDeadline is called through an http.ResponseController.
func (w *heldWriter) SetWriteDeadline(deadline time.Time) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.deadline = deadline
	if w.out == nil || deadline.IsZero() {
		return nil // replyTo sets one for the rest
	}
	return http.NewResponseController(w.out).SetWriteDeadline(deadline)
}

// attach relays what was kept, and all that follows at once.
func (w *heldWriter) attach(out http.ResponseWriter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	defer w.attached.Broadcast()
	w.out = out
	w.relayHead()
	if len(w.body) > 0 {
		_, _ = out.Write(w.body)
		w.body = nil
	}
}

// finish relays the head of a response without a body that did not set a status.
func (w *heldWriter) finish() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.status == 0 {
		w.status = http.StatusOK
		w.relayHead()
	}
}

// relayHead copies the head to the attached writer once both are known. The caller holds mutex.
func (w *heldWriter) relayHead() {
	if w.out == nil || w.status == 0 {
		return
	}
	header := w.out.Header()
	for name, values := range w.header {
		header[name] = values
	}
	w.out.WriteHeader(w.status)
}
