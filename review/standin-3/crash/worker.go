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
	headerCaller   = "X-Sassafrasnotch-Caller-Service"
)

// task is what a worker does with one request.
type task struct {
	work time.Duration
	// crash means that the worker crashes at the end of the work.
	crash bool
}

// backAfter is the time after a crash in which a worker is back.
const backAfter = 3 * time.Second

// arrival is a request that began to run at a worker.
type arrival struct {
	id, worker, caller string
	at                 time.Time
	machine            *machine // of the worker
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
	once    sync.Once
	// plan returns what to do with a request; nil means short work.
	plan func(path, caller string) task

	mu       sync.Mutex
	sequence uint64
	state    string
	arrivals []arrival
}

func (m *machine) startWorker(id string, slots int, plan func(path, caller string) task) *worker {
	w := &worker{run: m.fleet.run, machine: m, id: id, version: "v1", born: time.Now(), slots: make(chan struct{}, slots), plan: plan, state: "ready"}
	listener, err := net.Listen("tcp", m.appAdress)
	if err != nil {
		w.run.fail("worker: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	m.addWorker(w)
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
	return w.post("/v1/Instances.Heartbeat/"+w.id, body)
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

// crash ends the worker with all its connections at once. It is back after backAfter under another id.
func (w *worker) crash() {
	w.once.Do(func() {
		w.cancel()
		_ = w.server.Close()
		w.run.log("%s: crashed", w.id)
		m := w.machine
		m.crashed(w, time.Now())
		time.AfterFunc(backAfter, func() {
			if !w.run.over.Load() {
				m.startWorker(w.id+"'", cap(w.slots), w.plan)
			}
		})
	})
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
	_, err := io.ReadAll(request.Body)
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
	w.arrivals = append(w.arrivals, arrival{id, w.id, request.Header.Get(headerCaller), time.Now(), w.machine})
	w.mu.Unlock()
	t := task{work: 5 * time.Millisecond}
	if w.plan != nil {
		t = w.plan(request.URL.Path, request.Header.Get(headerCaller))
	}
	if t.crash {
		w.run.log("%s: begins %s (%s %s, caller %s)", w.id, id, request.Method, request.RequestURI, request.Header.Get(headerCaller))
	}
	status := http.StatusOK
	select {
	case <-time.After(t.work):
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
	}
	if t.crash {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	header := writer.Header()
	header.Set(headerID, id)
	header.Set(headerSigned, "signed."+w.id)
	header.Set("Keep-Alive", "timeout=10")
	writer.WriteHeader(status)
	fmt.Fprintf(writer, "answer to %s by %s", id, w.id)
}

// takeArrivals returns the requests that began to run at the worker.
func (w *worker) takeArrivals() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}
