// Package workerserver is a stand-in for a worker of the platform: it sends
// heartbeats to the daemon on its host, signs its answers, says when it did not
// run a request, and records what it ran.
package workerserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sassafrasnotch.example/platform/wire"
)

// The last segments of paths that ask for a broken answer.
const (
	ResponseTruncated = "cut"      // the connection is reset within the body
	ResponseDropped   = "lost"     // the request runs and no answer comes
	ResponseUnsigned  = "unsigned" // a success without the signature
	ResponseExtra     = "extra"    // a second answer follows
	ResponseUnframed  = "unframed" // the end of the connection ends the answer
	ResponseFailed    = "failed"   // the worker's own 500
	ResponseLate      = "late"     // the work takes until it is stopped
)

// Config configures a worker.
type Config struct {
	ID, Service, Version, Zone string
	// Listen is the address for requests, Control that of the daemon.
	Listen, Control string
	Slots           int
	// QueueLimit bounds the requests that wait for a slot.
	QueueLimit   int
	WorkDuration time.Duration
	// AlwaysFail makes the worker answer every request with its own 500.
	AlwaysFail bool
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
}

// ExecutionRecord is one request that the worker ran.
type ExecutionRecord struct {
	RequestID, Method, URI, Body string
	CallerService                string
	// Deadline is the time that the daemon said is left.
	Deadline  time.Duration
	StartedAt time.Time
	// AbortedAt is when the run was given up, because the time was over or the
	// connection closed; it is zero for a run that is not over or came to its end.
	AbortedAt time.Time
}

// Worker is a running worker.
type Worker struct {
	config   Config
	born     time.Time
	server   *http.Server
	listener net.Listener
	slots    chan struct{}
	client   http.Client
	cancel   context.CancelFunc
	beating  sync.WaitGroup

	mu       sync.Mutex
	sequence uint64
	state    string
	runs     []ExecutionRecord
	busy     int
	// leftAt is when the daemon acknowledged that the worker leaves.
	leftAt time.Time
}

// Start runs a worker until Stop.
func Start(config Config) (*Worker, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{
		config:   config,
		born:     time.Now(),
		listener: listener,
		slots:    make(chan struct{}, config.Slots),
		client:   http.Client{Timeout: time.Second},
		cancel:   cancel,
		state:    wire.StateReady,
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	w.beating.Go(func() { w.beat(ctx) })
	return w, nil
}

// Stop ends the worker at once, as a crash does.
func (w *Worker) Stop() {
	w.cancel()
	w.beating.Wait()
	_ = w.server.Close()
}

// Drain tells the daemon that the worker leaves, and returns when that was
// acknowledged. The worker goes on to serve.
func (w *Worker) Drain() error {
	w.mu.Lock()
	w.state = wire.StateDraining
	w.mu.Unlock()
	if err := w.sendHeartbeat(context.Background()); err != nil {
		return err
	}
	w.noteLeft()
	return nil
}

// Deregister tells the daemon that the worker is gone. It goes on to serve.
func (w *Worker) Deregister() error {
	w.cancel()
	w.beating.Wait()
	if err := w.post(context.Background(), wire.PathDeregister, nil); err != nil {
		return err
	}
	w.noteLeft()
	return nil
}

func (w *Worker) noteLeft() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leftAt.IsZero() {
		w.leftAt = time.Now()
	}
}

// ExecutionRecords returns the requests that ran so far.
func (w *Worker) ExecutionRecords() []ExecutionRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs)
}

// ExecutionsAfterLeaving returns the requests that began later than the time after
// the acknowledged departure.
func (w *Worker) ExecutionsAfterLeaving(grace time.Duration) []ExecutionRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var late []ExecutionRecord
	for _, run := range w.runs {
		if !w.leftAt.IsZero() && run.StartedAt.Sub(w.leftAt) > grace {
			late = append(late, run)
		}
	}
	return late
}

// CountExecutionsBetween returns the number of requests that began between two moments.
func (w *Worker) CountExecutionsBetween(from, to time.Time) int {
	count := 0
	for _, run := range w.ExecutionRecords() {
		if run.StartedAt.After(from) && run.StartedAt.Before(to) {
			count++
		}
	}
	return count
}

func (w *Worker) beat(ctx context.Context) {
	ticker := time.NewTicker(w.config.HeartbeatInterval)
	defer ticker.Stop()
	for {
		_ = w.sendHeartbeat(ctx) // the next one follows
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Worker) sendHeartbeat(ctx context.Context) error {
	w.mu.Lock()
	w.sequence++
	sequence := w.sequence
	beat := wire.Heartbeat{
		Service: w.config.Service, Address: w.listener.Addr().String(), Zone: w.config.Zone,
		Version: w.config.Version, Slots: w.config.Slots, State: w.state,
		Sequence: &sequence, BornMs: w.born.UnixMilli(),
	}
	w.mu.Unlock()
	body, err := json.Marshal(beat)
	if err != nil {
		return err
	}
	return w.post(ctx, wire.PathHeartbeat, body)
}

func (w *Worker) post(ctx context.Context, prefix string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.config.Control+prefix+w.config.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("workerserver: %s: status %d", prefix, response.StatusCode)
	}
	return nil
}

