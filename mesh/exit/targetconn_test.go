package exit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// TestConnectionReuse counts the connections of two requests: a connection is reused only after a
// complete exchange.
func TestConnectionReuse(t *testing.T) {
	const length = "Content-Length: 2\r\n"
	cases := []struct {
		name, method, response string
		wantConnections        int64
	}{
		{"length", http.MethodGet, "HTTP/1.1 200 OK\r\n" + length + "\r\nok", 1},
		{"chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"trailer", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", 1},
		{"head", http.MethodHead, "HTTP/1.1 200 OK\r\n" + length + "\r\n", 1},
		{"no content", http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", 1},
		{"not modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + length + "\r\n", 1},
		{"informational responses first", http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\nok", 1},
		{"close requested", http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\n" + length + "\r\nok", 2},
		{"HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\n" + length + "\r\nok", 2},
		{"bytes after the body", http.MethodGet, "HTTP/1.1 200 OK\r\n" + length + "\r\nok!", 2},
		{"body in a response to HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n" + length + "\r\nok", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t)
			var connections atomic.Int64
			fx.rawTarget(func(conn net.Conn, requests *bufio.Reader) {
				connections.Add(1)
				for {
					if _, err := readRequest(requests); err != nil {
						return
					}
					io.WriteString(conn, c.response)
				}
			})
			for range 2 {
				stream := fx.send(requestHead(c.method, "/", ""))
				_, complete, _ := receiveResponse(t, stream)
				is.True(complete)
				stream.Release()
				fx.waitForLoad(exit.Load{Slots: 4})
			}
			is.Equal(connections.Load(), c.wantConnections)
		})
	}
}

// TestCloseClosesIdleConnections waits until the target observes the end of an idle
// connection.
func TestCloseClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	ended := make(chan error, 1)
	fx.rawTarget(func(conn net.Conn, requests *bufio.Reader) {
		var err error
		for err == nil {
			if _, err = readRequest(requests); err == nil {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
		ended <- err
	})
	fx.roundTrip(requestHead(http.MethodGet, "/", ""))
	fx.waitForLoad(exit.Load{Slots: 4})
	fx.exit.Close()
	select {
	case err := <-ended:
		is.Equal(err, io.EOF)
	case <-time.After(5 * time.Second):
		t.Fatal("the idle connection stayed open")
	}
}

// TestResponseHeaderLimits guards against unbounded reading of a response header that does not end.
func TestResponseHeaderLimits(t *testing.T) {
	cases := []struct{ name, part string }{
		{"header", "X-Long: " + strings.Repeat("x", 64<<10) + "\r\n"},
		{"informational responses", "X-A: 1\r\n\r\nHTTP/1.1 103 Early Hints\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t)
			fx.rawTarget(func(conn net.Conn, requests *bufio.Reader) {
				if _, err := readRequest(requests); err != nil {
					return
				}
				_, err := io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n")
				for err == nil {
					_, err = io.WriteString(conn, c.part)
				}
			})
			stream := fx.send(requestHead(http.MethodPost, "/", "swan"))
			defer stream.Discard()
			_, complete, failure := receiveResponse(t, stream)
			is.True(!complete)
			is.True(failure != nil)
		})
	}
}

// TestConnectionClosedWhileIdle sends a request that must not be repeated after the target has
// closed the idle connection: it is dispatched on a new one.
func TestConnectionClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	closed := make(chan struct{}, 2)
	fx.rawTarget(func(conn net.Conn, requests *bufio.Reader) {
		if _, err := readRequest(requests); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		conn.Close()
		closed <- struct{}{}
	})
	for range 2 {
		response := fx.roundTrip(requestHead(http.MethodPost, "/orders", "swan"))
		_, ok := response.Body.(*peerpb.CallFrame_Answer)
		is.True(ok)
		<-closed
		fx.waitForLoad(exit.Load{Slots: 4})
	}
}

// Guards against a target that has forgotten its connections without a reset, as after a loss of its
// state: only the first request may be lost on them.
func TestForgottenConnectionsCostOneRequest(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	both := make(chan struct{})
	var served atomic.Int64
	fx.rawTarget(func(conn net.Conn, requests *bufio.Reader) {
		if _, err := readRequest(requests); err != nil {
			return
		}
		if served.Add(1) == 2 {
			close(both)
		}
		<-both // so that the first two requests have a connection each
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_, _ = io.Copy(io.Discard, requests) // answers nothing further
	})
	first, second := fx.send(requestHead(http.MethodPost, "/", "swan")), fx.send(requestHead(http.MethodPost, "/", "swan"))
	is.True(receive(t, first).GetAnswer() != nil)
	is.True(receive(t, second).GetAnswer() != nil)
	first.Release()
	second.Release()
	fx.waitForLoad(exit.Load{Slots: 4})
	lost := requestHead(http.MethodPost, "/", "swan")
	lost.TimeoutMicros = (100 * time.Millisecond).Microseconds()
	stream := fx.send(lost)
	is.True(receive(t, stream).GetFailure() != nil)
	stream.Discard() // the exit closes it too, which a next request on it would meet
	is.True(fx.roundTrip(requestHead(http.MethodPost, "/", "swan")).GetAnswer() != nil)
}
