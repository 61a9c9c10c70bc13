package integration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/integration/faultproxy"
	"sassafrasnotch.example/mesh/registrar"
)

// preparedRevision holds what a writer of the log would store for the next revision: the ticket's
// status, the change, its encoding and the value of the row head.
type preparedRevision struct {
	ticket ticket.Status
	change *revision.Change
	value  []byte
	head   []byte
}

// nextRevision returns a valid next revision without storing it.
func (s *scenario) nextRevision() *preparedRevision {
	s.t.Helper()
	is := is.New(s.t)
	state, _, err := revision.NewLog(s.PlatformClient()).CatchUp(s.t.Context(), revision.Empty())
	is.NoErr(err)
	wanted := changeTicket(s.lastTicket.Add(1))
	made := &revision.Change{
		Revision: state.Revision() + 1,
		ID:       "test",
		Ticket:   wanted.Number,
		Put:      []revision.Resource{{Route: &wanted.Routes[0]}},
	}
	next, err := state.Preview(made)
	is.NoErr(err)
	made.StateHash = next.Hash()
	w := &preparedRevision{change: made}
	w.ticket = ticket.Status{Number: wanted.Number, State: ticket.Accepted, Revision: made.Revision}
	w.value, err = made.Encode()
	is.NoErr(err)
	w.head, err = json.Marshal(map[string]any{"revision": made.Revision, "hash": fmt.Sprint(next.Hash())})
	is.NoErr(err)
	return w
}

// storeRevision writes the revision to the platform, with the given value in place of the change's
// encoding.
func (s *scenario) storeRevision(w *preparedRevision, value []byte) {
	s.t.Helper()
	is := is.New(s.t)
	status, err := json.Marshal(w.ticket)
	is.NoErr(err)
	is.NoErr(s.PlatformClient().Txn(s.t.Context(), nil, []store.Write{
		{Key: "head", Value: w.head},
		{Key: revision.ChangeKey(w.change.Revision), Value: value},
		{Key: registrar.TicketKey(w.ticket.Number), Value: status},
	}))
}

// encodeDamaged returns the encoding of a copy of the change to which damage was applied.
func (w *preparedRevision) encodeDamaged(t *testing.T, damage func(*revision.Change)) []byte {
	t.Helper()
	bad := *w.change
	damage(&bad)
	value, err := bad.Encode()
	is.New(t).NoErr(err)
	return value
}

// TestBadRevisionIsNotApplied checks that a revision which can't be applied completely is not applied at
// all, that the ticket's status reports which host rejected it at which step and why, and that the
// daemons follow the log again after its repair.
func TestBadRevisionIsNotApplied(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		seed   uint64
		damage func(*testing.T, *preparedRevision) []byte
		reason string
	}{
		{"truncated", 1, func(_ *testing.T, w *preparedRevision) []byte {
			return w.value[:len(w.value)/2]
		}, "corrupt encoding"},
		{"content that doesn't match its hash", 2, func(t *testing.T, w *preparedRevision) []byte {
			return w.encodeDamaged(t, func(c *revision.Change) {
				c.Put = append(c.Put, revision.Resource{Service: &revision.Service{Name: "extra"}})
			})
		}, "hash mismatch"},
		{"route to a missing service", 3, func(t *testing.T, w *preparedRevision) []byte {
			return w.encodeDamaged(t, func(c *revision.Change) {
				c.Put = append(c.Put, revision.Resource{Route: &revision.Route{Name: "bad", Service: "absent", Prefix: "/bad"}})
			})
		}, `service "absent" does not exist`},
		{"deleted service that a route needs", 4, func(t *testing.T, w *preparedRevision) []byte {
			return w.encodeDamaged(t, func(c *revision.Change) {
				c.Delete = []revision.Ref{{Kind: revision.KindService, Name: "counter"}}
			})
		}, `service "counter" does not exist`},
		{"number of another revision", 5, func(t *testing.T, w *preparedRevision) []byte {
			return w.encodeDamaged(t, func(c *revision.Change) { c.Revision += 5 })
		}, "does not follow"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(t, c.seed, 2, 2)
			w := s.nextRevision()
			s.storeRevision(w, c.damage(t, w))
			s.waitRejection(w.ticket.Number, c.reason)
			s.sleep(2 * time.Second) // several polls of the log
			s.checkApplied(w.change.Revision - 1)
			rows, err := s.PlatformClient().Scan(t.Context(), "rejection/", "", 1000)
			is.New(t).NoErr(err)
			is.New(t).True(len(rows) <= maxRejections) // not one per poll

			s.storeRevision(w, w.value)
			s.lastAccepted.Store(w.change.Revision)
			s.waitConverged(s.Daemons...)
			s.mustSubmit(s.Daemons[0])
			s.waitConverged(s.Daemons...)
			s.checkInvariants()
		})
	}
}

