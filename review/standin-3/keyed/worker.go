package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Header fields of the system's own interface.
const (
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Deadline-Ms"
	headerKey       = "Idempotency-Key"
)

const beatInterval = time.Second

// run is one request that a worker ran.
type run struct{ ID, Body, Worker string }

// worker is a stand-in for a target: it announces itself to the daemon of its host, reads each request whole, runs it
// and answers.
type worker struct {
	announcement map[string]any
	control      string
	work         time.Duration
	server       *http.Server
	done         chan struct{}

	mu   sync.Mutex
	runs []run
}

// startWorker starts a worker beside a daemon.
func startWorker(d *daemon, id, service, version string, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", d.app)
	if err != nil {
		return nil, err
	}
	w := &worker{
		announcement: map[string]any{"instance": id, "service": service, "version": version, "address": d.app, "slots": 12},
		control:      d.control, work: work, done: make(chan struct{}),
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	return w, nil
}

func (w *worker) stop() {
	close(w.done)
	_ = w.server.Close()
}

// beat announces the worker until it is stopped.
func (w *worker) beat() {
	client := http.Client{Timeout: time.Second}
	body, _ := json.Marshal(w.announcement)
	for {
		response, err := client.Post("http://"+w.control+"/v1/targets", "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		select {
		case <-w.done:
			return
		case <-time.After(beatInterval):
		}
	}
}

func (w *worker) serve(out http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(headerRequestID)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the request never came whole, so that it doesn't run
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{id, string(body), fmt.Sprint(w.announcement["instance"])})
	w.mu.Unlock()
	time.Sleep(w.work)
	fmt.Fprintf(out, "ran %s with %d bytes\n", id, len(body))
}

// allRuns returns what the workers ran.
func allRuns(workers []*worker) []run {
	var runs []run
	for _, w := range workers {
		w.mu.Lock()
		runs = append(runs, w.runs...)
		w.mu.Unlock()
	}
	return runs
}
