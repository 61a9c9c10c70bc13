package connstate

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// eventuallyClosed reports whether the connection is reported as closed within a second.
func eventuallyClosed(conn net.Conn) bool {
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ClosedByPeer(conn) {
			return true
		}
	}
	return false
}

func TestOpenConnectionIsNotClosed(t *testing.T) {
	is := is.New(t)
	near, far := connPair(t)
	is.True(!ClosedByPeer(near))
	is.True(!Readable(near))
	_, err := far.Write([]byte("unread"))
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	is.True(!ClosedByPeer(near))
	is.True(Readable(near))
	is.NoErr(near.CloseWrite())
	is.True(!ClosedByPeer(near)) // only this end has closed
}

func TestCloseBehindUnreadBytesIsSeen(t *testing.T) {
	is := is.New(t)
	near, far := connPair(t)
	_, err := far.Write(make([]byte, 32<<10))
	is.NoErr(err)
	is.NoErr(far.Close())
	is.True(eventuallyClosed(near))
}

func TestResetIsSeen(t *testing.T) {
	is := is.New(t)
	near, far := connPair(t)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	is.True(eventuallyClosed(near))
}

func TestConnectionWithoutSocketIsNeverClosed(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	far.Close()
	is.New(t).True(!ClosedByPeer(near))
}
