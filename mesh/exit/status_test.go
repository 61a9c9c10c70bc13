package exit_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/exit"
)

// invalidStatuses are the beginnings of responses that are none in the protocol.
var invalidStatuses = []struct{ name, head string }{
	{"000", "HTTP/1.1 000 \r\n"},
	{"000 without a reason", "HTTP/1.1 000\r\n"},
	{"099", "HTTP/1.1 099 Low\r\n"},
	{"600", "HTTP/1.1 600 High\r\n"},
	{"999", "HTTP/1.1 999 High\r\n"},
	{"two digits", "HTTP/1.1 20 OK\r\n"},
	{"four digits", "HTTP/1.1 2000 OK\r\n"},
	{"plus sign", "HTTP/1.1 +20 OK\r\n"},
	{"minus sign", "HTTP/1.1 -20 OK\r\n"},
	{"letters", "HTTP/1.1 2OO OK\r\n"},
	{"space in the digits", "HTTP/1.1 2 0 OK\r\n"},
	{"no status", "HTTP/1.1\r\n"},
	{"ten informational responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10) + "HTTP/1.1 200 OK\r\n"},
}

// strayResponse looks like a success, in the body of a response that is none.
const strayResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

// Guards against a status outside 100 to 599 that is skipped or passed on, so that bytes of its body are taken
// for the response, and against a connection that is used again after one.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	bodies := []struct{ name, rest string }{
		{"length", "Content-Length: 2\r\n\r\nno"},
		{"no length", "\r\nno"},
		{"no body", "Content-Length: 0\r\n\r\n"},
		{"body is a response", "Content-Length: 43\r\n\r\n" + strayResponse},
		{"body is a response, no length", "\r\n" + strayResponse},
	}
	for _, status := range invalidStatuses {
		for _, body := range bodies {
			for _, reused := range []bool{false, true} {
				name := status.name + ", " + body.name
				if reused {
					name += ", reused connection"
				}
				t.Run(name, func(t *testing.T) { checkNoResponse(t, status.head+body.rest, reused) })
			}
		}
	}
}

// Guards against the bytes behind an informational response that states a body and can't have one.
func TestInformationalResponseWithABodyIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 100 Continue\r\nContent-Length: 43\r\n\r\n",
		"chunks": "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for _, reused := range []bool{false, true} {
			t.Run(name, func(t *testing.T) { checkNoResponse(t, head+strayResponse, reused) })
		}
	}
}

// invalidStatusTimeout is the timeout of a request whose response is none; without one it fails long before.
const invalidStatusTimeout = 2 * time.Second

// checkNoResponse has a target respond with the bytes. The request must fail with an unknown outcome at once,
// and the connection must not be used again.
func checkNoResponse(t *testing.T, response string, reused bool) {
	t.Helper()
	checkNoResponseBy(t, exit.DefaultConventions, response, reused)
}

// checkNoResponseBy is like checkNoResponse with conventions of the target.
func checkNoResponseBy(t *testing.T, conventions exit.Conventions, response string, reused bool) {
	t.Helper()
	is := is.New(t)
	fx := newFixtureOf(t, []exit.Option{exit.WithConventions(conventions)})
	var connections, requestsServed atomic.Int64
	fx.rawTarget(func(conn net.Conn, requests *bufio.Reader) {
		for used := false; ; used = true {
			if _, err := readRequest(requests); err != nil {
				return
			}
			if !used {
				connections.Add(1) // without those that only check whether the target listens
			}
			if number := requestsServed.Add(1); reused && number == 1 || number > 1 && !reused || number > 2 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				continue
			}
			_, _ = io.WriteString(conn, response)
		}
	})
	if reused {
		fx.roundTrip(requestHead(http.MethodPost, "/orders", "swan"))
		fx.waitForLoad(exit.Load{Slots: 4})
	}
	head := requestHead(http.MethodPost, "/orders", "swan")
	head.TimeoutMicros = invalidStatusTimeout.Microseconds()
	stream := fx.send(head)
	body, complete, failure := receiveResponse(t, stream)
	stream.Discard()
	is.Equal(body, "")
	is.True(!complete)
	is.True(failure != nil)
	is.True(!failure.TargetCrashed)
	fx.waitForLoad(exit.Load{Slots: 4})
	stream = fx.send(requestHead(http.MethodPost, "/orders", "swan"))
	defer stream.Discard()
	body, complete, _ = receiveResponse(t, stream)
	is.True(complete)
	is.Equal(body, "ok")
	is.Equal(connections.Load(), int64(2)) // that of the response that is none was closed
}

// FuzzResponseHead compares what the exit takes for a response with net/http: it accepts nothing that net/http
// rejects, and is stricter about the status (three digits from 100 to 599), about bodies of informational
// responses and about names of fields.
func FuzzResponseHead(f *testing.F) {
	for _, status := range invalidStatuses {
		f.Add([]byte(status.head + "Content-Length: 2\r\n\r\nno"))
		f.Add([]byte(status.head + "\r\n" + strayResponse))
	}
	f.Add([]byte("HTTP/1.1 100 Continue\r\nContent-Length: 43\r\n\r\n" + strayResponse))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 599 Last\r\n\r\n"))
	for _, line := range invalidFields {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nok"))
		f.Add([]byte("HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\n" + strayResponse))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		status, err := exit.ReceiveStatus(data)
		if err != nil {
			return
		}
		if status < http.StatusOK && status != http.StatusSwitchingProtocols || status > 599 {
			t.Fatalf("status %d accepted", status)
		}
		reader := bufio.NewReader(bytes.NewReader(data))
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("status %d accepted, net/http: %v", status, err)
			}
			for name := range response.Header {
				if strings.Contains(name, " ") {
					t.Fatalf("field %q accepted", name)
				}
			}
			if response.StatusCode == status {
				return
			}
			if response.StatusCode < 100 || response.StatusCode >= http.StatusOK {
				t.Fatalf("status %d accepted behind %d", status, response.StatusCode)
			}
		}
	})
}

// Guards against a target that responds with invalid statuses and counts as one that serves its requests.
func TestInvalidStatusCountsAsAFailureOfTheTarget(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	var served atomic.Int64
	fx.rawTarget(func(conn net.Conn, requests *bufio.Reader) {
		if _, err := readRequest(requests); err != nil {
			return
		}
		status := "999 High"
		if served.Add(1) > 1 {
			status = "200 OK"
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nno")
	})
	stream := fx.send(requestHead(http.MethodGet, "/", ""))
	_, _, failure := receiveResponse(t, stream)
	stream.Discard()
	is.True(failure != nil)
	fx.waitForLoad(exit.Load{Slots: 4})
	response := fx.roundTrip(requestHead(http.MethodGet, "/", ""))
	is.True(response.GetAnswer().GetLoad().GetFailurePermille() > 0)
}
