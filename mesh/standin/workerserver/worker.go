// Package workerserver is a stand-in for a worker of the platform: it sends heartbeats to the
// daemon on its host, signs its responses, marks the responses to requests that it did not run,
// and records the requests that it ran.
package workerserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sassafrasnotch.example/platform/wire"
)

// Last segments of paths that request a faulty response.
const (
	ResponseTruncated = "cut"      // the connection is aborted within the body
	ResponseDropped   = "lost"     // the request runs and no response is sent
	ResponseUnsigned  = "unsigned" // a successful response without the signature
	ResponseExtra     = "extra"    // a second response follows
	ResponseUnframed  = "unframed" // the end of the connection delimits the body
	ResponseFailed    = "failed"   // the worker's own status 500
	ResponseLate      = "late"     // the request runs until it is aborted
)

// Config configures a worker.
type Config struct {
	ID, Service, Version, Zone string
	// Listen is the address for requests, Control the address of the daemon.
	Listen, Control string
	// Slots bounds the requests that run at once.
	Slots int
	// QueueLimit bounds the requests that wait for a slot.
	QueueLimit int
	// WorkDuration is the time that a request runs.
	WorkDuration time.Duration
	// SilentWhenFull makes the worker never respond to a request that it has no room for, nor to later ones
	// on that connection, and hold the others until they have run or their deadline has passed in the
	// queue, though their connections are closed.
	SilentWhenFull bool
	// AlwaysFail makes the worker respond to every request with its own status 500.
	AlwaysFail bool
	// RespondRaw, if not nil, is called for each request before its body is read. If the function that it returns is
	// not nil, that one responds on the connection, which is closed when it returns.
	RespondRaw func(request *http.Request) func(conn *net.TCPConn)
	// ColdDuration is the time for which the worker is cold after its start.
	ColdDuration time.Duration
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
}

// ExecutionRecord is one request that the worker ran.
type ExecutionRecord struct {
	RequestID, Method, URI, Body string
	CallerService                string
	// Authorization holds the values of that field, Tenant those of the fields that state the tenant.
	Authorization, Tenant []string
	// Deadline is the remaining time that the daemon stated.
	Deadline  time.Duration
	StartedAt time.Time
	// AbortedAt is when the run was aborted because its deadline passed or the connection
	// closed; it is zero for a run that is in progress or ran to its end.
	AbortedAt time.Time
}

// Worker is a running worker.
type Worker struct {
	config     Config
	startedAt  time.Time
	server     *http.Server
	listener   net.Listener
	slots      chan struct{}
	client     http.Client
	cancel     context.CancelFunc
	heartbeats sync.WaitGroup

	mu          sync.Mutex
	sequence    uint64
	state       string
	executions  []ExecutionRecord
	outstanding int
	left        bool // Drain or Deregister was called
	coldUntil   time.Time
	silence     silence
	// leavingAcknowledgedAt is when the daemon acknowledged that the worker leaves.
	leavingAcknowledgedAt time.Time
}

// Start starts a worker that runs until Stop.
func Start(config Config) (*Worker, error) {
	listener, err := listen(config.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{
		config:    config,
		startedAt: time.Now(),
		listener:  listener,
		slots:     make(chan struct{}, config.Slots),
		client:    http.Client{Timeout: time.Second},
		cancel:    cancel,
		state:     wire.StateReady,
	}
	w.coldUntil = w.startedAt.Add(config.ColdDuration)
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	w.heartbeats.Go(func() { w.sendHeartbeats(ctx) })
	return w, nil
}

// releaseTimeout bounds the time for which the address of a worker that was stopped may still be in use.
const releaseTimeout = time.Second

// listen waits for an address that is in use: a child process that has been forked and not yet executed its program
// holds a copy of the listener of an earlier worker.
func listen(address string) (net.Listener, error) {
	for deadline := time.Now().Add(releaseTimeout); ; time.Sleep(time.Millisecond) {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// Stop ends the worker at once, as a crash does.
func (w *Worker) Stop() {
	w.cancel()
	w.heartbeats.Wait()
	_ = w.server.Close()
	w.closeSilent()
}

// Drain reports to the daemon that the worker leaves, and returns when the daemon has
// acknowledged it. The worker continues to serve requests.
func (w *Worker) Drain() error {
	w.mu.Lock()
	w.state, w.left = wire.StateDraining, true
	w.mu.Unlock()
	if err := w.sendHeartbeat(context.Background()); err != nil {
		return err
	}
	w.recordLeaving()
	return nil
}

// Deregister stops the heartbeats and removes the worker from the daemon. The worker continues
// to serve requests.
func (w *Worker) Deregister() error {
	w.cancel()
	w.heartbeats.Wait()
	w.mu.Lock()
	w.left = true
	w.mu.Unlock()
	if err := w.post(context.Background(), wire.PathDeregister, nil); err != nil {
		return err
	}
	w.recordLeaving()
	return nil
}

func (w *Worker) recordLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leavingAcknowledgedAt.IsZero() {
		w.leavingAcknowledgedAt = time.Now()
	}
}

// ExecutionRecords returns the requests that ran so far.
func (w *Worker) ExecutionRecords() []ExecutionRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.executions)
}

