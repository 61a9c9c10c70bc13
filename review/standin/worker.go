package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	ackTimeout        = time.Second
)

// worker is a stand-in for the worker of a machine. It sends heartbeats to the daemon beside it and hands
// each connection to serve.
type worker struct {
	id, version string
	slots       int
	machine     *machine
	listener    net.Listener
	born        int64
	record      *record

	mu       sync.Mutex
	sequence int
	state    string
	conns    map[net.Conn]bool
	// garbles is set while the worker spoils answers; garbled of its answers since then were spoiled.
	garbles          bool
	garbled, answers int

	ctx    context.Context
	cancel context.CancelFunc
	beats  sync.WaitGroup
}

func startWorker(m *machine, id string, slots int, rec *record, serve func(*worker, net.Conn)) (*worker, error) {
	listener, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, version: "v1", slots: slots, machine: m, listener: listener, born: time.Now().UnixMilli(), record: rec, state: "ready", conns: map[net.Conn]bool{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
			go serve(w, conn)
		}
	}()
	w.beats.Go(func() {
		for {
			body := w.heartbeat()
			w.post(w.ctx, "Heartbeat", body)
			select {
			case <-w.ctx.Done():
				return
			case <-time.After(heartbeatInterval):
			}
		}
	})
	return w, nil
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return mustJSON(map[string]any{
		"Service": w.machine.service, "Address": w.machine.app, "Zone": w.machine.zone, "Version": w.version, "Slots": w.slots,
		"State": w.state, "ColdRemainingMs": 0, "Sequence": w.sequence, "born": w.born,
	})
}

// post sends a call about the worker to the daemon beside it, and reports whether it is acknowledged.
func (w *worker) post(ctx context.Context, call string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/Instances.%s/%s", w.machine.control, call, w.id), bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// stopBeats ends the heartbeats.
func (w *worker) stopBeats() {
	w.cancel()
	w.beats.Wait()
}

// exit ends the worker: its port and all its connections are closed.
func (w *worker) exit() {
	w.stopBeats()
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		conn.Close()
	}
}
