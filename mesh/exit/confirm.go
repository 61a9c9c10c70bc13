package exit

import (
	"errors"
	"time"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// confirmTimeout bounds the wait for the frame that allows a dispatch, during which a slot is idle. It is
// several round trips between zones, and as long as the connection to a daemon may take.
const confirmTimeout = 250 * time.Millisecond

var errNotAllowed = errors.New("received another frame than the one that allows it")

// confirm asks the entry whether the request is to be dispatched, if the entry wants to be asked. Without
// its answer the request is refused, and is not dispatched later: an entry that hears nothing of the
// question knows that the request has not run.
func (c *callerRequest) confirm() *refusal {
	if !c.head.Confirm || !c.head.Complete {
		return nil
	}
	limit := time.Now().Add(confirmTimeout)
	if c.deadline.Before(limit) {
		limit = c.deadline
	}
	c.stream.SetDeadline(limit)
	frame := &peerpb.CallFrame{Body: &peerpb.CallFrame_Ready{Ready: &peerpb.CallReady{}}}
	err := c.stream.Send(frame)
	if err == nil {
		frame = &peerpb.CallFrame{}
		err = c.stream.Receive(frame)
	}
	c.stream.SetDeadline(time.Time{})
	if err == nil && frame.GetGo() == nil {
		err = errNotAllowed
	}
	if err != nil {
		return &refusal{reason: peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED, detail: "the entry did not allow the dispatch: " + err.Error()}
	}
	c.stream.WatchClose(c.abort)
	return nil
}
