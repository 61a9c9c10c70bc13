package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// pathHost answers each request with its path, once the test has released it. Requests whose path
// contains "fast" need no release.
type pathHost struct {
	mutex     sync.Mutex
	released  map[string]chan struct{}
	running   map[string]bool
	cancelled map[string]bool
	body      func(path string) string
}

func newPathHost() *pathHost {
	return &pathHost{
		released: map[string]chan struct{}{}, running: map[string]bool{}, cancelled: map[string]bool{},
		body: func(path string) string { return path },
	}
}

func (h *pathHost) gate(path string) chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.released[path] == nil {
		h.released[path] = make(chan struct{})
	}
	return h.released[path]
}

func (h *pathHost) release(path string) { close(h.gate(path)) }

func (h *pathHost) is(state map[string]bool, path string) func() bool {
	return func() bool {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		return state[path]
	}
}

func (h *pathHost) runs() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.running)
}

func (h *pathHost) serve(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
	path := head.GetPath()
	h.mutex.Lock()
	h.running[path] = true
	h.mutex.Unlock()
	if !strings.Contains(path, "fast") {
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			_, _ = io.Copy(io.Discard, stream.Conn)
		}()
		select {
		case <-h.gate(path):
		case <-gone:
			h.mutex.Lock()
			h.cancelled[path] = true
			h.mutex.Unlock()
			return
		}
	}
	body := h.body(path)
	_ = stream.Send(responseFrame(attempt, &peerpb.AnswerHead{Status: 200, ContentLength: int64(len(body))}))
	for len(body) > 0 {
		n := min(len(body), 16<<10)
		if stream.Send(dataFrame(attempt, body[:n])) != nil {
			return
		}
		body = body[n:]
	}
	_ = stream.Send(endFrame(attempt))
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// pipelineTest is a raw caller of an entry with one host.
type pipelineTest struct {
	*testing.T
	is     *is.I
	f      *fixture
	host   *pathHost
	conn   net.Conn
	reader *bufio.Reader
}

func newPipelineTest(t *testing.T) *pipelineTest {
	host := newPathHost()
	f := newFixture(t, testSettings(), nil, map[string]hostHandler{"a0": host.serve})
	conn := dial(t, f)
	return &pipelineTest{t, is.New(t), f, host, conn, bufio.NewReader(conn)}
}

func (p *pipelineTest) send(text ...string) {
	p.Helper()
	_, err := io.WriteString(p.conn, strings.Join(text, ""))
	p.is.NoErr(err)
}

// expect reads one response and checks its body.
func (p *pipelineTest) expect(body string) *http.Response {
	p.Helper()
	_ = p.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(p.reader, nil)
	p.is.NoErr(err)
	got, err := io.ReadAll(response.Body)
	p.is.NoErr(err)
	p.is.Equal(response.StatusCode, 200)
	p.is.Equal(string(got), body)
	return response
}

// expectClosed checks that nothing more arrives.
func (p *pipelineTest) expectClosed() {
	p.Helper()
	_ = p.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := p.reader.Read(make([]byte, 1))
	p.is.Equal(n, 0)
	p.is.True(err != nil && !isTimeout(err))
}

func TestPipelinedRequestsRunAtOnceAndAreAnsweredInOrder(t *testing.T) {
	requests := get("/catalog/slow") + get("/catalog/fast1") + get("/catalog/fast2?x=1")
	tests := []struct {
		name string
		send func(p *pipelineTest)
	}{
		{"in one segment", func(p *pipelineTest) { p.send(requests) }},
		{"while the first runs", func(p *pipelineTest) {
			p.send(get("/catalog/slow"))
			waitFor(p.T, p.host.is(p.host.running, "/catalog/slow"))
			p.send(get("/catalog/fast1"), get("/catalog/fast2?x=1"))
		}},
		{"byte by byte", func(p *pipelineTest) {
			for i := range requests {
				p.send(requests[i : i+1])
				time.Sleep(100 * time.Microsecond)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPipelineTest(t)
			test.send(p)
			waitFor(t, p.host.is(p.host.running, "/catalog/fast1"))
			waitFor(t, p.host.is(p.host.running, "/catalog/fast2?x=1"))
			p.host.release("/catalog/slow")
			p.expect("/catalog/slow")
			p.expect("/catalog/fast1")
			p.expect("/catalog/fast2?x=1")
			p.is.Equal(p.host.runs(), 3)
			p.send(get("/catalog/fast3"), post("/order/fast", "swan"), get("/catalog/fast4"))
			p.expect("/catalog/fast3")
			p.expect("/order/fast")
			p.expect("/catalog/fast4")
		})
	}
}

// The caller closes the connection while bytes of a later request lie unread.
func TestCloseBehindPipelinedRequestsCancelsThemAll(t *testing.T) {
	const cancelWithin = 500 * time.Millisecond
	tests := []struct {
		name, first, behind string
		running             []string
	}{
		{"requests that are started early", get("/catalog/1"), get("/catalog/2") + get("/catalog/3"), []string{"/catalog/1", "/catalog/2", "/catalog/3"}},
		{"an incomplete request", get("/catalog/1"), "GET /cat", []string{"/catalog/1"}},
		{"a request that is not started early", get("/catalog/1"), post("/order/2", "swan"), []string{"/catalog/1"}},
		{"a request behind one with a body", post("/order/1", "swan"), get("/catalog/2"), []string{"/order/1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPipelineTest(t)
			p.send(test.first)
			waitFor(t, p.host.is(p.host.running, test.running[0]))
			p.send(test.behind)
			for _, path := range test.running {
				waitFor(t, p.host.is(p.host.running, path))
			}
			time.Sleep(50 * time.Millisecond) // the bytes behind have arrived
			began := time.Now()
			p.is.NoErr(p.conn.Close())
			for _, path := range test.running {
				waitFor(t, p.host.is(p.host.cancelled, path))
			}
			p.is.True(time.Since(began) < cancelWithin)
			p.is.Equal(p.host.runs(), len(test.running))
		})
	}
}

// A request whose caller has left by the time of its turn reaches no host.
func TestRequestOfADepartedCallerIsNotDispatched(t *testing.T) {
	const requests = 200
	for _, path := range []string{"/catalog/fast", "/order/fast"} {
		p := newPipelineTest(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range requests {
			p.f.entry.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, path, nil))
		}
		p.is.Equal(p.host.runs(), 0)
	}
}

