package peer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

// newTestStream returns a dialed stream that belongs to a streamPool, and the other end of its
// connection.
func newTestStream(t *testing.T) (*Stream, net.Conn) {
	t.Helper()
	local, peer := newMemoryConns()
	pool := NewPool(Identity{Host: "h1"}, settings.Default().Peer, zap.NewNop())
	s := newStream(local, Identity{Host: "h2"}, true, 20*time.Millisecond, &pool.controlBytes)
	s.pool = newStreamPool(pool, remoteKey{host: "h2"}, newDialBackoff("h2"))
	t.Cleanup(func() {
		s.Discard()
		peer.Close()
	})
	return s, peer
}

// refusalFrame returns a refusal of the attempt.
func refusalFrame(attempt uint64) *peerpb.CallFrame {
	frame := closeFrame()
	frame.Attempt = attempt
	return frame
}

// Only a close frame or a refusal, or a connection that took no byte of the request, proves that
// the request was not read. The end of the connection does not: the daemon may have ended with it.
func TestUnreadRequestIsARefusal(t *testing.T) {
	const attempt = 3
	cases := []struct {
		name    string
		act     func(peer net.Conn)
		refused bool
	}{
		{"close frame", func(peer net.Conn) { writeFrame(peer, closeFrame(), maxCallFrame) }, true},
		{"refusal", func(peer net.Conn) { writeFrame(peer, refusalFrame(attempt), maxCallFrame) }, true},
		{"refusal of another attempt", func(peer net.Conn) { writeFrame(peer, refusalFrame(attempt+1), maxCallFrame) }, false},
		{"closed before the request", func(peer net.Conn) { peer.Close() }, true},
		{"silence", func(net.Conn) {}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, peer := newTestStream(t)
			c.act(peer)
			is.NoErr(s.Send(requestFrame("swan")))
			var frame peerpb.CallFrame
			err := s.Receive(&frame)
			is.Equal(err == nil && frame.GetRefusal() != nil, c.refused)
		})
	}
}

func TestConnectionEndDuringRequestIsAnError(t *testing.T) {
	is := is.New(t)
	s, peer := newTestStream(t)
	is.NoErr(s.Send(requestFrame("swan")))
	peer.Close()
	is.True(s.Receive(&peerpb.CallFrame{}) != nil)
}

func TestReadTimeoutClosesIdleStreams(t *testing.T) {
	is := is.New(t)
	s, _ := newTestStream(t)
	other, peer := newTestStream(t)
	other.pool = s.pool
	other.Release()
	is.NoErr(s.Send(requestFrame("swan")))
	is.True(s.Receive(&peerpb.CallFrame{}) != nil)
	_, err := peer.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(len(s.pool.idle), 0)
}

func TestAbandonedRequestStartsAProbe(t *testing.T) {
	is := is.New(t)
	local, peer := newMemoryConns()
	defer peer.Close()
	peerSettings := settings.Default().Peer
	peerSettings.Keepalive = revision.Duration(20 * time.Millisecond)
	s, err := newSession(local, Identity{Host: "h2"}, true, peerSettings, &byteCounts{}, zap.NewNop())
	is.NoErr(err)
	s.requestProbe()
	s.keepalive(time.Hour, true) // returns once the session is closed
}

// A daemon of a build that doesn't answer checks is sent none, and streams in steady use aren't
// checked.
func TestOnlyStreamsThatMayBeBrokenAreChecked(t *testing.T) {
	const keepalive = 500 * time.Millisecond
	now := time.Now()
	cases := []struct {
		answersChecks bool
		idle          time.Duration
		checked       bool
	}{
		{true, keepalive / 2, false}, {true, 2 * keepalive, true}, {false, time.Hour, false},
	}
	for _, c := range cases {
		s := &Stream{answersChecks: c.answersChecks, idleSince: now.Add(-c.idle), keepaliveInterval: keepalive}
		is.New(t).Equal(s.needsCheck(now), c.checked)
	}
}