// maxRejections is the highest number of rejections that may be stored for a revision.
const maxRejections = 8

// waitRejection waits until the ticket's status contains a rejection by a host with the step, the peer
// and the reason.
func (s *scenario) waitRejection(number uint64, reason string) {
	s.t.Helper()
	cluster.Eventually(s.t, convergence, "the ticket's status shows the rejection", func() error {
		status, err := s.Daemons[0].Ticket(number)
		if err != nil {
			return err
		}
		for _, r := range status.Rejections {
			if r.Host != "" && r.Step == "read the log" && r.Peer == cluster.PlatformName && strings.Contains(r.Reason, reason) {
				return nil
			}
		}
		return fmt.Errorf("rejections in the status: %+v", status.Rejections)
	})
}

// checkApplied checks that exactly this revision is in force on every daemon.
func (s *scenario) checkApplied(revision uint64) {
	s.t.Helper()
	for _, daemon := range s.Daemons {
		status, err := daemon.Status()
		is.New(s.t).NoErr(err)
		is.New(s.t).Equal(status.Applied, revision)
	}
}

// TestBadSnapshotIsNotApplied checks that daemons which need a damaged snapshot apply no part of it, and
// that they start once it is repaired.
func TestBadSnapshotIsNotApplied(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newScenario(t, 6, 2, 2)
	s.trimLog()
	s.waitConverged(s.Daemons...)
	objects := make(map[string][]byte)
	for number := range s.lastAccepted.Load() + 1 {
		key := fmt.Sprintf("snapshot/%020d", number)
		if data, err := s.PlatformClient().GetObject(t.Context(), key); err == nil {
			objects[key] = data
			bad := append([]byte(nil), data...)
			bad[len(bad)/2] ^= 1
			is.NoErr(s.PlatformClient().PutObject(t.Context(), key, bad))
		}
	}
	is.True(len(objects) > 0)
	restart(s.Daemons)
	for _, daemon := range s.Daemons {
		daemon.WaitReady()
		cluster.Eventually(t, convergence, "the daemon rejects the snapshot", func() error {
			status, err := daemon.Status()
			if err == nil && !strings.Contains(status.LastRejection, "read the log from platform: revision: corrupt encoding: snapshot") {
				err = fmt.Errorf("rejection %q", status.LastRejection)
			}
			is.Equal(status.Applied, uint64(0))
			return err
		})
	}
	for key, data := range objects {
		is.NoErr(s.PlatformClient().PutObject(t.Context(), key, data))
	}
	s.waitConverged(s.Daemons...)
	s.checkInvariants()
}

// TestFlippedBits checks that daemons whose incoming peer links flip bits apply no damaged revision, and
// that they get the latest revision from the platform.
func TestFlippedBits(t *testing.T) {
	t.Parallel()
	s := newScenario(t, 7, 2, 4)
	for _, damaged := range s.Daemons[1:3] {
		for _, other := range s.Daemons {
			s.Network.SetFault(other.Settings.Host, damaged.Settings.Host, faultproxy.Fault{FlipBit: true})
		}
	}
	s.submitMany(20)
	s.waitConverged(s.Daemons...)
	s.Network.ClearFaults()
	s.mustSubmit(s.Daemons[7])
	s.waitConverged(s.Daemons...)
	s.checkInvariants()
}