func TestOnlyRepeatableRequestsAreStartedEarly(t *testing.T) {
	for _, behind := range []string{get("/order/1"), post("/catalog/1", "swan"), post("/order/1", "swan")} {
		p := newPipelineTest(t)
		path := strings.Fields(behind)[1]
		p.send(get("/catalog/slow"), behind, get("/catalog/fast"))
		waitFor(t, p.host.is(p.host.running, "/catalog/slow"))
		time.Sleep(100 * time.Millisecond)
		p.is.Equal(p.host.runs(), 1)
		p.host.release("/catalog/slow")
		p.host.release(path)
		p.expect("/catalog/slow")
		p.expect(path)
		p.expect("/catalog/fast")
	}
}

func TestMalformedRequestBehindOthersEndsTheConnection(t *testing.T) {
	p := newPipelineTest(t)
	p.send(get("/catalog/slow"), get("/catalog/fast1"), "GET /catalog/bad HTTP/1.1\r\nHost: x\r\nbad field\r\n\r\n", get("/catalog/fast2"))
	waitFor(t, p.host.is(p.host.running, "/catalog/fast1"))
	p.host.release("/catalog/slow")
	p.expect("/catalog/slow")
	p.expect("/catalog/fast1")
	response, err := http.ReadResponse(p.reader, nil)
	p.is.NoErr(err)
	p.is.Equal(response.StatusCode, 400)
	_, _ = io.Copy(io.Discard, response.Body)
	p.expectClosed()
	p.is.Equal(p.host.runs(), 2)
}

// A body that looks like a request is never run as one.
func TestBodyIsNoPipelinedRequest(t *testing.T) {
	for _, request := range []string{
		post("/order/1", get("/catalog/inside")),
		"GET /catalog/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\n\r\n" + get("/catalog/inside")[:40],
		"GET /catalog/1 HTTP/1.1\r\nHost: x\r\ncontent-length : 40\r\n\r\n" + get("/catalog/inside"),
		"GET /catalog/1 HTTP/1.1\nHost: x\nContent-Length: 100\n\n\r\n\r\n" + get("/catalog/inside"),
	} {
		p := newPipelineTest(t)
		p.send(request)
		time.Sleep(50 * time.Millisecond)
		p.host.mutex.Lock()
		p.is.True(!p.host.running["/catalog/inside"])
		p.host.mutex.Unlock()
	}
}

func TestEndlessPipeliningIsBounded(t *testing.T) {
	p := newPipelineTest(t)
	go func() {
		for i := range 10000 {
			if _, err := io.WriteString(p.conn, get(fmt.Sprint("/catalog/", i))); err != nil {
				return
			}
		}
	}()
	waitFor(t, func() bool { return p.host.runs() == 1+maxPrefetches })
	time.Sleep(100 * time.Millisecond)
	p.is.Equal(p.host.runs(), 1+maxPrefetches)
	p.host.release("/catalog/0")
	p.expect("/catalog/0")
	waitFor(t, func() bool { return p.host.runs() == 2+maxPrefetches })
	p.is.NoErr(p.conn.Close())
	for i := 1; i <= 1+maxPrefetches; i++ {
		p.host.release(fmt.Sprint("/catalog/", i))
	}
}

