package exit

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/descriptors"
	"sassafrasnotch.example/mesh/limitedconn"
)

// An entry that has heard nothing by the deadline can't tell that a request is still queued, and answers
// 504. The wait has to end before.
func TestQueueWaitEndsBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	deadline := time.Unix(1000, 0)
	for timeout, margin := range map[time.Duration]time.Duration{
		160 * time.Millisecond: 10 * time.Millisecond,
		800 * time.Millisecond: 50 * time.Millisecond,
		time.Hour:              50 * time.Millisecond,
	} {
		c := &callerRequest{timeout: timeout, deadline: deadline}
		is.Equal(deadline.Sub(c.queueDeadline()), margin)
	}
}

// Guards against a request that runs although its deadline passed while the daemon was frozen between
// the grant of a slot and the write: its entry has given it up.
func TestRequestIsNotWrittenAfterItsDeadline(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	conn := newTargetConn(near)
	conn.idleTimeout = time.Minute
	limit := &limitedconn.Limit{Budget: descriptors.Unlimited(), Part: descriptors.Targets}
	pool := newTargetPool("", 1, limit)
	pool.put(conn)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c := &callerRequest{ctx: ctx, target: &target{conns: pool}}
	_, err := c.exchange(pool.get)
	is.True(errors.Is(err, context.Canceled))
	is.True(!c.dispatched)
	is.Equal(pool.pop(), conn) // kept for the next request
}
