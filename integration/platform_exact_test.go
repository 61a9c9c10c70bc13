package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/platform/wire"
)

// The limits of the platform's configuration.
const (
	exactHeaderBytes = 16 << 10
	exactBodyBytes   = 64 << 20
	// smallestMemory is that of the smallest machine, in bytes; the limit of the runtime is half of it.
	smallestMemory = 184 << 20
)

// sendExact sends a request and a body of that length, and returns the response and whether a worker signed it.
func sendExact(t *testing.T, d *cluster.Daemon, head string, body int64) (status int, signed bool) {
	t.Helper()
	conn, err := net.Dial("tcp", d.Settings.Entry.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go func() {
		_, _ = io.WriteString(conn, head)
		_, _ = io.CopyN(conn, zeros{}, body) // ends at the close if the request is refused
	}()
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get(wire.HeaderSignature) != ""
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against limits that refuse a single request at the exact limit of the configuration, or serve one
// byte more.
func TestRequestsAtTheExactLimits(t *testing.T) {
	p := startPlatformCluster(t, func(s *settings.Settings) {
		s.Runtime.GCPercent, s.Runtime.MemoryLimit = 100, smallestMemory/2
	})
	config := testConfig(4)
	config.Limits = wire.Limits{MaxHeaderBytes: exactHeaderBytes, MaxBodyBytes: exactBodyBytes, HeaderTimeoutMs: 2000, IdleTimeoutMs: 10000}
	for i := range config.Routes {
		config.Routes[i].TimeoutMs = 60000
	}
	p.WriteOperatorRow(wire.KeyConfig, config)
	d := p.Daemons[1] // whose own worker is of another service
	head := func(id string, body int64, padding int) string {
		return fmt.Sprintf("POST /unsafe/exact HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 60000\r\nContent-Length: %d\r\nX-Padding: %s\r\n\r\n",
			platformHost, wire.HeaderRequestID, id, wire.HeaderDeadline, body, strings.Repeat("p", padding))
	}
	// The request line and the empty line at the end are no fields.
	fields := len(head("exact-1", 0, 0)) - len("POST /unsafe/exact HTTP/1.1\r\n") - len("\r\n")
	p.eventually(applyWithin*5, "the limits are in force", func() error {
		if status, _ := sendExact(t, d, head("exact-0", 0, exactHeaderBytes), 0); status != http.StatusRequestHeaderFieldsTooLarge {
			return fmt.Errorf("status %d", status)
		}
		return nil
	})
	for _, c := range []struct {
		name    string
		id      string
		body    int64
		padding int
		status  int
	}{
		{"header at the limit", "exact-1", 0, exactHeaderBytes - fields, http.StatusOK},
		{"header beyond it", "exact-2", 0, exactHeaderBytes - fields + 1, http.StatusRequestHeaderFieldsTooLarge},
		{"body at the limit", "exact-3", exactBodyBytes, 0, http.StatusOK},
		{"body beyond it", "exact-4", exactBodyBytes + 1, 0, http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, signed := sendExact(t, d, head(c.id, c.body, c.padding), c.body)
			is.Equal(status, c.status)
			is.Equal(signed, c.status == http.StatusOK)
			is.Equal(len(p.runs(c.id)) > 0, c.status == http.StatusOK) // a refused request reaches no worker
			for _, d := range p.Daemons {
				peak, err := peakMemory(d.Pid())
				is.NoErr(err)
				is.True(peak < smallestMemory)
			}
		})
	}
}
