package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerID       = "X-Sassafrasnotch-Request-Id"
	headerDeadline = "X-Sassafrasnotch-Deadline-Ms"
	headerTarget   = "X-Sassafrasnotch-Target-Instance"
	headerInstance = "X-Sassafrasnotch-Instance-Id"
	headerNotRun   = "X-Sassafrasnotch-Not-Executed"
	headerSigned   = "X-Sassafrasnotch-Server-Signature"
)

// task is what a worker does with one request.
type task struct {
	work time.Duration
	// loseAnswer means that the worker resets the connection in place of its answer.
	loseAnswer bool
}

// arrival is a request that began to run at a worker.
type arrival struct {
	id, worker, target string // the target as it stands in the request line
	at                 time.Time
}

// worker is a stand-in for a worker of the platform.
type worker struct {
	run     *run
	machine *machine
	id      string
	version string
	born    time.Time
	slots   chan struct{}
	server  *http.Server
	cancel  context.CancelFunc
	// plan returns what to do with a request; nil means short work.
	plan func(id string) task

	mu       sync.Mutex
	sequence uint64
	state    string
	ackedAt  time.Time // of the word that the worker leaves
	arrivals []arrival
}

func (m *machine) startWorker(id string, slots int, plan func(id string) task) *worker {
	w := &worker{run: m.fleet.run, machine: m, id: id, version: "v1", born: time.Now(), slots: make(chan struct{}, slots), plan: plan, state: "ready"}
	listener, err := net.Listen("tcp", m.appAdress)
	if err != nil {
		w.run.fail("worker: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel, m.worker = cancel, w
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat(ctx)
	return w
}

// beat sends heartbeats until the context ends.
func (w *worker) beat(ctx context.Context) {
	ticker := time.NewTicker(870 * time.Millisecond)
	defer ticker.Stop()
	for {
		_ = w.sendHeartbeat()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendHeartbeat reports whether the heartbeat was acknowledged.
func (w *worker) sendHeartbeat() bool {
	w.mu.Lock()
	w.sequence++
	state := w.state
	body, _ := json.Marshal(map[string]any{
		"Service": w.machine.service, "Address": w.machine.appAdress, "Zone": w.machine.zone, "Version": w.version,
		"Slots": cap(w.slots), "State": state, "ColdRemainingMs": 0, "Sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	acked := w.post("/v1/Instances.Heartbeat/"+w.id, body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if acked && state == "draining" && w.ackedAt.IsZero() {
		w.ackedAt = time.Now()
		w.run.log("%s: draining acknowledged", w.id)
	}
	return acked
}

func (w *worker) post(path string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+w.machine.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

// drain reports that the worker leaves until that is acknowledged; it goes on serving.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.run.log("%s: reports draining", w.id)
	for end := time.Now().Add(5 * time.Second); !w.sendHeartbeat(); time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			w.run.fail("%s: draining not acknowledged", w.id)
		}
	}
}

// stop ends the worker.
func (w *worker) stop() {
	w.cancel()
	_ = w.server.Close()
	w.run.log("%s: worker ended", w.id)
}

func (w *worker) serve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		writer.Header().Set(headerInstance, w.id)
		w.mu.Lock()
		leaving := w.state != "ready"
		w.mu.Unlock()
		if leaving {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := request.Header.Get(headerID)
	writer.Header().Set(headerID, id)
	if id == "" {
		writer.Header().Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := request.Header.Get(headerTarget); target != "" && target != w.id {
		writer.Header().Set(headerInstance, w.id)
		writer.Header().Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	millis, _ := strconv.Atoi(request.Header.Get(headerDeadline))
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(millis)*time.Millisecond)
	defer cancel()
	select {
	case w.slots <- struct{}{}:
	default:
		writer.Header().Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{id, w.id, request.RequestURI, time.Now()})
	w.mu.Unlock()
	t := task{work: 5 * time.Millisecond}
	if w.plan != nil {
		t = w.plan(id)
	}
	w.run.log("%s: runs %s (%s %s, %d bytes, deadline %d ms) for %v, answer lost %v", w.id, id, request.Method, request.RequestURI, len(body), millis, t.work, t.loseAnswer)
	status := http.StatusOK
	select {
	case <-time.After(t.work):
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
		w.run.log("%s: %s ended early: %v", w.id, id, ctx.Err())
	}
	if t.loseAnswer {
		w.run.log("%s: ran %s to its end; the answer is lost with a reset", w.id, id)
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
		return
	}
	header := writer.Header()
	header.Set(headerID, id)
	header.Set(headerSigned, "signed."+w.id)
	header.Set("Keep-Alive", "timeout=10")
	writer.WriteHeader(status)
	fmt.Fprintf(writer, "answer to %s by %s", id, w.id)
}

// arrivalsOf returns the requests that began to run.
func (w *worker) allArrivals() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}
