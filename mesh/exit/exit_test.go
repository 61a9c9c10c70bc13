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

const patience = 30 * time.Second // caps every wait

// bench is an Exit behind a server, with a pool that calls it over TCP.
type bench struct {
	t       testing.TB
	exit    *exit.Exit
	pool    *peer.Pool
	address string
	attempt uint64
	// announced is the target announced last.
	announced admin.Announcement
}

func newBench(t testing.TB, change ...func(*settings.Settings)) *bench {
	t.Helper()
	is := is.New(t)
	s := settings.Default()
	s.Exit.WarmUp = 0
	s.Peer.SessionsPerPeer = 1
	for _, f := range change {
		f(&s)
	}
	self := peer.Identity{Host: "h2", Zone: "b"}
	e := exit.New(s.Exit, self, zap.NewNop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := peer.NewServer(self, s.Peer, nil, e, zap.NewNop())
	go server.Serve(l)
	pool := peer.NewPool(peer.Identity{Host: "h1", Zone: "a"}, s.Peer, zap.NewNop())
	t.Cleanup(func() {
		pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		server.Shutdown(ctx)
		e.Close()
	})
	return &bench{t: t, exit: e, pool: pool, address: l.Addr().String()}
}

// target announces an HTTP handler as a target of desk v1 with the slots.
func (b *bench) target(slots int, handler http.HandlerFunc) *httptest.Server {
	b.t.Helper()
	server := httptest.NewServer(handler)
	b.t.Cleanup(server.Close)
	b.announce(strings.TrimPrefix(server.URL, "http://"), slots)
	return server
}

func (b *bench) announce(address string, slots int) {
	b.t.Helper()
	is := is.New(b.t)
	b.announced = admin.Announcement{Instance: "t1", Service: "desk", Version: "v1", Address: address, Slots: slots}
	is.NoErr(b.exit.Announce(b.announced))
}

func callHead(method, path, body string) *peerpb.CallHead {
	return &peerpb.CallHead{
		RequestId:     "r1",
		Service:       "desk",
		Version:       "v1",
		Route:         "orders",
		Method:        method,
		Path:          path,
		Authority:     "desk.example",
		TimeoutMicros: patience.Microseconds(),
		ContentLength: int64(len(body)),
		Revision:      42,
		InlineBody:    []byte(body),
		Complete:      true,
	}
}

func (b *bench) open() *peer.Stream {
	b.t.Helper()
	is := is.New(b.t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	stream, err := b.pool.OpenCall(ctx, "h2", b.address)
	is.NoErr(err)
	return stream
}

// send starts a call on a new or reused stream.
func (b *bench) send(head *peerpb.CallHead) *peer.Stream {
	b.t.Helper()
	is := is.New(b.t)
	stream := b.open()
	b.attempt++
	is.NoErr(stream.Send(&peerpb.CallFrame{Attempt: b.attempt, Body: &peerpb.CallFrame_Head{Head: head}}))
	return stream
}

func receive(t testing.TB, stream *peer.Stream) *peerpb.CallFrame {
	t.Helper()
	is := is.New(t)
	frame := &peerpb.CallFrame{}
	is.NoErr(stream.Receive(frame))
	return frame
}

// call runs a call whose answer fits into one frame.
func (b *bench) call(head *peerpb.CallHead) *peerpb.CallFrame {
	b.t.Helper()
	stream := b.send(head)
	defer stream.Release()
	return receive(b.t, stream)
}

func TestCallReachesTheTarget(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	var got *http.Request
	var gotBody string
	b.target(2, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got, gotBody = r, string(body)
		w.Header().Set("X-Kind", "swan")
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, "carved")
	})
	head := callHead(http.MethodPost, "/orders?size=2", "one swan")
	head.Headers = []*peerpb.Header{
		{Name: "Connection", Value: "X-Hop"},
		{Name: "X-Hop", Value: "1"},
		{Name: "X-Kept", Value: "2"},
		{Name: "Idempotency-Key", Value: "k1"},
	}
	answer := b.call(head).GetAnswer()
	is.Equal(answer.Status, int32(http.StatusCreated))
	is.Equal(string(answer.InlineBody), "carved")
	is.True(answer.Complete)
	is.Equal(answer.Load.Slots, int32(2))
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
