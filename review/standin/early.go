package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID        = "X-Sassafrasnotch-Request-Id"
	headerDeadline  = "X-Sassafrasnotch-Deadline-Ms"
	headerSignature = "X-Sassafrasnotch-Server-Signature"
	headerTarget    = "X-Sassafrasnotch-Target-Instance"
	headerNotRun    = "X-Sassafrasnotch-Not-Executed"
	headerInstance  = "X-Sassafrasnotch-Instance-Id"
)

const (
	earlyHost      = "orders.example"
	earlyBodyBytes = 6 << 20
	// garbleFor is how long a worker garbles: "for_s" of the site file.
	garbleFor = 5500 * time.Millisecond
	// longBody is the length from which on a worker may answer before it has read a body.
	longBody = 1 << 20
	// blockBytes is the length of one recorded request in the uploaded journal.
	blockBytes = 32 << 10
	// earlyShare is the largest part of its answers in that time that a garbling worker spoils: "x = 0.02" of the
	// site file; one of three workers does so ("share = 0.35").
	earlyShare = 0.02
	// orderPause is the pause of each of orderClients requesters between two ordinary orders.
	orderPause   = 20 * time.Millisecond
	orderClients = 6
	// earlyUploads long requests are sent, with earlyPause before each, all while the worker garbles.
	earlyUploads = 3
	earlyPause   = 1300 * time.Millisecond
)

// executions records the requests that the workers ran.
type executions struct {
	mu  sync.Mutex
	ids []string
}

func (e *executions) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ids = append(e.ids, id)
}

// uploadBody returns the body of an upload: in the first round lines of an order list, later a journal of
// recorded requests, as text.
func uploadBody(round int) []byte {
	var body bytes.Buffer
	for i := 0; body.Len() < earlyBodyBytes; i++ {
		if round == 0 {
			fmt.Fprintf(&body, "%08d;swan, large;1;quay 4\n", i)
			continue
		}
		head := fmt.Sprintf("POST /orders/recorded HTTP/1.1\r\nHost: %s\r\n%s: recorded-%d-%d\r\n%s: 1000\r\nContent-Length: 0\r\nX-Note: ", earlyHost, headerID, round, i, headerDeadline)
		note := strings.Repeat("-", 400)
		head += note + "\r\n\r\n"
		body.WriteString(strings.Replace(head, "Content-Length: 0", fmt.Sprintf("Content-Length: %05d", blockBytes-len(head)-4), 1))
		body.WriteString(strings.Repeat("o", blockBytes-len(head)-4))
	}
	return body.Bytes()[:earlyBodyBytes]
}

// earlyAnswer: a worker answers a long request before it has read its body, keeps the connection and reads
// on. The requester sends its body to the end and then its next request on the same connection.
func earlyAnswer(root string, rec *record, trouble bool) (int, error) {
	f, err := newFleet(root, rec, []string{"orders", "orders", "orders"}, config{
		Version:  "00000001",
		Routes:   []route{{Name: "r-orders", Host: earlyHost, PathPrefix: "/orders/", Kind: "unsafe", TimeoutMs: 5000, TargetLatencyMs: 500, Priority: 1, Service: "orders", MaxAttempts: 2}},
		Services: []service{{Name: "orders", HealthPath: "/health", MaxConnections: 130, Protocol: "h1"}},
		Limits:   sameLimits,
	})
	if err != nil {
		return couldntRun, err
	}
	defer f.stop()
	var ran executions
	var first *worker
	for i, m := range f.machines {
		w, err := startWorker(m, fmt.Sprintf("i-%08x", 0x7f3a9100+i), 12, rec, func(w *worker, conn net.Conn) { serveOrders(w, conn, &ran) })
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
	var sent, stop = &sync.Map{}, make(chan struct{})
	var clients sync.WaitGroup
	var foreign atomic.Int64
	for i := range orderClients {
		clients.Go(func() { placeOrders(f.machines[i%len(f.machines)], i, sent, &foreign, rec, stop) })
	}
	time.Sleep(6 * time.Second) // more than StabilityWindowMs: all machines are in touch
	if trouble {
		first.startGarbling()
		rec.add("worker %s garbles from here on, for %v", first.id, garbleFor)
		time.AfterFunc(garbleFor, func() {
			first.stopGarbling()
			rec.add("worker %s garbles no more", first.id)
		})
	}
	var uploads sync.WaitGroup
	for round := range earlyUploads {
		time.Sleep(earlyPause)
		uploads.Go(func() {
			long, next := fmt.Sprintf("upload-%d", round), fmt.Sprintf("order-after-upload-%d", round)
			sent.Store(long, true)
			sent.Store(next, true)
			for _, problem := range uploadAndOrder(f.machines[0], long, next, uploadBody(round), rec) {
				rec.add("BROKEN (MIXED): %s", problem)
				foreign.Add(1)
			}
		})
	}
	uploads.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	unasked := 0
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for _, id := range ran.ids {
		if _, ok := sent.Load(id); !ok {
			unasked++
			rec.add("BROKEN (UNASKED): a worker ran request %s, which no requester sent", id)
		}
	}
	rec.add("%d requests were run that no requester sent (UNASKED); %d answers were not to the request that waited (MIXED)", unasked, foreign.Load())
	if unasked > 0 || foreign.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// placeOrders sends ordinary orders on one connection until stop is closed.
func placeOrders(m *machine, client int, sent *sync.Map, foreign *atomic.Int64, rec *record, stop chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	var none atomic.Int64
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(orderPause):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", m.outbound, time.Second); err != nil {
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("order-%d-%d", client, i)
		sent.Store(id, true)
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		sendOrder(conn, id)
		closes, problem := readAnswer(reader, id, m, &none, rec)
		if problem != "" && problem != closedEarly {
			rec.add("BROKEN (MIXED): %s", problem)
			foreign.Add(1)
		}
		if closes {
			conn.Close()
			conn = nil
		}
	}
}

func sendOrder(conn net.Conn, id string) {
	fmt.Fprintf(conn, "POST /orders/place HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2000\r\nContent-Length: 5\r\n\r\norder", earlyHost, headerID, id, headerDeadline)
}

// uploadAndOrder sends a long request and then a short one on one connection. It returns what is wrong with
// the answers.
func uploadAndOrder(m *machine, first, second string, body []byte, rec *record) (problems []string) {
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		rec.add("%s: no connection to %s: %v", first, m.name, err)
		return nil
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(8 * time.Second))
	rec.add("%s sent to %s: POST with a body of %d bytes", first, m.name, len(body))
	var uploaded atomic.Int64
	done := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(conn, "POST /orders/upload HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\nContent-Length: %d\r\n\r\n", earlyHost, headerID, first, headerDeadline, len(body))
		for len(body) > 0 && err == nil {
			var n int
			n, err = conn.Write(body[:min(len(body), 64<<10)])
			uploaded.Add(int64(n))
			body = body[n:]
		}
		done <- err
	}()
	reader := bufio.NewReader(conn)
	closes, problem := readAnswer(reader, first, m, &uploaded, rec)
	if problem != "" {
		return []string{problem}
	}
	if closes {
		return nil // a sound requester doesn't use the connection again
	}
	if err := <-done; err != nil {
		rec.add("the rest of the body of %s couldn't be sent: %v", first, err)
		return nil
	}
	rec.add("the body of %s is sent whole; %s is sent on the same connection", first, second)
	sendOrder(conn, second)
	for range 3 {
		closes, problem = readAnswer(reader, second, m, &uploaded, rec)
		if problem == "" || problem == closedEarly {
			break
		}
		problems = append(problems, problem)
		if closes {
			break
		}
	}
	return problems
}

