package clientmemory

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// open opens the account of a connection and returns a channel that is closed with the connection.
func open(t *testing.T, m *Memory) (*Account, chan struct{}) {
	t.Helper()
	closed := make(chan struct{})
	account, granted := m.Open(ConnBytes, func() { close(closed) })
	is.New(t).True(granted)
	return account, closed
}

// Guards against memory that stays counted after a request or a connection, or is released before what holds it
// has ended.
func TestAccountFollowsItsConnection(t *testing.T) {
	is := is.New(t)
	m := New(1 << 20)
	account, _ := open(t, m)
	head := []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.True(account.ReadBytes(head))
	is.Equal(m.Usage().Held, int64(ConnBytes+copies*len(head)+3*fieldBytes))
	account.Track(http.StateActive)
	is.True(account.ReadBytes([]byte(strings.Repeat("\n", 1000)))) // a body is not kept
	is.True(account.GrowRequest(10_000))
	is.Equal(m.Usage().Held, int64(ConnBytes+copies*len(head)+3*fieldBytes+10_000))
	account.Track(http.StateIdle)
	is.Equal(m.Usage().Held, int64(ConnBytes))
	account.ConnClosed()
	is.Equal(m.Usage().Held, int64(ConnBytes)) // its request may still run
	account.Track(http.StateClosed)
	is.Equal(m.Usage().Held, int64(0))
}

// Guards against connections that linger after a refused body and keep others out.
func TestLingeringConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	m := New(ConnBytes)
	account, closed := open(t, m)
	account.Track(http.StateActive)
	account.Track(http.StateClosed) // before its socket is closed
	_, granted := m.Open(ConnBytes, func() {})
	is.True(!granted)
	time.Sleep(1100 * time.Millisecond) // the stall time of coord/memory
	_, granted = m.Open(ConnBytes, func() {})
	is.True(granted)
	<-closed
}

// Guards against spare memory that takes the place of what others need.
func TestSpareMemoryIsNotTakenWhenShort(t *testing.T) {
	is := is.New(t)
	m := New(4 * ConnBytes)
	account, _ := open(t, m)
	release := account.Spare(2 * ConnBytes)
	is.True(release != nil)
	is.Equal(account.Spare(ConnBytes), nil)
	release()
	release()
	is.Equal(m.Usage().Held, int64(ConnBytes))
	var none *Account
	none.Spare(1)()
	is.True(none.GrowRequest(1 << 40))
}