// ExecutionsAfterLeaving returns the requests that started later than grace after the daemon
// acknowledged that the worker leaves.
func (w *Worker) ExecutionsAfterLeaving(grace time.Duration) []ExecutionRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var late []ExecutionRecord
	for _, run := range w.executions {
		if !w.leavingAcknowledgedAt.IsZero() && run.StartedAt.Sub(w.leavingAcknowledgedAt) > grace {
			late = append(late, run)
		}
	}
	return late
}

func (w *Worker) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(w.config.HeartbeatInterval)
	defer ticker.Stop()
	for {
		_ = w.sendHeartbeat(ctx) // a failed heartbeat is followed by the next one
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Worker) sendHeartbeat(ctx context.Context) error {
	body, err := w.nextHeartbeat()
	if err != nil {
		return err
	}
	return w.post(ctx, wire.PathHeartbeat, body)
}

// DelayedHeartbeat makes a heartbeat and returns the function that delivers it.
func (w *Worker) DelayedHeartbeat() (deliver func() error, err error) {
	body, err := w.nextHeartbeat()
	return func() error { return w.post(context.Background(), wire.PathHeartbeat, body) }, err
}

func (w *Worker) nextHeartbeat() ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	cold := w.coldRemaining().Milliseconds()
	return json.Marshal(wire.Heartbeat{
		Service: w.config.Service, Address: w.listener.Addr().String(), Zone: w.config.Zone,
		Version: w.config.Version, Slots: w.config.Slots, State: w.state,
		Sequence: &w.sequence, BornMs: w.startedAt.UnixMilli(), ColdRemainingMs: &cold,
	})
}

func (w *Worker) post(ctx context.Context, pathPrefix string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.config.Control+pathPrefix+w.config.ID, bytes.NewReader(body))
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
		return fmt.Errorf("workerserver: %s: status %d", pathPrefix, response.StatusCode)
	}
	return nil
}

// serve runs a request, or responds that it was not run.
func (w *Worker) serve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == HealthPath {
		w.serveHealth(writer, request)
		return
	}
	id := request.Header.Get(wire.HeaderRequestID)
	if expected := request.Header.Get(wire.HeaderTargetInstance); expected != "" && expected != w.config.ID {
		writer.Header().Set(wire.HeaderInstanceID, w.config.ID)
		w.rejectNotExecuted(writer, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.rejectNotExecuted(writer, http.StatusBadRequest)
		return
	}
	if w.config.RespondRaw != nil {
		if respond := w.config.RespondRaw(request); respond != nil {
			w.recordExecution(ExecutionRecord{RequestID: id, Method: request.Method, URI: request.URL.RequestURI(), StartedAt: time.Now()})
			respondOnConn(writer, respond)
			return
		}
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	millis, _ := strconv.ParseInt(request.Header.Get(wire.HeaderDeadline), 10, 64)
	deadline := time.Duration(millis) * time.Millisecond
	ctx, cancel := context.WithTimeout(w.runContext(request), deadline)
	defer cancel()
	if !w.acquireSlot(ctx) {
		if w.fallsSilent(ctx) {
			w.keepSilent(writer)
			return
		}
		w.rejectNotExecuted(writer, http.StatusServiceUnavailable)
		return
	}
	defer w.releaseSlot()
	index := w.recordExecution(ExecutionRecord{
		RequestID: id, Method: request.Method, URI: request.URL.RequestURI(), Body: string(body),
		CallerService: request.Header.Get(wire.HeaderCallerService), Deadline: deadline, StartedAt: time.Now(),
		Authorization: request.Header["Authorization"], Tenant: request.Header[wire.HeaderTenant],
	})
	status := http.StatusOK
	if !w.perform(ctx, request) {
		status = http.StatusGatewayTimeout
		w.recordAbort(index)
	}
	w.respond(writer, request, id, status)
}

// perform waits for the duration of the request and reports whether it ran to its end.
func (w *Worker) perform(ctx context.Context, request *http.Request) bool {
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

// acquireSlot acquires a slot, for which it waits if the queue has room.
func (w *Worker) acquireSlot(ctx context.Context) bool {
	w.mu.Lock()
	full := w.outstanding >= w.config.Slots+w.config.QueueLimit
	if !full {
		w.outstanding++
		w.silence.mostHeld = max(w.silence.mostHeld, w.outstanding)
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
		w.outstanding--
		w.mu.Unlock()
		return false
	}
}

func (w *Worker) releaseSlot() {
	<-w.slots
	w.mu.Lock()
	w.outstanding--
	w.mu.Unlock()
}

// recordExecution appends a record and returns its index.
func (w *Worker) recordExecution(run ExecutionRecord) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions = append(w.executions, run)
	return len(w.executions) - 1
}

func (w *Worker) recordAbort(index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions[index].AbortedAt = time.Now()
}

func (w *Worker) rejectNotExecuted(writer http.ResponseWriter, status int) {
	writer.Header().Set(wire.HeaderNotExecuted, "1")
	writer.WriteHeader(status)
}

// ResponseBody returns the body of the response to a request.
func ResponseBody(requestID string) string { return "done " + requestID + strings.Repeat(".", 4000) }

func (w *Worker) respond(writer http.ResponseWriter, request *http.Request, id string, status int) {
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
	case ResponseEndlessBody, ResponseEndlessChunks, ResponseEndlessHead, ResponseEndlessGarbage:
		writeEndless(writer, kind, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed-%s\r\n", wire.HeaderRequestID, id, wire.HeaderSignature, w.config.ID))
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
