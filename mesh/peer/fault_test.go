package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/steperr"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// encodeHello returns the hello as a frame.
func encodeHello(t testing.TB, hello *peerpb.Hello) []byte {
	t.Helper()
	is := is.New(t)
	var buffer bytes.Buffer
	_, err := protodelim.MarshalTo(&buffer, hello)
	is.NoErr(err)
	return buffer.Bytes()
}

func TestInvalidInputOnThePortIsRefused(t *testing.T) {
	sessionHello := encodeHello(t, &peerpb.Hello{Protocol: peer.ProtocolVersion, Host: "h1"})
	requestHello := encodeHello(t, &peerpb.Hello{Protocol: peer.ProtocolVersion, Host: "h1", Carries: peerpb.StreamKind_STREAM_KIND_CALL})
	cases := []struct {
		name string
		sent []byte
	}{
		{"http request", []byte("GET / HTTP/1.1\r\nHost: h2\r\n\r\n" + string(make([]byte, 100)))},
		{"unterminated length", bytes.Repeat([]byte{0xff}, 64)},
		{"length above the limit", []byte{0xff, 0xff, 0xff, 0x7f}},
		{"truncated hello", sessionHello[:len(sessionHello)-1]},
		{"no protocol", encodeHello(t, &peerpb.Hello{Host: "h1"})},
		{"later protocol", encodeHello(t, &peerpb.Hello{Protocol: peer.ProtocolVersion + 1, Host: "h1"})},
		{"no host", encodeHello(t, &peerpb.Hello{Protocol: peer.ProtocolVersion})},
		{"invalid bytes after the hello", append(bytes.Clone(sessionHello), bytes.Repeat([]byte{0x5a}, 64)...)},
		{"invalid bytes in place of a request", append(bytes.Clone(requestHello), bytes.Repeat([]byte{0x5a}, 128)...)},
		{"request without a head", append(bytes.Clone(requestHello), 0)},
		{"no bytes", nil},
	}
	_, address, pool := startServer(t, peerSettings(), requestHandlerFunc(echoRequest))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			conn.Write(c.sent)
			conn.SetReadDeadline(time.Now().Add(testTimeout))
			_, err = io.Copy(io.Discard, conn) // returns once the server closes the connection
			var timeout net.Error
			is.True(!errors.As(err, &timeout) || !timeout.Timeout())
		})
	}
	is := is.New(t)
	stream, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	is.Equal(string(roundTrip(t, stream, 1, "swan").GetAnswer().InlineBody), "swan")
	stream.Release()
}

// serveHello accepts connections and sends the hello on each. It returns the address.
func serveHello(t testing.TB, hello *peerpb.Hello) string {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			protodelim.MarshalTo(conn, hello)
			io.Copy(io.Discard, conn)
			conn.Close()
		}
	}()
	return l.Addr().String()
}

func TestDialRejectsAnotherDaemon(t *testing.T) {
	cases := []struct {
		name  string
		hello *peerpb.Hello
		step  string
	}{
		{"another host", &peerpb.Hello{Protocol: peer.ProtocolVersion, Host: "h3"}, "check identity"},
		{"another protocol", &peerpb.Hello{Protocol: peer.ProtocolVersion + 1, Host: "h2"}, "check protocol"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			pool := peer.NewPool(peer.Identity{Host: "h1"}, peerSettings(), zap.NewNop())
			defer pool.Close()
			_, err := pool.OpenStream(testContext(t), "h2", serveHello(t, c.hello))
			is.True(errors.Is(err, peer.ErrHandshake))
			is.Equal(steperr.Step(err), c.step)
			is.Equal(steperr.Peer(err), "h2")
		})
	}
}

func TestUnreachableHostIsBackedOff(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	pool := peer.NewPool(peer.Identity{Host: "h1"}, peerSettings(), zap.NewNop())
	defer pool.Close()
	for range 5 {
		_, err := pool.OpenStream(testContext(t), "h2", address)
		is.True(errors.Is(err, peer.ErrDial))
	}
}

// A host that drops the first packet of each connection is given up soon enough that the request can
// still be served in time elsewhere.
func TestConnectTimesOutEarly(t *testing.T) {
	const limit = 400 * time.Millisecond
	is := is.New(t)
	full := fullListener(t)
	pool := peer.NewPool(peer.Identity{Host: "h1"}, peerSettings(), zap.NewNop())
	defer pool.Close()
	began := time.Now()
	_, err := pool.OpenStream(testContext(t), "h2", full)
	is.True(err != nil)
	is.True(time.Since(began) < limit)
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout())
}

// fullListener returns the address of a listener whose queue of new connections is full, so that the
// kernel drops the first packet of further ones.
func fullListener(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { syscall.Close(fd) })
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	is.NoErr(err)
	address := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	for range 4 { // the queue holds one or two
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { conn.Close() })
	}
	return address
}

func TestCancelledStreamIsNotReused(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	handler := func(ctx context.Context, first *peerpb.CallFrame, s *peer.Stream) bool {
		if first.Attempt != 1 {
			return echoRequest(ctx, first, s)
		}
		s.WatchClose(func() { close(closed) })
		<-closed
		return false
	}
	_, address, pool := startServer(t, peerSettings(), requestHandlerFunc(handler))
	first, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	is.NoErr(first.Send(requestFrame(1, "swan")))
	first.Discard()
	<-closed
	second, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	is.True(first != second)
	is.Equal(string(roundTrip(t, second, 2, "lion").GetAnswer().InlineBody), "lion")
	second.Release()
}

