package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// relay forwards connections to target, until it discards what is sent on those that are open.
type relay struct {
	listener net.Listener
	target   string
	toServer blackhole
	toClient blackhole
}

// blackhole discards what is sent in one direction of a connection once enabled is closed.
type blackhole struct{ enabled chan struct{} }

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := &relay{listener: l, target: target}
	r.reset()
	t.Cleanup(func() { l.Close() })
	return r
}

// reset makes the relay forward again on connections accepted from then on.
func (r *relay) reset() {
	r.toServer = blackhole{make(chan struct{})}
	r.toClient = blackhole{make(chan struct{})}
}

// forwardOne accepts one connection and starts to forward it.
func (r *relay) forwardOne() {
	client, err := r.listener.Accept()
	if err != nil {
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	go forward(server, client, r.toServer)
	go forward(client, server, r.toClient)
}

// forward copies bytes until a connection is closed, and discards them while hole is enabled.
func forward(to, from net.Conn, hole blackhole) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-hole.enabled:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	const maxRecovery = 2 * time.Second
	cases := []struct {
		name      string
		interrupt func(r *relay)
	}{
		{"both directions", func(r *relay) { close(r.toServer.enabled); close(r.toClient.enabled) }},
		{"towards the server", func(r *relay) { close(r.toServer.enabled) }},
		{"towards the caller", func(r *relay) { close(r.toClient.enabled) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := peerSettings()
			s.Keepalive = revision.Duration(100 * time.Millisecond)
			_, address, pool := startServer(t, s, requestHandlerFunc(echoRequest))
			r := newRelay(t, address)
			relayAddress := r.listener.Addr().String()
			go r.forwardOne()
			stream, err := pool.OpenStream(testContext(t), "h2", relayAddress)
			is.NoErr(err)
			roundTrip(t, stream, 1, "swan")

			c.interrupt(r)
			start := time.Now()
			stream.Send(requestFrame(2, "lion"))
			is.True(stream.Receive(&peerpb.CallFrame{}) != nil) // an error, not a refusal
			stream.Discard()
			r.reset()
			go r.forwardOne()
			next, err := pool.OpenStream(testContext(t), "h2", relayAddress)
			is.NoErr(err)
			is.Equal(string(roundTrip(t, next, 3, "bear").GetAnswer().InlineBody), "bear")
			next.Release()
			elapsed := time.Since(start)
			t.Logf("recovered after %v", elapsed)
			is.True(elapsed < maxRecovery)
		})
	}
}

// A request that lasts longer than maxSilentIntervals does not fail, whether the end of the request
// or the response is late.
func TestSlowRequestIsKeptAlive(t *testing.T) {
	is := is.New(t)
	s := peerSettings()
	s.Keepalive = revision.Duration(100 * time.Millisecond)
	const maxSilentIntervals = 2
	var pool *peer.Pool
	handler := func(_ context.Context, _ *peerpb.CallFrame, stream *peer.Stream) bool {
		if stream.Receive(&peerpb.CallFrame{}) != nil {
			return false
		}
		_, before := pool.Bytes()
		waitForBytes(t, func() uint64 { _, received := pool.Bytes(); return received - before }, 2*maxSilentIntervals)
		return stream.Send(responseFrame(nil)) == nil
	}
	server, address, clientPool := startServer(t, s, requestHandlerFunc(handler))
	pool = clientPool
	stream, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	defer stream.Discard()
	request := requestFrame(1, "")
	request.GetHead().Complete = false
	is.NoErr(stream.Send(request))
	responses := make(chan *peerpb.CallFrame, 1)
	go func() {
		frame := &peerpb.CallFrame{}
		stream.Receive(frame)
		responses <- frame
	}()
	waitForBytes(t, func() uint64 { _, received := server.Bytes(); return received }, 2*maxSilentIntervals)
	is.NoErr(stream.Send(&peerpb.CallFrame{Attempt: 1, Body: &peerpb.CallFrame_End{End: &peerpb.CallEnd{}}}))
	is.True((<-responses).GetAnswer() != nil)
}

// waitForBytes waits until the bytes of the given number of keepalive frames are received.
func waitForBytes(t testing.TB, received func() uint64, frames uint64) {
	t.Helper()
	const frameBytes = 3 // length, tag and attempt
	ctx := testContext(t)
	for received() < frames*frameBytes {
		select {
		case <-ctx.Done():
			t.Errorf("received %d bytes, want those of all keepalive frames", received())
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// pausedRelay forwards one connection to the target, and holds bytes back while it is paused.
type pausedRelay struct {
	address string
	mutex   sync.Mutex // held while paused
}

func newPausedRelay(t *testing.T, target string) *pausedRelay {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	r := &pausedRelay{address: l.Addr().String()}
	go func() {
		client, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", target)
		if err != nil {
			client.Close()
			return
		}
		go r.copy(server, client)
		go r.copy(client, server)
	}()
	return r
}

func (r *pausedRelay) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.mutex.Lock()
		_, err = to.Write(buffer[:n])
		r.mutex.Unlock()
		if err != nil {
			return
		}
	}
}

// A host that is paused while it runs a request that must not be repeated is not given up; it is
// one that may be repeated that fails, so that it can run elsewhere.
func TestPausedHostIsAwaitedWhereARepetitionIsOfNoUse(t *testing.T) {
	const pause = time.Second // ten keepalive intervals
	for _, keep := range []bool{true, false} {
		is := is.New(t)
		s := peerSettings()
		s.Keepalive = revision.Duration(100 * time.Millisecond)
		var r *pausedRelay
		resumed := make(chan struct{})
		_, address, pool := startServer(t, s, requestHandlerFunc(func(ctx context.Context, frame *peerpb.CallFrame, stream *peer.Stream) bool {
			r.mutex.Lock()
			time.AfterFunc(pause, func() {
				r.mutex.Unlock()
				close(resumed)
			})
			return echoRequest(ctx, frame, stream)
		}))
		r = newPausedRelay(t, address)
		stream, err := pool.OpenStream(testContext(t), "h2", r.address)
		is.NoErr(err)
		is.NoErr(stream.SetDeadline(time.Now().Add(20 * time.Second)))
		is.NoErr(stream.Send(requestFrame(1, "swan")))
		silences := 0
		if keep {
			stream.KeepThroughSilence(func() { silences++ })
		}
		frame := new(peerpb.CallFrame)
		err = stream.Receive(frame)
		if keep {
			is.NoErr(err)
			is.Equal(string(frame.GetAnswer().GetInlineBody()), "swan")
			is.Equal(silences, 1)
		} else {
			is.True(err != nil)
		}
		stream.Discard()
		<-resumed
	}
}
