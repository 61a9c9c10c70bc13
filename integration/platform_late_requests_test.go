package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/workerserver"
	"sassafrasnotch.example/platform/wire"
)

const (
	slowWork = 1800 * time.Millisecond
	// unreadSlack is the time before the close of a connection in which a request may cross it.
	unreadSlack = 200 * time.Millisecond
	// excusedUntil is the time after the signal up to which a request may be sent that is cut at the end of
	// the grace while its worker is still at work.
	excusedUntil = 3 * time.Second
)

// rawRequest is a request that was written whole to a connection.
type rawRequest struct {
	id       string
	sent     time.Time
	answered bool
	closed   time.Time // when the connection ended without a response to it
}

// rawCaller writes requests to connections of one daemon until it is gone, and goes on after each close.
type rawCaller struct {
	p       *platformCluster
	daemon  *cluster.Daemon
	methods []string // of the requests that are written together
	paths   []string // in the same order

	mu       sync.Mutex
	requests []*rawRequest
}

// run opens connections until the stop channel is closed and the daemon accepts none.
func (c *rawCaller) run(stop <-chan struct{}) {
	for {
		conn, err := net.Dial("tcp", c.daemon.Settings.Entry.Listen)
		if err == nil {
			c.use(conn)
			_ = conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// use writes requests to a connection and reads their responses until it ends or is announced to.
func (c *rawCaller) use(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		var batch []*rawRequest
		for i, path := range c.paths {
			r := &rawRequest{id: fmt.Sprintf("%016x", c.p.ids.Add(1)), sent: time.Now()}
			_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
				c.methods[i], path, platformHost, wire.HeaderRequestID, r.id, wire.HeaderDeadline, 10*time.Second/time.Millisecond)
			if err != nil {
				break // not written whole
			}
			batch = append(batch, r)
		}
		c.mu.Lock()
		c.requests = append(c.requests, batch...)
		c.mu.Unlock()
		last := len(batch) < len(c.paths)
		for i, r := range batch {
			response, err := http.ReadResponse(reader, &http.Request{Method: c.methods[i]})
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				last = last || response.Close
			}
			if err != nil {
				for _, unanswered := range batch[i:] {
					unanswered.closed = time.Now()
				}
				return
			}
			r.answered = true
		}
		if last {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Requests on kept and pipelined connections, sent until the process is gone, are answered or refused if they were read.
func TestPlannedStopCutsNoRequestThatItTook(t *testing.T) {
	t.Parallel()
	p := startPlatformCluster(t)
	for _, d := range p.Daemons {
		if d.Settings.Service == "studio" {
			p.workers[d.Settings.Host].Stop()
			p.workers[d.Settings.Host] = d.StartWorker("s-"+d.Settings.Host, "v1", func(config *workerserver.Config) {
				config.WorkDuration, config.Slots = slowWork, 64
			})
		}
	}
	slow := routeNamed("slow")
	slow.Service, slow.Kind, slow.TimeoutMs = "studio", wire.KindUnsafe, (5 * time.Second).Milliseconds()
	p.WriteOperatorRow(wire.KeyConfig, testConfig(20, slow))
	time.Sleep(applyWithin)

	d := p.Daemons[0]
	callers := []*rawCaller{
		{p: p, daemon: d, methods: []string{"POST"}, paths: []string{"/unsafe/1"}},
		{p: p, daemon: d, methods: []string{"GET", "POST", "GET"}, paths: []string{"/safe/1", "/unsafe/1", "/safe/2"}},
		{p: p, daemon: d, methods: []string{"POST", "POST"}, paths: []string{"/unsafe/1", "/unsafe/2"}},
		{p: p, daemon: d, methods: []string{"POST"}, paths: []string{"/slow/1"}},
		{p: p, daemon: d, methods: []string{"GET", "POST"}, paths: []string{"/safe/1", "/slow/1"}},
		{p: p, daemon: d, methods: []string{"POST", "GET"}, paths: []string{"/slow/1", "/safe/1"}},
		{p: p, daemon: d, methods: []string{"POST", "POST"}, paths: []string{"/slow/1", "/unsafe/1"}},
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range 4 {
		for i := range callers {
			group.Go(func() { callers[i].run(stop) })
		}
	}
	time.Sleep(2 * time.Second)
	asked := time.Now()
	d.Terminate()
	err := d.Wait(t)
	gone := time.Now()
	if err != nil {
		t.Fatal(err)
	}
	close(stop)
	group.Wait()
	grace := d.Settings.Exit.DrainTimeout.Std()
	t.Logf("gone %s after the signal, of %s", gone.Sub(asked), grace)
	sent, cut := 0, 0
	for _, c := range callers {
		for _, r := range c.requests {
			sent++
			if r.answered {
				continue
			}
			cut++
			ran := len(p.runs(r.id)) > 0
			atWorkToTheEnd := r.closed.Sub(asked) > grace*5/6 && r.sent.Sub(asked) < excusedUntil
			if ran && !atWorkToTheEnd || !ran && r.closed.Sub(r.sent) > unreadSlack {
				t.Errorf("%v sent %s after the signal, cut %s later, ran: %t", c.paths, r.sent.Sub(asked), r.closed.Sub(r.sent), ran)
			}
		}
	}
	t.Logf("%d requests, %d without a response", sent, cut)
}
