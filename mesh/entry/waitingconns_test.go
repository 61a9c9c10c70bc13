package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

// newLimitedFixture returns a fixture whose configuration limits its callers.
func newLimitedFixture(t *testing.T, limits revision.CallerLimits) *fixture {
	t.Helper()
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, ""), nil))
	f.configuration.Store(applyChange(t, f.configuration.Load(), revision.Resource{Limits: &limits}))
	return f
}

// readUntilClosed waits until the daemon closes the connection. It returns the time of the
// close and the bytes received before it.
func readUntilClosed(t *testing.T, conn net.Conn) (at time.Time, received string) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	data, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("reading until an orderly close of the connection: %v", err)
	}
	return time.Now(), string(data)
}

// requestOn sends a request on the connection and reads its response.
func requestOn(t *testing.T, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(conn, "GET /order HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
}

func TestIdleConnectionsAreEndedAtTheLimit(t *testing.T) {
	const limit = 600 * time.Millisecond
	is := is.New(t)
	f := newLimitedFixture(t, revision.CallerLimits{IdleTimeout: revision.Duration(limit)})
	conn := dial(t, f)
	for range 3 { // a connection in use stays open for longer than the limit
		time.Sleep(limit * 4 / 5)
		requestOn(t, conn)
	}
	idle := time.Now()
	at, received := readUntilClosed(t, conn)
	is.True(at.Sub(idle) >= limit)
	is.Equal(received, "")

	// A configuration without the limit applies to open connections too.
	other := dial(t, f)
	requestOn(t, other)
	f.configuration.Store(applyChange(t, f.configuration.Load(), revision.Resource{Limits: &revision.CallerLimits{}}))
	time.Sleep(limit + 2*expiryInterval)
	requestOn(t, other)
}

func TestSlowHeadersAreEndedAtTheLimit(t *testing.T) {
	const limit = 400 * time.Millisecond
	is := is.New(t)
	f := newLimitedFixture(t, revision.CallerLimits{HeaderTimeout: revision.Duration(limit)})
	conn := dial(t, f)
	time.Sleep(2 * limit) // without a byte received the connection is idle, which has no limit here
	requestOn(t, conn)
	_, err := io.WriteString(conn, "GET /order HTTP/1.1\r\nHost")
	is.NoErr(err)
	began := time.Now()
	at, received := readUntilClosed(t, conn)
	is.True(at.Sub(began) >= limit*9/10)     // the first byte arrived before began
	is.True(at.Sub(began) < headerTimeout/2) // so the limit closed it, not headerTimeout
	is.True(strings.HasPrefix(received, "HTTP/1.1 4"))
	is.Equal(f.hosts.dispatched(), 1)
}

// A request that was read just as its connection expired is served.
func TestRequestReadAsItsConnectionExpiresIsServed(t *testing.T) {
	is := is.New(t)
	waiting := newWaitingConns()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	waiting.track(near, http.StateIdle)
	waiting.expire(time.Now().Add(time.Minute), revision.CallerLimits{IdleTimeout: revision.Duration(time.Second)})
	waiting.track(near, http.StateActive)
	go func() { _, _ = far.Write([]byte("x")) }()
	_, err := near.Read(make([]byte, 1))
	is.NoErr(err)
}

func TestLimitsOfTheConfiguration(t *testing.T) {
	f := newLimitedFixture(t, revision.CallerLimits{MaxHeaderBytes: 600, MaxBodyBytes: 1000})
	for _, c := range []struct {
		name         string
		header, body int
		status, runs int
	}{
		{"within the limits", 400, 1000, 200, 1},
		{"header above the limit", 600, 0, http.StatusRequestHeaderFieldsTooLarge, 0},
		{"body above the limit", 0, 1001, http.StatusRequestEntityTooLarge, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := f.hosts.dispatched()
			request, err := http.NewRequest(http.MethodPost, f.url+"/order", strings.NewReader(strings.Repeat("x", c.body)))
			is.NoErr(err)
			request.Header.Set("X-Wish", strings.Repeat("x", c.header))
			response, err := f.client.Do(request)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, c.status)
			is.Equal(f.hosts.dispatched()-before, c.runs)
		})
	}
}
