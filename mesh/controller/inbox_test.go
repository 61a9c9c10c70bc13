package controller

import (
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// TestReportsOfARestartedHost checks that the reports of a host that restarts after its clock
// was set back are counted, each once.
func TestReportsOfARestartedHost(t *testing.T) {
	is := is.New(t)
	b := newInbox()
	b.setRollouts([]Rollout{{Service: "orders", Rollout: revision.Rollout{Ticket: testTicket, From: "v1", To: "v2"}}})
	for _, incarnation := range []uint64{20, 10, 10, 20} {
		b.add(&peerpb.OutcomeReport{Host: "h1", Incarnation: incarnation, Sequence: 1, Counts: []*peerpb.OutcomeCount{
			{Service: "orders", Version: "v2", Requests: 1},
		}})
	}
	samples, reported := b.drain("orders")
	is.True(reported)
	is.Equal(len(samples), 2)
}