func TestLongResponseWaitsForItsTurn(t *testing.T) {
	p := newPipelineTest(t)
	long := strings.Repeat("x", 5*maxHeldBody)
	p.host.body = func(path string) string {
		if strings.Contains(path, "long") {
			return long
		}
		return path
	}
	p.send(get("/catalog/slow"), get("/catalog/fast-long"), get("/catalog/fast"))
	waitFor(t, p.host.is(p.host.running, "/catalog/fast-long"))
	time.Sleep(50 * time.Millisecond)
	p.host.release("/catalog/slow")
	p.expect("/catalog/slow")
	p.expect(long)
	p.expect("/catalog/fast")
}

// A truncated response of a request that was started early never looks whole.
func TestTruncatedResponseBehindAnotherEndsTheConnection(t *testing.T) {
	host := newPathHost()
	serve := func(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
		if !strings.Contains(head.GetPath(), "cut") {
			host.serve(stream, head, attempt)
			return
		}
		_ = stream.Send(responseFrame(attempt, &peerpb.AnswerHead{Status: 200, ContentLength: 100, InlineBody: []byte("half")}))
	}
	f := newFixture(t, testSettings(), nil, map[string]hostHandler{"a0": serve})
	conn := dial(t, f)
	p := &pipelineTest{t, is.New(t), f, host, conn, bufio.NewReader(conn)}
	p.send(get("/catalog/slow"), get("/catalog/cut"), get("/catalog/fast"))
	waitFor(t, p.host.is(p.host.running, "/catalog/fast"))
	p.host.release("/catalog/slow")
	p.expect("/catalog/slow")
	response, err := http.ReadResponse(p.reader, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	p.is.True(err != nil)
}

// A planned stop answers what was started early, and dispatches nothing behind an answer that
// closes the connection.
func TestStopAnswersWhatWasStartedEarly(t *testing.T) {
	p := newPipelineTest(t)
	p.send(get("/catalog/1"), get("/catalog/2"))
	waitFor(t, p.host.is(p.host.running, "/catalog/2"))
	p.f.entry.DisableKeepAlives()
	p.send(get("/catalog/3"))
	time.Sleep(50 * time.Millisecond)
	p.is.Equal(p.host.runs(), 2)
	p.host.release("/catalog/1")
	p.is.True(!p.expect("/catalog/1").Close)
	p.host.release("/catalog/2")
	p.host.release("/catalog/3")
	if !p.expect("/catalog/2").Close { // written before its turn came
		p.is.True(p.expect("/catalog/3").Close)
	} else {
		p.is.Equal(p.host.runs(), 2)
	}
	p.expectClosed()
}

// The deadline of a request that is started early counts from its arrival, not from the end of
// the request before it.
func TestDeadlineOfPipelinedRequestCountsFromItsArrival(t *testing.T) {
	p := newPipelineTest(t)
	p.send(get("/catalog/slow"), "GET /catalog/late HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 100\r\n\r\n")
	waitFor(t, p.host.is(p.host.cancelled, "/catalog/late"))
	p.host.release("/catalog/slow")
	p.expect("/catalog/slow")
	response, err := http.ReadResponse(p.reader, nil)
	p.is.NoErr(err)
	p.is.Equal(response.StatusCode, 504)
}

func TestEndsOfMessagesWithAStatedLengthAreKnown(t *testing.T) {
	for _, c := range []struct {
		name, data string
		length     int
	}{
		{"body", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPOST", 42},
		{"body not here yet", "POST /a HTTP/1.1\r\ncontent-length:3\r\n\r\n", 41},
		{"no body", "DELETE /a HTTP/1.1\r\nHost: h\r\n\r\nGET", 31},
		{"chunks", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 0},
		{"head not whole", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n", 0},
		{"length too large", "POST /a HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", 0},
		{"rest of a body", "abc\r\n\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(sizedMessage([]byte(c.data)), c.length)
		})
	}
}

// Guards against a request that is refused for the name of a field, and runs all the same since it was started early.
func TestRequestWithAnInvalidFieldNameIsNotDispatched(t *testing.T) {
	for _, line := range []string{"X Kind: swan", "X-Kind : swan", "Content-Length : 0", "X\tKind: swan", "X\x01Kind: swan", ": swan"} {
		for _, earlier := range []string{"", get("/catalog/slow")} {
			t.Run(fmt.Sprintf("%q behind %q", line, earlier), func(t *testing.T) {
				p := newPipelineTest(t)
				p.send(earlier, "GET /catalog/bad HTTP/1.1\r\nHost: x\r\n"+line+"\r\n\r\n", get("/catalog/fast"))
				if earlier != "" {
					waitFor(t, p.host.is(p.host.running, "/catalog/slow"))
					time.Sleep(20 * time.Millisecond)
					p.host.release("/catalog/slow")
					p.expect("/catalog/slow")
				}
				response, err := http.ReadResponse(p.reader, nil)
				p.is.NoErr(err)
				p.is.Equal(response.StatusCode, http.StatusBadRequest)
				_, _ = io.Copy(io.Discard, response.Body)
				p.expectClosed()
				p.is.Equal(p.f.hosts.dispatched(), strings.Count(earlier, "GET"))
			})
		}
	}
}
