package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

func TestLeavingEntryRefusesAndCloses(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, ""), nil))
	f.entry.Leave()
	response, err := f.client.Get(f.url + "/order")
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, 503)
	is.True(response.Close)
	is.Equal(f.hosts.dispatched(), 0)
}

// A shutdown lets the request in flight finish and refuses one that arrives meanwhile on an
// open connection.
func TestShutdownCutsNothing(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	f := newFixture(t, testSettings(), nil, twoHosts(func(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
		<-proceed
		respondsWith(200, "carved")(stream, head, attempt)
	}, nil))
	send := func(conn net.Conn) {
		_, err := io.WriteString(conn, "GET /order HTTP/1.1\r\nHost: x\r\n\r\n")
		is.NoErr(err)
	}
	receive := func(conn net.Conn) *http.Response {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.True(response.Close)
		return response
	}
	f.server.refusalPeriod = 20 * time.Second // ends with the last connection
	inFlight, idle := dial(t, f), dial(t, f)
	send(inFlight)
	waitFor(t, func() bool { return f.hosts.dispatched() == 1 && f.server.Connections() == 2 })
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Shutdown(t.Context()) }()
	waitFor(t, f.entry.leaving.Load)
	send(idle)
	is.Equal(receive(idle).StatusCode, 503)
	close(proceed)
	is.Equal(receive(inFlight).StatusCode, 200)
	is.NoErr(<-stopped)
	is.Equal(f.hosts.dispatched(), 1)
}

// A connection that was opened and never used does not delay a shutdown.
func TestShutdownWaitsForNoUnusedConnection(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, ""), nil))
	dial(t, f)
	waitFor(t, func() bool { return f.server.Connections() == 1 })
	began := time.Now()
	is.NoErr(f.server.Shutdown(t.Context()))
	is.True(time.Since(began) < 2*time.Second) // net/http would wait for five
}
