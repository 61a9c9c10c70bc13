package entry

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// heldConn holds reads back until the channel is closed, as a daemon short of processor time does.
type heldConn struct {
	*net.TCPConn
	released <-chan struct{}
}

func (c heldConn) Read(p []byte) (int, error) {
	<-c.released
	return c.TCPConn.Read(p)
}

// heldListener accepts connections whose reads are held back.
type heldListener struct {
	net.Listener
	released <-chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return heldConn{conn.(*net.TCPConn), l.released}, nil
}

// serveHeld serves the fixture's entry on a second port, whose reads are held back, and returns its address.
func serveHeld(t *testing.T, f *fixture, released <-chan struct{}) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := NewServer(testSettings(), f.entry, zap.NewNop())
	served := make(chan error, 1)
	go func() { served <- server.Serve(heldListener{listener, released}) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return listener.Addr().String()
}

func TestRequestWhoseCallerLeftBeforeItWasReadIsNotDispatched(t *testing.T) {
	const length = "Content-Length: 40000\r\n"
	tests := []struct {
		name    string
		request string
	}{
		{"without a body", "GET /catalog HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"with a body", "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"},
		{"with a body longer than the inline part", "POST /order HTTP/1.1\r\nHost: x\r\n" + length + "\r\n" + strings.Repeat("x", 40000)},
		{"before pipelined requests", strings.Repeat("GET /catalog HTTP/1.1\r\nHost: x\r\n\r\n", readAheadBytes/20)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			released := make(chan struct{})
			f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, "ok"), respondsWith(200, "ok")))
			address := serveHeld(t, f, released)
			for range 20 {
				conn, err := net.Dial("tcp", address)
				is.NoErr(err)
				_, err = io.WriteString(conn, test.request)
				is.NoErr(err)
				is.NoErr(conn.Close())
			}
			time.Sleep(50 * time.Millisecond) // the close arrives
			close(released)
			time.Sleep(300 * time.Millisecond)
			is.Equal(f.hosts.dispatched(), 0)
		})
	}
}

func TestCloseHiddenBehindUnreadBytesCancelsTheRequest(t *testing.T) {
	tests := []struct {
		name    string
		request string
	}{
		{"behind a body", "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 80_000)},
		{"behind pipelined requests", strings.Repeat("GET /catalog HTTP/1.1\r\nHost: x\r\n\r\n", 2*readAheadBytes/20)},
		{"behind pipelined requests after a body", "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" +
			strings.Repeat("GET /catalog HTTP/1.1\r\nHost: x\r\n\r\n", 2*readAheadBytes/20)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			began, release := make(chan struct{}, maxPrefetches+1), make(chan struct{})
			defer close(release)
			holds := func(*pipeStream, *peerpb.CallHead, uint64) { // reads nothing, as while a request is queued
				began <- struct{}{}
				<-release
			}
			f := newFixture(t, testSettings(), nil, twoHosts(holds, holds))
			conn := dial(t, f)
			_, err := io.WriteString(conn, test.request)
			is.NoErr(err)
			<-began
			time.Sleep(100 * time.Millisecond)
			is.NoErr(conn.Close())
			deadline := time.Now().Add(time.Second)
			for !f.hosts.allDiscarded() {
				if time.Now().After(deadline) {
					t.Fatal("the request goes on after its caller has left")
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}
