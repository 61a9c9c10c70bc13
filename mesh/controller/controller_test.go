package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/lease"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

const testTicket = 7

func testTicketKey(number uint64) string { return fmt.Sprintf("ticket/%d", number) }

// harness is a service with a running rollout, in virtual time. It implements the store, the log,
// the member list and the rollouts that the controllers depend on.
type harness struct {
	*store.Memory
	outage        error         // error that the store returns; nil means none
	blockReads    chan struct{} // if set, reads of the store block until it is closed
	lostResponses int           // number of transactions to come whose response is lost
	now           time.Time
	split         revision.Split // in the latest revision
	revision      uint64
	members       []gossip.Member
	sequence      uint64
	shares        []int
	preference    revision.Preference
}

func newHarness(is *is.I, window time.Duration) *harness {
	h := &harness{Memory: store.NewMemory(), now: time.Unix(1700000000, 0), preference: revision.PreferDeadline}
	running := revision.Rollout{
		Ticket: testTicket, From: "v1", To: "v2", Target: revision.FullShare,
		By: h.now.Add(window), Step: ticket.AnnouncedStep,
	}
	h.split = revision.Split{
		Service: "orders",
		Shares:  []revision.Share{{Version: "v1", Weight: revision.FullShare}},
		Rollout: &running,
	}
	status, err := json.Marshal(ticket.Status{Number: testTicket, State: ticket.Accepted, Rollouts: []ticket.RolloutStatus{{
		Service: "orders", From: "v1", To: "v2", Verdict: ticket.Running, Step: ticket.AnnouncedStep, At: h.now,
	}}})
	is.NoErr(err)
	is.NoErr(h.Txn(context.Background(), nil, []store.Write{{Key: testTicketKey(testTicket), Value: status}}))
	for i := range 5 {
		h.members = append(h.members, testMember(i))
	}
	return h
}

func testMember(i int) gossip.Member {
	return gossip.Member{Record: gossip.Record{
		Host: fmt.Sprintf("h%d", i), Zone: "a",
		Targets: []gossip.Target{
			{Service: "orders", Version: "v1", State: gossip.TargetReady},
			{Service: "orders", Version: "v2", State: gossip.TargetReady},
		},
	}}
}

func (h *harness) Members() []gossip.Member { return h.members }

func (h *harness) RunningRollouts() []Rollout {
	if h.split.Rollout == nil {
		return nil
	}
	return []Rollout{{Service: "orders", Preference: h.preference, Rollout: *h.split.Rollout}}
}

// Get implements store.Table.
func (h *harness) Get(ctx context.Context, key string) (store.Row, error) {
	if h.blockReads != nil {
		<-h.blockReads
	}
	if h.outage != nil {
		return store.Row{}, h.outage
	}
	return h.Memory.Get(ctx, key)
}

// Txn implements store.Table.
func (h *harness) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) error {
	if h.outage != nil {
		return h.outage
	}
	err := h.Memory.Txn(ctx, compares, writes)
	if err == nil && h.lostResponses > 0 {
		h.lostResponses--
		return store.ErrOutcomeUnknown
	}
	return err
}

// Append implements RevisionLog for one split.
func (h *harness) Append(ctx context.Context, put []revision.Resource, compares []store.Compare, writes []store.Write) (uint64, error) {
	if err := h.Txn(ctx, compares, writes); err != nil {
		return 0, err
	}
	h.revision++
	h.split = *put[0].Split
	h.shares = append(h.shares, h.split.Weight("v2"))
	return h.revision, nil
}

func (h *harness) controller(host string) *Controller {
	return New(Config{
		Host: host, Zone: "a", Incarnation: 1, Table: h, Log: h, Members: h, Rollouts: h,
		Now:       func() time.Time { return h.now },
		TicketKey: testTicketKey,
		Logger:    zap.NewNop(),
	})
}