func TestRequestWithoutResponseIsAFailure(t *testing.T) {
	cases := []struct {
		name    string
		handler requestHandlerFunc
	}{
		{"returns", func(context.Context, *peerpb.CallFrame, *peer.Stream) bool { return true }},
		{"panics", func(context.Context, *peerpb.CallFrame, *peer.Stream) bool { panic("handler") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, address, pool := startServer(t, peerSettings(), c.handler)
			stream, err := pool.OpenStream(testContext(t), "h2", address)
			is.NoErr(err)
			is.True(roundTrip(t, stream, 1, "swan").GetFailure() != nil)
			stream.Discard()
		})
	}
}

func TestFrameOfAnotherAttemptEndsTheStream(t *testing.T) {
	is := is.New(t)
	handler := func(_ context.Context, _ *peerpb.CallFrame, s *peer.Stream) bool {
		frame := &peerpb.CallFrame{}
		return s.Receive(frame) == nil
	}
	_, address, pool := startServer(t, peerSettings(), requestHandlerFunc(handler))
	stream, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	defer stream.Discard()
	is.NoErr(stream.Send(requestFrame(1, "swan")))
	is.NoErr(stream.Send(&peerpb.CallFrame{Attempt: 2, Body: &peerpb.CallFrame_Data{Data: []byte("x")}}))
	frame := receive(t, stream)
	is.True(frame.GetFailure() != nil)
}

// receive returns the next frame of the stream.
func receive(t testing.TB, s *peer.Stream) *peerpb.CallFrame {
	t.Helper()
	is := is.New(t)
	frame := &peerpb.CallFrame{}
	is.NoErr(s.Receive(frame))
	return frame
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	is := is.New(t)
	server, address, pool := startServer(t, peerSettings(), requestHandlerFunc(echoRequest))
	stream, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	roundTrip(t, stream, 1, "swan")
	stream.Release()
	is.NoErr(server.Shutdown(testContext(t)))
	_, err = pool.OpenStream(testContext(t), "h2", address)
	is.True(errors.Is(err, peer.ErrDial))
}

func TestStreamLimit(t *testing.T) {
	is := is.New(t)
	s := peerSettings()
	s.MaxStreams = 2
	_, address, pool := startServer(t, s, requestHandlerFunc(echoRequest))
	var open []*peer.Stream
	for range 2 {
		stream, err := pool.OpenStream(testContext(t), "h2", address)
		is.NoErr(err)
		open = append(open, stream)
	}
	_, err := pool.OpenStream(testContext(t), "h2", address)
	is.True(errors.Is(err, peer.ErrLimit))
	open[0].Discard()
	stream, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	stream.Discard()
	open[1].Discard()
}

func TestShutdownFinishesCallsAndRefusesUnreadOnes(t *testing.T) {
	is := is.New(t)
	entered, finish := make(chan struct{}), make(chan struct{})
	var once sync.Once
	release := func() { once.Do(func() { close(finish) }) }
	defer release()
	handler := func(ctx context.Context, first *peerpb.CallFrame, s *peer.Stream) bool {
		if string(first.GetHead().InlineBody) == "slow" {
			close(entered)
			<-finish
		}
		return echoRequest(ctx, first, s)
	}
	server, address, pool := startServer(t, peerSettings(), requestHandlerFunc(handler))
	streams := openUsedStreams(t, pool, address)
	is.NoErr(streams[0].Send(requestFrame(10, "slow")))
	<-entered

	done := make(chan error, 1)
	go func() { done <- server.Shutdown(testContext(t)) }()
	waitForShutdown(t, pool, address)
	refusal := roundTrip(t, streams[1], 11, "late").GetRefusal()
	is.True(refusal != nil)
	is.Equal(refusal.Reason, peerpb.RefusalReason_REFUSAL_REASON_LEAVING)
	streams[1].Release()

	release()
	is.Equal(string(receive(t, streams[0]).GetAnswer().InlineBody), "slow")
	streams[0].Release()
	is.NoErr(<-done)
}

// openUsedStreams returns two streams, each of which has carried a request.
func openUsedStreams(t testing.TB, pool *peer.Pool, address string) [2]*peer.Stream {
	t.Helper()
	is := is.New(t)
	var streams [2]*peer.Stream
	for i := range streams {
		stream, err := pool.OpenStream(testContext(t), "h2", address)
		is.NoErr(err)
		roundTrip(t, stream, uint64(i+1), "first")
		streams[i] = stream
	}
	return streams
}

// waitForShutdown waits until a new stream can no longer be opened or its request is refused.
func waitForShutdown(t testing.TB, pool *peer.Pool, address string) {
	t.Helper()
	ctx := testContext(t)
	for attempt := uint64(100); ; attempt++ {
		stream, err := pool.OpenStream(ctx, "h2", address)
		if err != nil {
			return
		}
		stream.Send(requestFrame(attempt, "probe"))
		frame := receive(t, stream)
		stream.Discard()
		if frame.GetRefusal() != nil {
			return
		}
	}
}
