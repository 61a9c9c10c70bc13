package limitedconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/descriptors"
)

// pipe opens a connection in memory.
func pipe(context.Context, string, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

func TestClosedConnectionsReturnTheirDescriptors(t *testing.T) {
	is := is.New(t)
	limit := Limit{Budget: descriptors.NewBudget(64), Part: descriptors.PeersDialed}
	var conns []net.Conn
	for {
		conn, err := limit.Dial(t.Context(), pipe, "tcp", "h2")
		if err != nil {
			is.True(errors.Is(err, ErrNoDescriptor))
			is.True(IsShortage(err))
			break
		}
		conns = append(conns, conn)
	}
	is.True(len(conns) > 0)
	is.NoErr(conns[0].Close())
	_ = conns[0].Close() // counts once
	_, err := limit.Dial(t.Context(), pipe, "tcp", "h2")
	is.NoErr(err)
	_, err = limit.Dial(t.Context(), pipe, "tcp", "h2")
	is.True(errors.Is(err, ErrNoDescriptor))
}

func TestFailedDialReturnsItsDescriptor(t *testing.T) {
	is := is.New(t)
	limit := Limit{Budget: descriptors.NewBudget(64), Part: descriptors.PeersDialed}
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	for range 1000 {
		_, err := limit.Dial(t.Context(), refuse, "tcp", "h2")
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		is.True(!IsShortage(err))
	}
}

func TestSpareConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	var idle net.Conn
	limit := Limit{Budget: descriptors.NewBudget(64), Part: descriptors.PeersDialed}
	limit.MakeRoom = func() bool {
		if idle == nil {
			return false
		}
		_ = idle.Close()
		idle = nil
		return true
	}
	var err error
	idle, err = limit.Dial(t.Context(), pipe, "tcp", "h2")
	is.NoErr(err)
	for limit.Budget.Acquire(limit.Part) {
	}
	_, err = limit.Dial(t.Context(), pipe, "tcp", "h2")
	is.NoErr(err)
	is.True(idle == nil)
	_, err = limit.Dial(t.Context(), pipe, "tcp", "h2")
	is.True(errors.Is(err, ErrNoDescriptor))
}
