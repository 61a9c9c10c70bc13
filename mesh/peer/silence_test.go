package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// relay forwards connections until it silences those that are open.
type relay struct {
	listener net.Listener
	target   string
	forth    gate
	back     gate
}

// gate swallows what passes on connections opened before it was shut.
type gate struct{ shut chan struct{} }

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := &relay{listener: l, target: target}
	r.renew()
	t.Cleanup(func() { l.Close() })
	return r
}

func (r *relay) renew() {
	r.forth = gate{make(chan struct{})}
	r.back = gate{make(chan struct{})}
}

// serve forwards one connection and returns once it is accepted.
func (r *relay) serve() {
	near, err := r.listener.Accept()
	if err != nil {
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		near.Close()
		return
	}
	go forward(far, near, r.forth)
	go forward(near, far, r.back)
}

func forward(to, from net.Conn, g gate) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-g.shut:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func TestSilentSessionIsReplaced(t *testing.T) {
	const bound = 2 * time.Second
	cases := []struct {
		name    string
		silence func(r *relay)
	}{
		{"both directions", func(r *relay) { close(r.forth.shut); close(r.back.shut) }},
		{"towards the server", func(r *relay) { close(r.forth.shut) }},
		{"towards the caller", func(r *relay) { close(r.back.shut) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := peerSettings()
			s.Keepalive = revision.Duration(100 * time.Millisecond)
			_, address, pool := start(t, s, callFunc(echoCall))
			r := newRelay(t, address)
			through := r.listener.Addr().String()
			go r.serve()
			stream, err := pool.OpenStream(within(t), "h2", through)
			is.NoErr(err)
			call(t, stream, 1, "swan")

			c.silence(r)
			since := time.Now()
			stream.Send(head(2, "lion"))
			is.True(stream.Receive(&peerpb.CallFrame{}) != nil) // the call is cut, not refused
			stream.Discard()
			r.renew()
			go r.serve()
			next, err := pool.OpenStream(within(t), "h2", through)
			is.NoErr(err)
			is.Equal(string(call(t, next, 3, "bear").GetAnswer().InlineBody), "bear")
			next.Release()
			took := time.Since(since)
			t.Logf("recovered after %v", took)
			is.True(took < bound)
		})
	}
}

// A call that takes longer than the silence that is tolerated is not cut, be
// it the request or the answer that is late.
func TestSlowCallIsKeptAlive(t *testing.T) {
	is := is.New(t)
	s := peerSettings()
	s.Keepalive = revision.Duration(100 * time.Millisecond)
	const tolerated = 2
	var pool *peer.Pool
	handler := func(_ context.Context, _ *peerpb.CallFrame, stream *peer.Stream) bool {
		if stream.Receive(&peerpb.CallFrame{}) != nil {
			return false
		}
		_, before := pool.Bytes()
		waitForBytes(t, func() uint64 { _, received := pool.Bytes(); return received - before }, 2*tolerated)
		return stream.Send(answer(nil)) == nil
	}
	server, address, opened := start(t, s, callFunc(handler))
	pool = opened
	stream, err := pool.OpenStream(within(t), "h2", address)
	is.NoErr(err)
	defer stream.Discard()
	request := head(1, "")
	request.GetHead().Complete = false
	is.NoErr(stream.Send(request))
	answered := make(chan *peerpb.CallFrame, 1)
	go func() {
		frame := &peerpb.CallFrame{}
		stream.Receive(frame)
		answered <- frame
	}()
	waitForBytes(t, func() uint64 { _, received := server.Bytes(); return received }, 2*tolerated)
	is.NoErr(stream.Send(&peerpb.CallFrame{Attempt: 1, Body: &peerpb.CallFrame_End{End: &peerpb.CallEnd{}}}))
	is.True((<-answered).GetAnswer() != nil)
}

// waitForBytes waits until the keepalive frames were received.
func waitForBytes(t testing.TB, received func() uint64, frames uint64) {
	t.Helper()
	const frameBytes = 3 // length, tag and attempt
	ctx := within(t)
	for received() < frames*frameBytes {
		select {
		case <-ctx.Done():
			t.Errorf("only %d bytes received", received())
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}