// report returns the outcomes of one second of traffic. One in failEvery requests to v2 fails; 0
// means that none fails.
func (h *harness) report(requests uint64, failEvery uint64) *peerpb.OutcomeReport {
	h.sequence++
	newRequests := requests * uint64(h.split.Weight("v2")) / revision.FullShare
	counts := []*peerpb.OutcomeCount{
		{Service: "orders", Version: "v1", Route: "r", Zone: "a", Requests: requests - newRequests},
		{Service: "orders", Version: "v2", Route: "r", Zone: "a", Requests: newRequests},
	}
	if failEvery > 0 {
		counts[1].Failures = newRequests / failEvery
	}
	return &peerpb.OutcomeReport{Host: "h0", Incarnation: 1, Sequence: h.sequence, Counts: counts}
}

// tickSecond advances the clock by a second, sends the report to all controllers and ticks them.
func (h *harness) tickSecond(failEvery uint64, controllers ...*Controller) {
	h.now = h.now.Add(time.Second)
	report := h.report(400, failEvery)
	for _, c := range controllers {
		c.HandleReport(report)
		c.HandleReport(report) // the relayed copy
		c.Tick(context.Background())
	}
}

// run advances the rollout second by second until it or the window ends.
func (h *harness) run(window time.Duration, failEvery uint64, controllers ...*Controller) {
	for end := h.now.Add(window); h.now.Before(end) && h.split.Rollout != nil; {
		h.tickSecond(failEvery, controllers...)
	}
}

// holderIndex returns the index of the only controller that holds the lease.
func holderIndex(is *is.I, controllers []*Controller) int {
	found := -1
	for i, c := range controllers {
		if len(c.ControlledServices()) > 0 {
			is.Equal(found, -1) // two lease holders
			found = i
		}
	}
	is.True(found >= 0)
	return found
}

func (h *harness) status(is *is.I) ticket.RolloutStatus {
	row, err := h.Get(context.Background(), testTicketKey(testTicket))
	is.NoErr(err)
	var status ticket.Status
	is.NoErr(json.Unmarshal(row.Value, &status))
	is.Equal(len(status.Rollouts), 1)
	return status.Rollouts[0]
}

func (h *harness) absent(key string) bool {
	_, err := h.Get(context.Background(), key)
	return err == store.ErrNotFound
}

func (h *harness) controllers() []*Controller {
	var all []*Controller
	for _, m := range h.members {
		all = append(all, h.controller(m.Host))
	}
	return all
}

// TestRolloutVerdicts checks that a good version receives the whole traffic and a bad one is
// rolled back at a share of at most 5 %, by the deadline, and that the rows of the rollout and its
// lease are deleted.
func TestRolloutVerdicts(t *testing.T) {
	cases := []struct {
		name      string
		window    time.Duration
		failEvery uint64
		want      ticket.Verdict
		maxShare  int
	}{
		{name: "good, 10 s", window: 10 * time.Second, want: ticket.Completed, maxShare: revision.FullShare},
		{name: "good, 2 min", window: 2 * time.Minute, want: ticket.Completed, maxShare: revision.FullShare},
		{name: "bad, 10 s", window: 10 * time.Second, failEvery: 1, want: ticket.RolledBack, maxShare: 500},
		{name: "bad, 2 min", window: 2 * time.Minute, failEvery: 2, want: ticket.RolledBack, maxShare: 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(is, c.window)
			h.run(c.window, c.failEvery, h.controllers()...)
			status := h.status(is)
			t.Logf("%d revisions, shares %v, %s", h.revision, h.shares, status.Reason)
			is.Equal(status.Verdict, c.want)
			is.Equal(h.split.Rollout, nil)
			is.True(!h.now.After(status.By))
			for _, share := range h.shares {
				is.True(share <= c.maxShare)
			}
			final := map[ticket.Verdict]string{ticket.Completed: "v2", ticket.RolledBack: "v1"}[c.want]
			is.Equal(h.split.Shares, []revision.Share{{Version: final, Weight: revision.FullShare}})
			is.True(h.absent(rollout.Key("orders")))
			is.True(h.absent(lease.Key(rollout.Key("orders"))))
		})
	}
}

