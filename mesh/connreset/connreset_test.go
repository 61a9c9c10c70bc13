package connreset

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connPair returns a connection and its other end.
func connPair(t *testing.T) (near *Conn, far *net.TCPConn) {
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
	return Wrap(dialed), accepted.(*net.TCPConn)
}

// reset closes the connection with a reset.
func reset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetLinger(0))
	is.NoErr(conn.Close())
}

// writeUntilError writes until the connection fails and returns the error.
func writeUntilError(conn net.Conn) error {
	for buffer := make([]byte, 4<<10); ; {
		if _, err := conn.Write(buffer); err != nil {
			return err
		}
	}
}

func TestResetThatAWriteWasToldOf(t *testing.T) {
	is := is.New(t)
	near, far := connPair(t)
	_, err := io.WriteString(far, "part")
	is.NoErr(err)
	reset(t, far)
	is.True(errors.Is(writeUntilError(near), syscall.ECONNRESET))
	data, err := io.ReadAll(near)
	is.Equal(string(data), "part")
	is.True(errors.Is(err, syscall.ECONNRESET))
}

func TestResetThatAReadIsToldOf(t *testing.T) {
	is := is.New(t)
	near, far := connPair(t)
	_, err := io.WriteString(far, "part")
	is.NoErr(err)
	reset(t, far)
	data, err := io.ReadAll(near)
	is.Equal(string(data), "part")
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against a read that returns the end of the stream before the write that took the reset from the socket
// has returned.
func TestResetDuringAWrite(t *testing.T) {
	for range 200 {
		is := is.New(t)
		near, far := connPair(t)
		written := make(chan error, 1)
		go func() { written <- writeUntilError(near) }()
		time.Sleep(time.Millisecond)
		reset(t, far)
		_, err := io.ReadAll(near)
		is.True(errors.Is(err, syscall.ECONNRESET))
		is.True(<-written != nil)
	}
}

func TestOrderlyCloseBeforeAReset(t *testing.T) {
	is := is.New(t)
	near, far := connPair(t)
	_, err := io.WriteString(far, "whole")
	is.NoErr(err)
	is.NoErr(far.CloseWrite())
	reset(t, far)
	is.True(errors.Is(writeUntilError(near), syscall.EPIPE))
	data, err := io.ReadAll(near)
	is.NoErr(err)
	is.Equal(string(data), "whole")
}

// Guards against the end of the stream being held back by a write that the other end never reads.
func TestOrderlyCloseDuringABlockedWrite(t *testing.T) {
	is := is.New(t)
	near, far := connPair(t)
	written := make(chan error, 1)
	go func() { written <- writeUntilError(near) }()
	time.Sleep(50 * time.Millisecond) // the buffers are full
	_, err := io.WriteString(far, "whole")
	is.NoErr(err)
	is.NoErr(far.CloseWrite())
	data, err := io.ReadAll(near)
	is.NoErr(err)
	is.Equal(string(data), "whole")
	var timeout net.Error
	is.True(errors.As(<-written, &timeout) && timeout.Timeout())
}

func TestWritesGoOnAfterTheEndOfTheStream(t *testing.T) {
	is := is.New(t)
	near, far := connPair(t)
	is.NoErr(far.CloseWrite())
	_, err := io.ReadAll(near)
	is.NoErr(err)
	_, err = io.WriteString(near, "more")
	is.NoErr(err)
	is.NoErr(near.Close())
	data, err := io.ReadAll(far)
	is.NoErr(err)
	is.Equal(string(data), "more")
}
