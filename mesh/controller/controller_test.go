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

// bench is a service with a running move, in virtual time. It is the platform,
// the log, the members and the configuration that controllers see.
type bench struct {
	*store.Memory
	outage   error         // what the platform answers
	hang     chan struct{} // if set, it answers once this is closed
	lost     int           // transactions whose answer is still to be lost
	now      time.Time
	split    revision.Split // newest
	revision uint64
	members  []gossip.Member
	sequence uint64
	shares   []int
	// preference is that of the service.
	preference revision.Preference
}

func newBench(is *is.I, window time.Duration) *bench {
	b := &bench{Memory: store.NewMemory(), now: time.Unix(1700000000, 0), preference: revision.PreferDeadline}
	move := revision.Move{
		Ticket: testTicket, From: "v1", To: "v2", Target: revision.FullShare,
		By: b.now.Add(window), Step: ticket.AnnouncedStep,
	}
	b.split = revision.Split{
		Service: "orders",
		Shares:  []revision.Share{{Version: "v1", Weight: revision.FullShare}},
		Move:    &move,
	}
	status, err := json.Marshal(ticket.Status{Number: testTicket, State: ticket.Accepted, Moves: []ticket.MoveStatus{{
		Service: "orders", From: "v1", To: "v2", Verdict: ticket.Running, Step: ticket.AnnouncedStep, At: b.now,
	}}})
	is.NoErr(err)
	is.NoErr(b.Txn(context.Background(), nil, []store.Write{{Key: testTicketKey(testTicket), Value: status}}))
	for i := range 5 {
		b.members = append(b.members, testMember(i))
	}
	return b
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

func (b *bench) Members() []gossip.Member { return b.members }

func (b *bench) RunningMoves() []Move {
	if b.split.Move == nil {
		return nil
	}
	return []Move{{Service: "orders", Preference: b.preference, Move: *b.split.Move}}
}

// Get implements store.Table.
func (b *bench) Get(ctx context.Context, key string) (store.Row, error) {
	if b.hang != nil {
		<-b.hang
	}
	if b.outage != nil {
		return store.Row{}, b.outage
	}
	return b.Memory.Get(ctx, key)
}

// Txn implements store.Table.
func (b *bench) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) error {
	if b.outage != nil {
		return b.outage
	}
	err := b.Memory.Txn(ctx, compares, writes)
	if err == nil && b.lost > 0 {
		b.lost--
		return store.ErrOutcomeUnknown
	}
	return err
}

// Append is a Log of one split.
func (b *bench) Append(ctx context.Context, put []revision.Resource, compares []store.Compare, writes []store.Write) (uint64, error) {
	if err := b.Txn(ctx, compares, writes); err != nil {
		return 0, err
	}
	b.revision++
	b.split = *put[0].Split
	b.shares = append(b.shares, b.split.Weight("v2"))
	return b.revision, nil
}

func (b *bench) controller(host string) *Controller {
	return New(Config{
		Host: host, Zone: "a", Incarnation: 1, Table: b, Log: b, Members: b, Moves: b,
		Now:       func() time.Time { return b.now },
		TicketKey: testTicketKey,
		Logger:    zap.NewNop(),
	})
}

// report counts a second of traffic; one in failEvery calls of v2 fails.
func (b *bench) report(requests uint64, failEvery uint64) *peerpb.OutcomeReport {
	b.sequence++
	new := requests * uint64(b.split.Weight("v2")) / revision.FullShare
	counts := []*peerpb.OutcomeCount{
		{Service: "orders", Version: "v1", Route: "r", Zone: "a", Requests: requests - new},
		{Service: "orders", Version: "v2", Route: "r", Zone: "a", Requests: new},
	}
	if failEvery > 0 {
		counts[1].Failures = new / failEvery
	}
	return &peerpb.OutcomeReport{Host: "h0", Incarnation: 1, Sequence: b.sequence, Counts: counts}
}

// second advances the clock and lets the controllers tick.
func (b *bench) second(failEvery uint64, controllers ...*Controller) {
	b.now = b.now.Add(time.Second)
	report := b.report(400, failEvery)
	for _, c := range controllers {
		c.Report(report)
		c.Report(report) // the relay's copy
		c.Tick(context.Background())
	}
}

// run advances the move second by second until it ends.
func (b *bench) run(window time.Duration, failEvery uint64, controllers ...*Controller) {
	for end := b.now.Add(window); b.now.Before(end) && b.split.Move != nil; {
		b.second(failEvery, controllers...)
	}
}

// holder returns the index of the one controller that holds the lease.
func holder(is *is.I, controllers []*Controller) int {
	found := -1
	for i, c := range controllers {
		if len(c.Holding()) > 0 {
			is.Equal(found, -1) // two holders
			found = i
		}
	}
	is.True(found >= 0)
	return found
}

func (b *bench) status(is *is.I) ticket.MoveStatus {
	row, err := b.Get(context.Background(), testTicketKey(testTicket))
	is.NoErr(err)
	var status ticket.Status
	is.NoErr(json.Unmarshal(row.Value, &status))
	is.Equal(len(status.Moves), 1)
	return status.Moves[0]
}

