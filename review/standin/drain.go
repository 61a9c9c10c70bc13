package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	drainMs           = 2 * time.Second
	stabilityWindowMs = 3 * time.Second
	// killedFor is the time until killed processes are started again.
	killedFor = time.Second
	// heartbeatLate is how late the last heartbeat before the departure arrives.
	heartbeatLate = 3 * time.Second
	// servesOn is how long the worker that left goes on serving before it exits.
	servesOn = 7 * time.Second
	// drainClients send requests one after the other, each with a pause of drainPause.
	drainClients = 9
	drainPause   = 20 * time.Millisecond
)

// arrival is a request at a worker.
type arrival struct {
	id string
	at time.Time
}

// forgottenDeparture: all processes are killed right after a daemon has confirmed that a worker is gone. A
// heartbeat that the worker sent before arrives late.
func forgottenDeparture(root string, rec *record, trouble bool) (int, error) {
	f, err := newFleet(root, rec, []string{"orders", "orders", "orders"}, config{
		Version:  "00000001",
		Routes:   []route{{Name: "r-orders", Host: earlyHost, PathPrefix: "/orders/", Kind: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 250, Priority: 1, Service: "orders", MaxAttempts: 2}},
		Services: []service{{Name: "orders", HealthPath: "/health", MaxConnections: 130, Protocol: "h1"}},
		Limits:   sameLimits,
	})
	if err != nil {
		return couldntRun, err
	}
	defer f.stop()
	var mu sync.Mutex
	arrivals := map[string][]arrival{}
	var workers []*worker
	for i, m := range f.machines {
		w, err := startWorker(m, fmt.Sprintf("i-%08x", 0x31b17400+i), 12, rec, func(w *worker, conn net.Conn) {
			serveWork(w, conn, 80*time.Millisecond, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				arrivals[w.id] = append(arrivals[w.id], arrival{id, time.Now()})
			})
		})
		if err != nil {
			return couldntRun, err
		}
		defer w.exit()
		workers = append(workers, w)
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return couldntRun, err
	}
	answers := newAnswers()
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range drainClients {
		clients.Go(func() { keepOrdering(f.machines[i%3], fmt.Sprintf("order-%d", i), answers, rec, stop) })
	}
	time.Sleep(6 * time.Second)

	leaving := workers[0]
	leaving.stopBeats()
	late := leaving.heartbeat() // sent now, arrives heartbeatLate later
	rec.add("worker %s sends the heartbeat %s; it arrives %v late", leaving.id, late, heartbeatLate)
	sentAt := time.Now()
	time.Sleep(50 * time.Millisecond)
	if !leaving.post(context.Background(), "Deregister", nil) {
		return couldntRun, fmt.Errorf("the deregistration was not confirmed")
	}
	acked := time.Now()
	rec.add("the daemon of %s confirmed that worker %s is gone; the worker goes on serving for %v", leaving.machine.name, leaving.id, servesOn)
	inTouch := acked
	if trouble {
		for _, m := range f.machines {
			m.command.Process.Kill()
		}
		rec.add("all daemons killed (SIGKILL), %v after the confirmation", time.Since(acked))
		for _, m := range f.machines {
			<-m.ended
		}
		time.Sleep(killedFor)
		for _, m := range f.machines {
			if err := f.start(m); err != nil {
				return couldntRun, err
			}
		}
		inTouch = time.Now().Add(stabilityWindowMs)
		for _, w := range workers[1:] {
			w.beats.Go(func() { w.post(w.ctx, "Heartbeat", w.heartbeat()) })
		}
	}
	time.Sleep(time.Until(sentAt.Add(heartbeatLate)))
	for !leaving.post(context.Background(), "Heartbeat", late) && time.Since(acked) < servesOn {
		time.Sleep(100 * time.Millisecond)
	}
	rec.add("the late heartbeat of worker %s has arrived and is confirmed", leaving.id)
	time.Sleep(time.Until(acked.Add(servesOn)))
	leaving.exit()
	rec.add("worker %s exits, %v after its leaving was confirmed", leaving.id, time.Since(acked).Round(time.Millisecond))
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	from := acked.Add(drainMs)
	if inTouch.After(from) {
		from = inTouch
	}
	reached := 0
	for _, a := range arrivals[leaving.id] {
		if a.at.After(from) {
			reached++
			rec.add("BROKEN (DRAIN): request %s reached worker %s %v after its leaving was confirmed, with all machines in touch", a.id, leaving.id, a.at.Sub(acked).Round(time.Millisecond))
		}
	}
	rec.add("answers: %s", answers)
	rec.add("%d requests reached worker %s later than DrainMs (%v) after the confirmation, %v after it and later, with all machines in touch", reached, leaving.id, drainMs, from.Sub(acked).Round(time.Millisecond))
	if reached > 0 {
		return broken, nil
	}
	return held, nil
}

// answers counts what requesters got.
type answers struct {
	mu     sync.Mutex
	counts map[string]int
}

func newAnswers() *answers { return &answers{counts: map[string]int{}} }

func (a *answers) add(kind string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[kind]++
}

func (a *answers) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprint(a.counts)
}

// keepOrdering sends orders on a kept connection until stop is closed, and records what is answered.
func keepOrdering(m *machine, name string, got *answers, rec *record, stop chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(drainPause):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", m.outbound, time.Second); err != nil {
				got.add("no connection")
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("%s-%d", name, i)
		conn.SetDeadline(time.Now().Add(2 * time.Second))
		sendOrder(conn, id)
		response, err := http.ReadResponse(reader, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		if err != nil {
			rec.add("%s at %s: no answer: %v", id, m.name, err)
			got.add("no answer")
			conn.Close()
			conn = nil
			continue
		}
		kind := fmt.Sprintf("%d", response.StatusCode)
		got.add(kind)
		rec.add("%s at %s: %s %.90q", id, m.name, kind, bytes.TrimSpace(body))
		if response.Close {
			conn.Close()
			conn = nil
		}
	}
}

// serveWork serves one connection of a sound worker, whose requests take the time work.
func serveWork(w *worker, conn net.Conn, work time.Duration, begin func(id string)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(headerID)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		status, fields, body := http.StatusOK, headerSignature+": signed-"+w.id+"\r\n", "done "+id
		if request.Header.Get(headerTarget) != w.id {
			status, fields, body = http.StatusMisdirectedRequest, headerInstance+": "+w.id+"\r\n", ""
		} else {
			begin(id)
			w.record.add("worker %s runs %s", w.id, id)
			time.Sleep(work)
		}
		fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headerID, id, fields, len(body), body)
	}
}
