package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/descriptors"
	"sassafrasnotch.example/mesh/limitedconn"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

const testTimeout = 30 * time.Second // bounds every wait

func peerSettings() settings.Peer {
	s := settings.Default().Peer
	s.SessionsPerPeer = 1
	return s
}

// requestHandlerFunc is a function that implements RequestHandler.
type requestHandlerFunc func(ctx context.Context, first *peerpb.CallFrame, s *peer.Stream) bool

func (f requestHandlerFunc) ServeRequest(ctx context.Context, _ peer.Identity, first *peerpb.CallFrame, s *peer.Stream) bool {
	return f(ctx, first, s)
}

// echoControl replies to a PullChanges with a PullReply of the same revision.
type echoControl struct{}

func (echoControl) ServeControl(_ context.Context, _ peer.Identity, req *peerpb.ControlRequest) *peerpb.ControlReply {
	pull := &peerpb.PullReply{Applied: req.GetPull().GetAfter()}
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Pull{Pull: pull}}
}

// echoRequest responds with the inline body of the request.
func echoRequest(_ context.Context, first *peerpb.CallFrame, s *peer.Stream) bool {
	return s.Send(responseFrame(first.GetHead().InlineBody)) == nil
}

// responseFrame returns a complete response with the body.
func responseFrame(body []byte) *peerpb.CallFrame {
	return &peerpb.CallFrame{Body: &peerpb.CallFrame_Answer{Answer: &peerpb.AnswerHead{
		Status: 200, InlineBody: body, Complete: true,
	}}}
}

// requestFrame returns a complete request with the body.
func requestFrame(attempt uint64, body string) *peerpb.CallFrame {
	return &peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_Head{Head: &peerpb.CallHead{
		Service: "desk", InlineBody: []byte(body), Complete: true,
	}}}
}

// startServer serves the handler as host "h2". It returns the server, its address and a pool of
// host "h1".
func startServer(t testing.TB, s settings.Peer, handler peer.RequestHandler) (*peer.Server, string, *peer.Pool) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := peer.NewServer(peer.Identity{Host: "h2", Zone: "b"}, s, echoControl{}, handler, zap.NewNop())
	go server.Serve(l)
	pool := peer.NewPool(peer.Identity{Host: "h1", Zone: "a", Incarnation: 7}, s, zap.NewNop())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		pool.Close()
		server.Shutdown(ctx)
	})
	return server, l.Addr().String(), pool
}

// testContext returns a context that ends with the test or after testTimeout.
func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// roundTrip sends a request and returns the first frame of the response.
func roundTrip(t testing.TB, s *peer.Stream, attempt uint64, body string) *peerpb.CallFrame {
	t.Helper()
	is := is.New(t)
	is.NoErr(s.Send(requestFrame(attempt, body)))
	var frame peerpb.CallFrame
	is.NoErr(s.Receive(&frame))
	return &frame
}

func TestRequestsReuseTheStream(t *testing.T) {
	is := is.New(t)
	_, address, pool := startServer(t, peerSettings(), requestHandlerFunc(echoRequest))
	first, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	is.Equal(first.Peer().Zone, "b")
	is.Equal(string(roundTrip(t, first, 1, "swan").GetAnswer().InlineBody), "swan")
	first.Release()
	second, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	is.True(first == second)
	is.Equal(string(roundTrip(t, second, 2, "lion").GetAnswer().InlineBody), "lion")
}

func TestControl(t *testing.T) {
	is := is.New(t)
	_, address, pool := startServer(t, peerSettings(), requestHandlerFunc(echoRequest))
	for revision := uint64(1); revision < 4; revision++ {
		req := &peerpb.ControlRequest{Body: &peerpb.ControlRequest_Pull{Pull: &peerpb.PullChanges{After: revision}}}
		reply, err := pool.Control(testContext(t), "h2", address, req)
		is.NoErr(err)
		is.Equal(reply.GetPull().Applied, revision)
	}
	sent, received := pool.Bytes()
	is.True(sent > 0)
	is.True(received > 0)
}

func TestLocalRequestsNeedNoConnection(t *testing.T) {
	is := is.New(t)
	pool := peer.NewPool(peer.Identity{Host: "h1", Zone: "a"}, peerSettings(), zap.NewNop())
	pool.SetLocalHandlers(requestHandlerFunc(echoRequest), echoControl{})
	stream, err := pool.OpenStream(testContext(t), "h1", "")
	is.NoErr(err)
	is.Equal(string(roundTrip(t, stream, 1, "swan").GetAnswer().InlineBody), "swan")
	stream.Release()
}

func TestIdleStreamIsClosedWhenTheBudgetIsUsedUp(t *testing.T) {
	is := is.New(t)
	_, first, pool := startServer(t, peerSettings(), requestHandlerFunc(echoRequest))
	_, second, _ := startServer(t, peerSettings(), requestHandlerFunc(echoRequest))
	budget := descriptors.NewBudget(64)
	pool.UseBudget(budget)
	stream, err := pool.OpenStream(testContext(t), "h2", first)
	is.NoErr(err)
	is.Equal(string(roundTrip(t, stream, 1, "swan").GetAnswer().InlineBody), "swan")
	stream.Release()
	for budget.Acquire(descriptors.PeersDialed) {
	}
	stream, err = pool.OpenStream(testContext(t), "h2", second)
	is.NoErr(err)
	defer stream.Release()
	_, err = pool.OpenStream(testContext(t), "h2", first)
	is.True(errors.Is(err, limitedconn.ErrNoDescriptor))
}

func TestShortageOnThisHostDelaysNoLaterDial(t *testing.T) {
	is := is.New(t)
	_, address, pool := startServer(t, peerSettings(), requestHandlerFunc(echoRequest))
	budget := descriptors.NewBudget(64)
	pool.UseBudget(budget)
	for budget.Acquire(descriptors.PeersDialed) {
	}
	_, err := pool.OpenStream(testContext(t), "h2", address)
	is.True(errors.Is(err, limitedconn.ErrNoDescriptor))
	budget.Release(descriptors.PeersDialed)
	stream, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	is.Equal(string(roundTrip(t, stream, 1, "swan").GetAnswer().InlineBody), "swan")
	stream.Release()
}
