package exit_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

const waitLimit = 30 * time.Second // upper bound of every wait

// fixture is an Exit behind a peer server, with a pool of client sessions to it over TCP.
type fixture struct {
	t       testing.TB
	exit    *exit.Exit
	pool    *peer.Pool
	address string
	attempt uint64
	// announced is the latest announcement.
	announced admin.Announcement
}

func newFixture(t testing.TB, options ...func(*settings.Settings)) *fixture {
	t.Helper()
	return newFixtureOf(t, nil, options...)
}

// newFixtureOf returns a fixture whose exit has options of its own.
func newFixtureOf(t testing.TB, exitOptions []exit.Option, options ...func(*settings.Settings)) *fixture {
	t.Helper()
	is := is.New(t)
	s := settings.Default()
	s.Exit.WarmUp = 0
	s.Peer.SessionsPerPeer = 1
	for _, f := range options {
		f(&s)
	}
	identity := peer.Identity{Host: "h2", Zone: "b"}
	e := exit.New(s.Exit, identity, zap.NewNop(), exitOptions...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := peer.NewServer(identity, s.Peer, nil, e, zap.NewNop())
	go server.Serve(l)
	pool := peer.NewPool(peer.Identity{Host: "h1", Zone: "a"}, s.Peer, zap.NewNop())
	t.Cleanup(func() {
		pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		server.Shutdown(ctx)
		e.Close()
	})
	return &fixture{t: t, exit: e, pool: pool, address: l.Addr().String()}
}

// target starts an HTTP server with the handler and announces it as a target of service desk,
// version v1.
func (fx *fixture) target(slots int, handler http.HandlerFunc) *httptest.Server {
	fx.t.Helper()
	server := httptest.NewServer(handler)
	fx.t.Cleanup(server.Close)
	fx.announce(strings.TrimPrefix(server.URL, "http://"), slots)
	return server
}

func (fx *fixture) announce(address string, slots int) {
	fx.t.Helper()
	is := is.New(fx.t)
	fx.announced = admin.Announcement{Instance: "t1", Service: "desk", Version: "v1", Address: address, Slots: slots}
	is.NoErr(fx.exit.Announce(fx.announced))
}

func requestHead(method, path, body string) *peerpb.CallHead {
	return &peerpb.CallHead{
		RequestId:     "r1",
		Service:       "desk",
		Version:       "v1",
		Route:         "orders",
		Method:        method,
		Path:          path,
		Authority:     "desk.example",
		TimeoutMicros: waitLimit.Microseconds(),
		ContentLength: int64(len(body)),
		Revision:      42,
		InlineBody:    []byte(body),
		Complete:      true,
	}
}

func (fx *fixture) open() *peer.Stream {
	fx.t.Helper()
	is := is.New(fx.t)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	stream, err := fx.pool.OpenStream(ctx, "h2", fx.address)
	is.NoErr(err)
	return stream
}

// send sends the head of a request on a new or reused stream.
func (fx *fixture) send(head *peerpb.CallHead) *peer.Stream {
	fx.t.Helper()
	is := is.New(fx.t)
	stream := fx.open()
	fx.attempt++
	is.NoErr(stream.Send(&peerpb.CallFrame{Attempt: fx.attempt, Body: &peerpb.CallFrame_Head{Head: head}}))
	return stream
}

func receive(t testing.TB, stream *peer.Stream) *peerpb.CallFrame {
	t.Helper()
	is := is.New(t)
	frame := &peerpb.CallFrame{}
	is.NoErr(stream.Receive(frame))
	return frame
}

// roundTrip sends a request and returns the first frame of the outcome, for responses that fit
// into one frame.
func (fx *fixture) roundTrip(head *peerpb.CallHead) *peerpb.CallFrame {
	fx.t.Helper()
	stream := fx.send(head)
	defer stream.Release()
	return receive(fx.t, stream)
}

// Guards against changes of method, path, body and header on the way, except for hop-by-hop fields
// and the fields that the exit adds.
func TestRequestReachesTheTarget(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	var got *http.Request
	var gotBody string
	fx.target(2, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got, gotBody = r, string(body)
		w.Header().Set("X-Kind", "swan")
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, "carved")
	})
	head := requestHead(http.MethodPost, "/orders?size=2", "one swan")
	head.Headers = []*peerpb.Header{
		{Name: "Connection", Value: "X-Hop"},
		{Name: "X-Hop", Value: "1"},
		{Name: "X-Kept", Value: "2"},
		{Name: "Idempotency-Key", Value: "k1"},
	}
	response := fx.roundTrip(head).GetAnswer()
	is.Equal(response.Status, int32(http.StatusCreated))
	is.Equal(string(response.InlineBody), "carved")
	is.True(response.Complete)
	is.Equal(response.Load.Slots, int32(2))
	is.Equal(gotBody, "one swan")
	is.Equal(got.URL.String(), "/orders?size=2")
	is.Equal(got.Host, "desk.example")
	is.Equal(got.ContentLength, int64(8))
	for name, want := range map[string]string{
		"X-Hop":                "",
		"X-Kept":               "2",
		"Idempotency-Key":      "k1",
		"User-Agent":           "",
		exit.HeaderRequestID:   "r1",
		exit.HeaderRevision:    "42",
		"X-Absent-From-Caller": "",
	} {
		is.Equal(got.Header.Get(name), want) // header
	}
	is.True(got.Header.Get(exit.HeaderDeadline) != "")
}
