package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target in trouble may send bytes without end to the port of its announcements. They must be given
// up in time and before they take much memory, in a header and in a body, slow and fast.
func TestEndlessBytesToTheAdminPortAreBounded(t *testing.T) {
	const (
		limit    = adminReadTimeout + 2*time.Second
		maxBytes = 2 << 20 // read by the server
	)
	server := newAdminServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 1<<20))
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	counted := &countingListener{Listener: listener}
	go func() { _ = server.Serve(counted) }()
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
				began, data := time.Now(), strings.Repeat("a", piece.bytes)
				_ = conn.SetWriteDeadline(began.Add(limit))
				for err == nil && time.Since(began) < limit {
					time.Sleep(piece.every)
					_, err = io.WriteString(conn, data)
				}
				is.True(counted.read(conn.LocalAddr()) < maxBytes)
				var timeout net.Error
				is.True(err != nil && !(errors.As(err, &timeout) && timeout.Timeout())) // the server closed it
				<-closed
			})
		}
	}
}

// countingListener counts what is read from each connection, by the address of its other end. What the
// sender has sent tells less: the kernel takes megabytes that nobody has read.
type countingListener struct {
	net.Listener
	counts sync.Map // of *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	count, _ := l.counts.LoadOrStore(conn.RemoteAddr().String(), new(atomic.Int64))
	return &countingConn{conn, count.(*atomic.Int64)}, nil
}

// read returns the number of bytes read from the connection of that address, 0 if it was not accepted.
func (l *countingListener) read(from net.Addr) int64 {
	count, ok := l.counts.Load(from.String())
	if !ok {
		return 0
	}
	return count.(*atomic.Int64).Load()
}

type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}