func (b *bench) absent(key string) bool {
	_, err := b.Get(context.Background(), key)
	return err == store.ErrNotFound
}

func (b *bench) all() []*Controller {
	var all []*Controller
	for _, m := range b.members {
		all = append(all, b.controller(m.Host))
	}
	return all
}

func TestMove(t *testing.T) {
	cases := []struct {
		name      string
		window    time.Duration
		failEvery uint64
		want      ticket.Verdict
		maxShare  int
	}{
		{name: "good, 10 s", window: 10 * time.Second, want: ticket.Done, maxShare: revision.FullShare},
		{name: "good, 2 min", window: 2 * time.Minute, want: ticket.Done, maxShare: revision.FullShare},
		{name: "bad, 10 s", window: 10 * time.Second, failEvery: 1, want: ticket.TakenBack, maxShare: 500},
		{name: "bad, 2 min", window: 2 * time.Minute, failEvery: 2, want: ticket.TakenBack, maxShare: 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(is, c.window)
			b.run(c.window, c.failEvery, b.all()...)
			status := b.status(is)
			t.Logf("%d revisions, shares %v, %s", b.revision, b.shares, status.Reason)
			is.Equal(status.Verdict, c.want)
			is.Equal(b.split.Move, nil)
			is.True(!b.now.After(status.By))
			for _, share := range b.shares {
				is.True(share <= c.maxShare)
			}
			final := map[ticket.Verdict]string{ticket.Done: "v2", ticket.TakenBack: "v1"}[c.want]
			is.Equal(b.split.Shares, []revision.Share{{Version: final, Weight: revision.FullShare}})
			is.True(b.absent(rollout.Key("orders")))
			is.True(b.absent(lease.Key(rollout.Key("orders"))))
		})
	}
}

// TestFaults runs a good move of two minutes through a fault in its midst.
func TestFaults(t *testing.T) {
	const window = 2 * time.Minute
	cases := []struct {
		name string
		// fault acts after 20 s and returns the controllers that go on.
		fault func(is *is.I, b *bench, all []*Controller) []*Controller
	}{
		{"holder dies", func(is *is.I, b *bench, all []*Controller) []*Controller {
			dead := holder(is, all)
			b.members[dead].Status = gossip.Dead
			return append(all[:dead:dead], all[dead+1:]...)
		}},
		{"holder restarts", func(is *is.I, b *bench, all []*Controller) []*Controller {
			i := holder(is, all)
			fresh := b.controller(all[i].config.Host)
			fresh.config.Incarnation++
			all[i] = fresh
			return all
		}},
		{"holder is paused past its term and wakes", func(is *is.I, b *bench, all []*Controller) []*Controller {
			paused := holder(is, all)
			others := append(all[:paused:paused], all[paused+1:]...)
			b.members[paused].Status = gossip.Dead
			for range 10 {
				b.second(0, others...)
			}
			b.members[paused].Status = gossip.Alive
			revision := b.revision
			all[paused].Tick(context.Background())
			is.Equal(b.revision, revision) // the late write
			is.Equal(len(all[paused].Holding()), 0)
			is.True(holder(is, others) >= 0)
			return all
		}},
		{"platform is out for 20 s", func(is *is.I, b *bench, all []*Controller) []*Controller {
			b.outage = store.ErrUnavailable
			share := b.split.Weight("v2")
			for range 20 {
				b.second(0, all...)
				is.Equal(b.split.Weight("v2"), share)
			}
			b.outage = nil
			return all
		}},
		{"answers are lost", func(_ *is.I, b *bench, all []*Controller) []*Controller {
			b.lost = 5
			return all
		}},
		{"a report is resent late", func(_ *is.I, b *bench, all []*Controller) []*Controller {
			late := b.report(400, 1)
			for _, c := range all {
				c.Report(late)
			}
			return all
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(is, window)
			all := b.all()
			for range 20 {
				b.second(0, all...)
			}
			all = c.fault(is, b, all)
			b.run(window, 0, all...)
			status := b.status(is)
			is.Equal(status.Verdict, ticket.Done)
			is.True(!b.now.After(status.By))
			for i := 1; i < len(b.shares); i++ {
				is.True(b.shares[i] >= b.shares[i-1]) // one way
			}
		})
	}
}

// TestSuperseded leaves a move alone whose ticket no longer says that it runs.
func TestSuperseded(t *testing.T) {
	is := is.New(t)
	b := newBench(is, time.Minute)
	all := b.all()
	for range 10 {
		b.second(0, all...)
	}
	row, err := b.Get(context.Background(), testTicketKey(testTicket))
	is.NoErr(err)
	var status ticket.Status
	is.NoErr(json.Unmarshal(row.Value, &status))
	status.Moves[0].Verdict = ticket.TakenBack
	data, err := json.Marshal(status)
	is.NoErr(err)
	is.NoErr(b.Txn(context.Background(), nil, []store.Write{{Key: row.Key, Value: data}}))
	revision := b.revision
	b.run(time.Minute, 0, all...)
	is.Equal(b.revision, revision)
	is.True(b.absent(lease.Key(rollout.Key("orders")))) // the next move need not wait for it
}