// TestRolloutThroughFaults injects a fault during the rollout of a good version over two minutes.
// The rollout must still complete by its deadline, and the share must never decrease.
func TestRolloutThroughFaults(t *testing.T) {
	const window = 2 * time.Minute
	cases := []struct {
		name string
		// fault is injected after 20 s; it returns the controllers that continue.
		fault func(is *is.I, h *harness, all []*Controller) []*Controller
	}{
		{"lease holder fails", func(is *is.I, h *harness, all []*Controller) []*Controller {
			dead := holderIndex(is, all)
			h.members[dead].Status = gossip.Dead
			return append(all[:dead:dead], all[dead+1:]...)
		}},
		{"lease holder restarts", func(is *is.I, h *harness, all []*Controller) []*Controller {
			i := holderIndex(is, all)
			fresh := h.controller(all[i].config.Host)
			fresh.config.Incarnation++
			all[i] = fresh
			return all
		}},
		{"lease holder resumes after a pause longer than its term", func(is *is.I, h *harness, all []*Controller) []*Controller {
			paused := holderIndex(is, all)
			others := append(all[:paused:paused], all[paused+1:]...)
			h.members[paused].Status = gossip.Dead
			for range 10 {
				h.tickSecond(0, others...)
			}
			h.members[paused].Status = gossip.Alive
			before := h.revision
			all[paused].Tick(context.Background())
			is.Equal(h.revision, before) // a paused lease holder writes nothing
			is.Equal(len(all[paused].ControlledServices()), 0)
			is.True(holderIndex(is, others) >= 0)
			return all
		}},
		{"store is unavailable for 20 s", func(is *is.I, h *harness, all []*Controller) []*Controller {
			h.outage = store.ErrUnavailable
			share := h.split.Weight("v2")
			for range 20 {
				h.tickSecond(0, all...)
				is.Equal(h.split.Weight("v2"), share)
			}
			h.outage = nil
			return all
		}},
		{"responses of the store are lost", func(_ *is.I, h *harness, all []*Controller) []*Controller {
			h.lostResponses = 5
			return all
		}},
		{"store comes back from a copy 3 s old", func(_ *is.I, h *harness, all []*Controller) []*Controller {
			copied := h.Copy()
			for range 3 {
				h.tickSecond(0, all...)
			}
			h.Restore(copied)
			return all
		}},
		{"a report of failures arrives late", func(_ *is.I, h *harness, all []*Controller) []*Controller {
			late := h.report(400, 1)
			for _, c := range all {
				c.HandleReport(late)
			}
			return all
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(is, window)
			all := h.controllers()
			for range 20 {
				h.tickSecond(0, all...)
			}
			all = c.fault(is, h, all)
			h.run(window, 0, all...)
			status := h.status(is)
			is.Equal(status.Verdict, ticket.Completed)
			is.True(!h.now.After(status.By))
			for i := 1; i < len(h.shares); i++ {
				is.True(h.shares[i] >= h.shares[i-1]) // never decreases
			}
		})
	}
}

// TestSupersededRolloutIsNotAdvanced checks that a rollout whose ticket has recorded a verdict is
// not advanced and that its lease is released.
func TestSupersededRolloutIsNotAdvanced(t *testing.T) {
	is := is.New(t)
	h := newHarness(is, time.Minute)
	all := h.controllers()
	for range 10 {
		h.tickSecond(0, all...)
	}
	row, err := h.Get(context.Background(), testTicketKey(testTicket))
	is.NoErr(err)
	var status ticket.Status
	is.NoErr(json.Unmarshal(row.Value, &status))
	status.Rollouts[0].Verdict = ticket.RolledBack
	data, err := json.Marshal(status)
	is.NoErr(err)
	is.NoErr(h.Txn(context.Background(), nil, []store.Write{{Key: row.Key, Value: data}}))
	before := h.revision
	h.run(time.Minute, 0, all...)
	is.Equal(h.revision, before)
	is.True(h.absent(lease.Key(rollout.Key("orders")))) // so that the next rollout can start at once
}
