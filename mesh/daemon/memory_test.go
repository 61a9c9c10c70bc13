package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sassafrasnotch.example/coord/memory"
	"sassafrasnotch.example/mesh/clientmemory"
)

// Guards against clients of the admin and readiness ports that hold long heads and bodies.
func TestAdminServerBoundsWhatClientsHold(t *testing.T) {
	for _, c := range []struct {
		name    string
		memory  int64
		request string
		status  int // 0 means closed without a response
	}{
		{"ordinary", 256 << 10, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusOK},
		{"long head", 8 << 20, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 24<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"many fields", 256 << 10, "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 2000) + "\r\n", 0},
		{"long body", 256 << 10, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000), http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			held := clientmemory.New(c.memory)
			server := newAdminServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			done := make(chan struct{})
			go func() { defer close(done); _ = server.Serve(held.Listener(listener, false)) }()
			defer func() { _ = server.Close(); <-done }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			_, _ = io.WriteString(conn, c.request)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if c.status == 0 {
				is.True(err != nil)
			} else {
				is.NoErr(err)
				is.Equal(response.StatusCode, c.status)
			}
			_ = conn.Close()
			for deadline := time.Now().Add(testTimeout); held.Usage().Held != 0; time.Sleep(pollInterval) {
				is.True(time.Now().Before(deadline)) // what was held is released
			}
		})
	}
}

// Guards against a log line for each client that is refused.
func TestLackOfMemoryIsLoggedOnceInAWhile(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.WarnLevel)
	log := memoryLog{logger: zap.New(core)}
	start := time.Unix(1000, 0)
	log.observe(start, memory.Usage{})
	is.Equal(lines.Len(), 0)
	for i := range 100 {
		log.observe(start.Add(time.Duration(i)*tickInterval), memory.Usage{Refused: uint64(1 + 10*i)})
	}
	is.Equal(lines.Len(), 3) // in 25 s
	is.Equal(lines.All()[1].ContextMap()["refused"], uint64(400))
}
