package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/clientmemory"
)

// serveWithMemory makes the fixture serve with that much memory for clients.
func serveWithMemory(t *testing.T, bytes int64) (*fixture, *clientmemory.Memory) {
	t.Helper()
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, "ok"), nil))
	held := clientmemory.New(bytes)
	server := NewServer(testSettings(), f.entry, f.entry.deps.Log)
	server.UseMemory(held)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	f.url = "http://" + listener.Addr().String()
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close(); <-done; f.client.CloseIdleConnections() })
	return f, held
}

// Guards against a request that is refused for lack of memory and reaches a target all the same, and against
// memory that stays counted.
func TestRequestWithoutMemoryIsRefusedAndNotRun(t *testing.T) {
	is := is.New(t)
	f, held := serveWithMemory(t, 256<<10)
	conn := dial(t, f)
	// The parts above the kept one hold its head, and not its body too.
	fields := strings.Repeat("a:\r\n", 600)
	_, err := io.WriteString(conn, "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 30000\r\n"+fields+"\r\n"+strings.Repeat("x", 30000))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(HeaderOutcome), "refused")
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(f.hosts.dispatched(), 0)

	ordinary, err := f.client.Get(f.url + "/catalog")
	is.NoErr(err)
	_ = ordinary.Body.Close()
	is.Equal(ordinary.StatusCode, http.StatusOK)
	_ = conn.Close()
	f.client.CloseIdleConnections()
	waitFor(t, func() bool { return held.Usage().Held == 0 })
}

// Guards against heads of short fields that net/http keeps beyond the memory that clients may hold.
func TestHeadBeyondTheMemoryIsClosed(t *testing.T) {
	is := is.New(t)
	f, held := serveWithMemory(t, 256<<10)
	conn := dial(t, f)
	_, _ = io.WriteString(conn, "GET /catalog HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 2000))
	_, err := conn.Read(make([]byte, 1))
	is.True(err != nil && !isTimeout(err)) // closed without a response
	is.Equal(f.hosts.dispatched(), 0)
	is.Equal(held.Usage().Refused, uint64(1))
	waitFor(t, func() bool { return held.Usage().Held == 0 })
}

// Guards against connections that stall and keep others out.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	f, held := serveWithMemory(t, 10*clientmemory.ConnBytes)
	for range 10 {
		_, _ = io.WriteString(dial(t, f), "GET /catalog HTTP/1.1\r\n")
	}
	waitFor(t, func() bool { return held.Usage().Held > 9*clientmemory.ConnBytes })
	time.Sleep(1100 * time.Millisecond) // longer than memory's stall time
	response, err := f.client.Get(f.url + "/catalog")
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(held.Usage().Closed > 0)
}

// deadlineWriter records the write deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *deadlineWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadline = deadline
	return nil
}

// Guards against a caller that reads nothing and holds its connection, after a refusal as after a response.
func TestWritesToCallersEnd(t *testing.T) {
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, "ok"), nil))
	for path, status := range map[string]int{"/catalog": http.StatusOK, "/nowhere": http.StatusNotFound} {
		is := is.New(t)
		writer := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		f.entry.ServeHTTP(writer, httptest.NewRequest(http.MethodGet, path, nil))
		is.Equal(writer.Code, status)
		is.True(!writer.deadline.IsZero())
		is.True(time.Until(writer.deadline) <= tailTimeout)
	}
}

// BenchmarkMemory measures what the memory costs a request: on a kept connection, without and with it.
func BenchmarkMemory(b *testing.B) {
	for _, bytes := range []int64{0, 64 << 20} {
		b.Run(fmt.Sprint(bytes), func(b *testing.B) {
			var held *clientmemory.Memory
			if bytes > 0 {
				held = clientmemory.New(bytes)
			}
			account, _ := held.Open(clientmemory.ConnBytes, func() {})
			head := []byte(strings.Repeat("X-Field: value\r\n", 10))
			for b.Loop() {
				account.ReadBytes(head)
				account.Track(http.StateActive)
				account.GrowRequest(dispatchBytes)
				_, _ = account.Write(io.Discard, head)
				account.Track(http.StateIdle)
			}
		})
	}
}
