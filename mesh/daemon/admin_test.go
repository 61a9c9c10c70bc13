package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target in trouble may send bytes without end to the port of its announcements. They must be given
// up in time and before they take much memory, in a header and in a body, slow and fast.
func TestEndlessBytesToTheAdminPortAreBounded(t *testing.T) {
	const (
		limit    = adminReadTimeout + 2*time.Second
		maxBytes = 8 << 20
	)
	server := newAdminServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 1<<20))
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for name, head := range map[string]string{
		"a body of a huge length": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000000\r\n\r\n",
		"a body in chunks":        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n",
		"a header line":           "POST / HTTP/1.1\r\nHost: x\r\nA: ",
		"a request line":          "POST /",
	} {
		for pace, piece := range map[string]struct {
			bytes int
			every time.Duration
		}{"fast": {64 << 10, 0}, "slow": {1, 100 * time.Millisecond}} {
			t.Run(fmt.Sprint(name, ", ", pace), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				conn, err := net.Dial("tcp", listener.Addr().String())
				is.NoErr(err)
				defer conn.Close()
				closed := make(chan error, 1)
				go func() {
					_, err := io.Copy(io.Discard, conn)
					closed <- err
				}()
				_, err = io.WriteString(conn, head)
				is.NoErr(err)
				began, sent := time.Now(), 0
				for err == nil && time.Since(began) < limit && sent < maxBytes {
					time.Sleep(piece.every)
					var n int
					_ = conn.SetWriteDeadline(began.Add(limit))
					n, err = io.WriteString(conn, strings.Repeat("a", piece.bytes))
					sent += n
				}
				is.True(sent < maxBytes)
				var timeout net.Error
				is.True(err != nil && !(errors.As(err, &timeout) && timeout.Timeout())) // the server closed it
				<-closed
			})
		}
	}
}