// serve runs a request, or says that it did not.
func (w *Worker) serve(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(wire.HeaderRequestID)
	if expected := request.Header.Get(wire.HeaderTargetInstance); expected != "" && expected != w.config.ID {
		writer.Header().Set(wire.HeaderInstanceID, w.config.ID)
		w.reject(writer, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.reject(writer, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	millis, _ := strconv.ParseInt(request.Header.Get(wire.HeaderDeadline), 10, 64)
	deadline := time.Duration(millis) * time.Millisecond
	ctx, cancel := context.WithTimeout(request.Context(), deadline)
	defer cancel()
	if !w.enter(ctx) {
		w.reject(writer, http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	run := w.record(ExecutionRecord{
		RequestID: id, Method: request.Method, URI: request.URL.RequestURI(), Body: string(body),
		CallerService: request.Header.Get(wire.HeaderCallerService), Deadline: deadline, StartedAt: time.Now(),
	})
	status := http.StatusOK
	if !w.work(ctx, request) {
		status = http.StatusGatewayTimeout
		w.stopped(run)
	}
	w.answer(writer, request, id, status)
}

// work takes the time of a request and reports whether it came to its end.
func (w *Worker) work(ctx context.Context, request *http.Request) bool {
	var done <-chan time.Time
	if lastSegment(request) != ResponseLate {
		timer := time.NewTimer(w.config.WorkDuration)
		defer timer.Stop()
		done = timer.C
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func lastSegment(request *http.Request) string { return path.Base(request.URL.Path) }

// enter takes a slot, for which it waits if the queue has room.
func (w *Worker) enter(ctx context.Context) bool {
	w.mu.Lock()
	full := w.busy >= w.config.Slots+w.config.QueueLimit
	if !full {
		w.busy++
	}
	w.mu.Unlock()
	if full {
		return false
	}
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		w.mu.Lock()
		w.busy--
		w.mu.Unlock()
		return false
	}
}

func (w *Worker) leave() {
	<-w.slots
	w.mu.Lock()
	w.busy--
	w.mu.Unlock()
}

// record notes a run and returns its number.
func (w *Worker) record(run ExecutionRecord) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run)
	return len(w.runs) - 1
}

func (w *Worker) stopped(run int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[run].AbortedAt = time.Now()
}

func (w *Worker) reject(writer http.ResponseWriter, status int) {
	writer.Header().Set(wire.HeaderNotExecuted, "1")
	writer.WriteHeader(status)
}

// ResponseBody is the body of the answer to a request.
func ResponseBody(requestID string) string { return "done " + requestID + strings.Repeat(".", 4000) }

func (w *Worker) answer(writer http.ResponseWriter, request *http.Request, id string, status int) {
	header := writer.Header()
	header.Set(wire.HeaderRequestID, id)
	header.Set(wire.HeaderSignature, "signed-"+w.config.ID)
	header.Set("Keep-Alive", "timeout=10")
	body := ResponseBody(id)
	switch kind := lastSegment(request); kind {
	case ResponseDropped:
		panic(http.ErrAbortHandler)
	case ResponseTruncated:
		header.Set("Content-Length", strconv.Itoa(len(body)))
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body[:len(body)/2])
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	case ResponseUnsigned:
		header.Del(wire.HeaderSignature)
	case ResponseExtra, ResponseUnframed:
		w.writeRaw(writer, status, id, kind)
		return
	case ResponseFailed:
		status = http.StatusInternalServerError
	}
	if w.config.AlwaysFail {
		status = http.StatusInternalServerError
	}
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, body)
}

// writeRaw writes answers that net/http would not.
func (w *Worker) writeRaw(writer http.ResponseWriter, status int, id, kind string) {
	conn, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	times, length := 1, ""
	if kind == ResponseExtra {
		times, length = 2, fmt.Sprintf("Content-Length: %d\r\n", len(ResponseBody(id)))
	}
	for range times {
		fmt.Fprintf(buffer, "HTTP/1.1 %d Status\r\n%s: %s\r\n%s: signed-%s\r\n%s\r\n%s",
			status, wire.HeaderRequestID, id, wire.HeaderSignature, w.config.ID, length, ResponseBody(id))
	}
	_ = buffer.Flush()
	if kind == ResponseExtra {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = buffer.ReadByte() // held open until the daemon closes it
	}
}
