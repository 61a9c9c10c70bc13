package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// unnamedFor, unnamedShare: "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0 in the site file;
	// one of three workers garbles.
	unnamedFor   = 5 * time.Second
	unnamedShare = 0.03
	strayBody    = "stray bytes"
)

// unnamedAnswer: a worker sends additional bytes after a complete answer, late. They look like an answer, but
// name no request.
func unnamedAnswer(root string, rec *record, trouble bool) (int, error) {
	f, err := newFleet(root, rec, []string{"orders", "orders", "orders"}, config{
		Version:  "00000001",
		Routes:   []route{{Name: "r-orders", Host: earlyHost, PathPrefix: "/orders/", Kind: "unsafe", TimeoutMs: 2000, TargetLatencyMs: 500, Priority: 1, Service: "orders", MaxAttempts: 2}},
		Services: []service{{Name: "orders", HealthPath: "/health", MaxConnections: 130, Protocol: "h1"}},
		Limits:   sameLimits,
	})
	if err != nil {
		return couldntRun, err
	}
	defer f.stop()
	var first *worker
	for i, m := range f.machines {
		w, err := startWorker(m, fmt.Sprintf("i-%08x", 0x61c0de00+i), 12, rec, serveWithStrayBytes)
		if err != nil {
			return couldntRun, err
		}
		defer w.exit()
		if i == 0 {
			first = w
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return couldntRun, err
	}
	var mu sync.Mutex
	foreign := 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range orderClients {
		clients.Go(func() {
			m := f.machines[i%len(f.machines)]
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(orderPause):
				}
				id := fmt.Sprintf("order-%d-%d", i, n)
				status, body, err := orderOnce(m, id)
				rec.add("%s at %s: answer %d %.80q (%v)", id, m.name, status, body, err)
				if status == http.StatusOK && err == nil && body != "done "+id {
					rec.add("BROKEN (MIXED): %s got a success with the body %q; its worker's whole body is %q", id, body, "done "+id)
					mu.Lock()
					foreign++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		first.startGarbling()
		rec.add("worker %s garbles from here on, for %v", first.id, unnamedFor)
	}
	time.Sleep(unnamedFor)
	first.stopGarbling()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	rec.add("%d requesters got a success that isn't their worker's answer; %s", foreign, first.garbledShare())
	if foreign > 0 {
		return broken, nil
	}
	return held, nil
}

// orderOnce sends an order on a new connection and returns its answer.
func orderOnce(m *machine, id string) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	sendOrder(conn, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	var text strings.Builder
	_, err = io.Copy(&text, response.Body)
	return response.StatusCode, text.String(), err
}

// serveWithStrayBytes serves one connection of a worker. While the worker garbles, some complete answers are
// followed by additional bytes, which come when the next request is there.
func serveWithStrayBytes(w *worker, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(headerID)
		if request.Header.Get(headerTarget) != w.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, id, headerInstance, w.id)
			continue
		}
		if served > 0 && w.mayGarble(unnamedShare) {
			w.record.add("worker %s: additional bytes after the answer before, as %s arrives; %s", w.id, id, w.garbledShare())
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: signed-%s\r\nContent-Length: %d\r\n\r\n%s", headerSignature, w.id, len(strayBody), strayBody)
		}
		w.record.add("worker %s runs %s", w.id, id)
		time.Sleep(10 * time.Millisecond)
		w.countAnswer()
		body := "done " + id
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed-%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSignature, w.id, len(body), body)
	}
}
