package acceptor

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/descriptors"
	"sassafrasnotch.example/mesh/limitedconn"
)

// scriptedListener fails the first accepts with the errors, and returns connections then.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	near, _ := net.Pipe()
	return near, nil
}

func failing(errs ...error) *Listener {
	limit := &limitedconn.Limit{Budget: descriptors.NewBudget(1024), Part: descriptors.PeersAccepted}
	return &Listener{Listener: &scriptedListener{errs: errs}, limit: limit, port: "peer", logger: zap.NewNop()}
}

func TestShortageOfDescriptorsDoesNotEndTheServer(t *testing.T) {
	is := is.New(t)
	shortage := os.NewSyscallError("accept4", syscall.EMFILE)
	l := failing(shortage, shortage, shortage)
	began := time.Now()
	conn, err := l.Accept()
	is.NoErr(err)
	is.True(conn != nil)
	is.Equal(l.failures.Load(), uint64(3))
	is.True(time.Since(began) < time.Second)
}

func TestOtherErrorsOfAcceptAreReturned(t *testing.T) {
	is := is.New(t)
	_, err := failing(net.ErrClosed).Accept()
	is.True(errors.Is(err, net.ErrClosed))
	_, err = failing(syscall.EINVAL).Accept()
	is.True(errors.Is(err, syscall.EINVAL))
}

func TestPortsAreNotAcceptingWhileAcceptsFail(t *testing.T) {
	is := is.New(t)
	l := failing()
	p := &Ports{listeners: []*Listener{failing(), l}}
	now := time.Now()
	is.True(p.Accepting(now))
	l.recordFailure(syscall.EMFILE)
	is.True(p.Accepting(now.Add(maxAcceptFailure / 2)))
	l.recordFailure(syscall.EMFILE)
	is.True(!p.Accepting(now.Add(2 * maxAcceptFailure)))
	_, err := l.Accept()
	is.NoErr(err)
	is.True(p.Accepting(now.Add(2 * maxAcceptFailure)))
}
