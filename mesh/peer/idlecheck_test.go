package peer_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer"
)

const idleTestKeepalive = 50 * time.Millisecond

// idleStreamTo returns a pool with one idle stream to a server behind a relay, idle for long enough
// to be checked.
func idleStreamTo(t *testing.T) (pool *peer.Pool, r *relay, address string) {
	t.Helper()
	s := peerSettings()
	s.Keepalive = revision.Duration(idleTestKeepalive)
	_, server, pool := startServer(t, s, requestHandlerFunc(echoRequest))
	r = newRelay(t, server)
	go r.forwardOne()
	address = r.listener.Addr().String()
	stream, err := pool.OpenStream(testContext(t), "h2", address)
	is.New(t).NoErr(err)
	roundTrip(t, stream, 1, "swan")
	stream.Release()
	time.Sleep(2 * idleTestKeepalive)
	return pool, r, address
}

// A host that lost power, its path or its processor while a stream to it was idle must not be sent a
// request on the stream: nobody could tell whether the request ran.
func TestNoRequestIsSentOnASilentIdleStream(t *testing.T) {
	const limit = 400 * time.Millisecond
	for _, direction := range []string{"towards the server", "towards the caller"} {
		t.Run(direction, func(t *testing.T) {
			is := is.New(t)
			pool, r, address := idleStreamTo(t)
			if direction == "towards the server" {
				close(r.toServer.enabled)
			} else {
				close(r.toClient.enabled)
			}
			began := time.Now()
			_, err := pool.OpenStream(testContext(t), "h2", address)
			is.True(errors.Is(err, peer.ErrDial))
			var timeout net.Error
			is.True(errors.As(err, &timeout) && timeout.Timeout())
			is.True(time.Since(began) < limit)

			r.reset()
			go r.forwardOne()
			next, err := pool.OpenStream(testContext(t), "h2", address)
			is.NoErr(err)
			is.Equal(string(roundTrip(t, next, 2, "bear").GetAnswer().InlineBody), "bear")
			next.Release()
		})
	}
}

// A checked stream carries further requests; the relay forwards one connection only.
func TestCheckedIdleStreamIsReused(t *testing.T) {
	is := is.New(t)
	pool, _, address := idleStreamTo(t)
	for attempt := uint64(2); attempt < 6; attempt++ {
		stream, err := pool.OpenStream(testContext(t), "h2", address)
		is.NoErr(err)
		is.Equal(string(roundTrip(t, stream, attempt, "bear").GetAnswer().InlineBody), "bear")
		stream.Release()
		time.Sleep(2 * idleTestKeepalive)
	}
}

// A server that stops closes its idle connections; the next request finds out without a time-out.
func TestCheckOfAClosedIdleStreamLeadsToADial(t *testing.T) {
	is := is.New(t)
	s := peerSettings()
	s.Keepalive = revision.Duration(idleTestKeepalive)
	server, address, pool := startServer(t, s, requestHandlerFunc(echoRequest))
	stream, err := pool.OpenStream(testContext(t), "h2", address)
	is.NoErr(err)
	roundTrip(t, stream, 1, "swan")
	stream.Release()
	time.Sleep(2 * idleTestKeepalive)
	go server.Shutdown(testContext(t))
	time.Sleep(idleTestKeepalive)
	_, err = pool.OpenStream(testContext(t), "h2", address)
	is.True(errors.Is(err, peer.ErrDial))
	var timeout net.Error
	is.True(!(errors.As(err, &timeout) && timeout.Timeout())) // refused by the closed port
}
