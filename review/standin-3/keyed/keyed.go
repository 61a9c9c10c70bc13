package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// keyedTicket is the first ticket of examples/kerbrat with one version of one service.
const keyedTicket = `{
	"number": 1,
	"comment": "order desk",
	"services": [{"name": "order-desk", "preference": "safety", "latencyBound": "400ms"}],
	"versions": [{"service": "order-desk", "name": "2026-11"}],
	"splits": [{"service": "order-desk", "shares": [{"version": "2026-11", "weight": 10000}]}],
	"routes": [
		{"name": "catalogue", "service": "order-desk", "prefix": "/catalogue", "repeat": "idempotent", "timeout": "2s"},
		{"name": "commissions", "service": "order-desk", "prefix": "/commissions", "repeat": "keyed", "timeout": "5s", "priority": 10}
	]
}`

const (
	commissions = 20
	// leaves is the interval of requesters that leave: one in four, below the share of 0.3 that the pages allow.
	leaves = 4
)

// commission is one commission of a requester.
type commission struct {
	id, key, first, rest string
	left                 bool
}

func (c *commission) body() string { return c.first + c.rest }

// truncatedKeyed sends commissions in chunks. Some requesters leave between two chunks.
func truncatedKeyed(r *record, trouble bool) (int, error) {
	f, err := newFleet()
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return notRun, err
	}
	var workers []*worker
	for i, d := range f.daemons {
		w, err := startWorker(d, fmt.Sprintf("i-%08x", i+1), "order-desk", "2026-11", 20*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		defer w.stop()
		workers = append(workers, w)
	}
	file := filepath.Join(f.dir, "ticket-1.json")
	if err := os.WriteFile(file, []byte(keyedTicket), 0o600); err != nil {
		return notRun, err
	}
	var out string
	err = await(startLimit, func() error {
		var err error
		if out, err = f.control("ticket", "submit", file); err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
	if err != nil {
		return notRun, err
	}
	for _, d := range f.daemons {
		if err := await(startLimit, func() error { return getOKFrom(d, "/catalogue/swans") }); err != nil {
			return notRun, fmt.Errorf("%s serves nothing: %w", d.host, err)
		}
	}
	var sent []*commission
	for i := range commissions {
		c := &commission{
			id: fmt.Sprintf("%016x", 0x5a550000+i), key: fmt.Sprintf("order-%d", i),
			first: fmt.Sprintf("swan %d, 2 m, ", i), rest: "for the hall at Lorient, not for the quay",
			left: trouble && i%leaves == 1,
		}
		sent = append(sent, c)
		answer := send(f.daemons[i%len(f.daemons)], c)
		r.add("sent %s key %s body %q left early %v: %s", c.id, c.key, c.body(), c.left, answer)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	byID := make(map[string]*commission)
	for _, c := range sent {
		byID[c.id] = c
	}
	broken, served := 0, 0
	for _, ran := range allRuns(workers) {
		c := byID[ran.ID]
		if c == nil {
			continue
		}
		r.add("ran %s at %s with body %q", ran.ID, ran.Worker, ran.Body)
		if ran.Body != c.body() {
			r.add("  UNASKED: the requester's body was %q", c.body())
			broken++
		} else {
			served++
		}
	}
	// What the requester sees who comes back with the whole commission under the same key. It isn't judged.
	for _, c := range sent {
		if c.left {
			again := &commission{id: "f" + c.id[1:], key: c.key, first: c.first, rest: c.rest}
			r.add("sent again %s key %s: %s", again.id, again.key, send(f.daemons[0], again))
		}
	}
	r.add("%d commissions, %d run with their body, %d run with another body", len(sent), served, broken)
	switch {
	case broken > 0:
		return ruleBroken, nil
	case served < len(sent)-len(sent)/leaves:
		return notRun, fmt.Errorf("only %d of %d commissions ran", served, len(sent))
	}
	return ruleHeld, nil
}

// getOKFrom sends one safe request to a daemon.
func getOKFrom(d *daemon, path string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.outbound+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set(headerRequestID, fmt.Sprintf("%016x", time.Now().UnixNano()))
	request.Header.Set(headerDeadline, "1000")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// send sends a commission in two chunks, and returns the answer in words. A requester that leaves closes its
// connection between the two.
func send(d *daemon, c *commission) string {
	conn, err := net.Dial("tcp", d.outbound)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	fmt.Fprintf(conn, "POST /commissions/new HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: 5000\r\n%s: %s\r\n"+
		"Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n", headerRequestID, c.id, headerDeadline, headerKey, c.key)
	chunk(conn, c.first)
	time.Sleep(100 * time.Millisecond)
	if c.left {
		return "none, the requester has left"
	}
	chunk(conn, c.rest)
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	body, _ := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(body)))
}

func chunk(out io.Writer, text string) { fmt.Fprintf(out, "%x\r\n%s\r\n", len(text), text) }