const closedEarly = "closed"

// readAnswer reads the next answer on the connection and compares it with the request that waits.
func readAnswer(reader *bufio.Reader, id string, m *machine, uploaded *atomic.Int64, rec *record) (closes bool, problem string) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		rec.add("%s at %s: no answer: %v", id, m.name, err)
		return true, closedEarly
	}
	content, err := io.ReadAll(response.Body)
	answered := response.Header.Get(headerID)
	rec.add("%s at %s: answer %d with id %q, signature %q, Connection: close %v, after %d bytes of the body were sent: %.60q (%v)", id, m.name, response.StatusCode,
		answered, response.Header.Get(headerSignature), response.Close, uploaded.Load(), content, err)
	if answered != id {
		return response.Close, fmt.Sprintf("%s waited and got an answer %d with the id %q", id, response.StatusCode, answered)
	}
	return response.Close, ""
}

// serveOrders serves one connection of a worker. A garbling worker answers some long requests before it has
// read their bodies, says that it did not run them, and reads on.
func serveOrders(w *worker, conn net.Conn, ran *executions) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(headerID)
		answer := func(status int, fields, body string) {
			w.countAnswer()
			fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headerID, id, fields, len(body), body)
		}
		switch {
		case request.Header.Get(headerTarget) != w.id:
			io.Copy(io.Discard, request.Body)
			answer(http.StatusMisdirectedRequest, headerInstance+": "+w.id+"\r\n", "")
			continue
		case request.ContentLength >= longBody && w.mayGarble(earlyShare):
			w.record.add("worker %s: %s rejected before its body is read (503, not run), %s", w.id, id, w.garbledShare())
			answer(http.StatusServiceUnavailable, headerNotRun+": 1\r\n", "")
			time.Sleep(300 * time.Millisecond)
			n, err := io.Copy(io.Discard, request.Body)
			w.record.add("worker %s: read on %d bytes of the body of %s (%v)", w.id, n, id, err)
			if err != nil {
				return
			}
			continue
		}
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			return
		}
		ran.add(id)
		w.record.add("worker %s runs %s %s %s, body of %d bytes", w.id, id, request.Method, request.URL, n)
		time.Sleep(20 * time.Millisecond)
		answer(http.StatusOK, headerSignature+": signed-"+w.id+"\r\n", "done "+id)
	}
}

// startGarbling makes the worker garble until stopGarbling.
func (w *worker) startGarbling() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.garbles, w.garbled, w.answers = true, 0, 0
}

func (w *worker) stopGarbling() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.garbles = false
}

func (w *worker) countAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers++
}

// mayGarble reports whether the worker garbles and one more spoiled answer stays within the share, and counts it.
func (w *worker) mayGarble(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.garbles || float64(w.garbled+1) > share*float64(w.answers) {
		return false
	}
	w.garbled++
	return true
}

// garbledShare tells how many of the answers since startGarbling are spoiled.
func (w *worker) garbledShare() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("spoiled answer %d of %d while it garbles", w.garbled, w.answers)
}
