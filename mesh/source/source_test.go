package source

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

const testLimit = 10 * time.Second

// rows is a store with the rows of an operator and of moves.
type rows struct {
	mu      sync.Mutex
	version uint64
	changes Changes
	moves   MoveChanges
	changed chan struct{}
	latency time.Duration // of a read of all rows
	trimmed bool          // the next wait learns that the history is gone
	failing int           // reads that are still to fail
	reads   int
}

func newRows() *rows { return &rows{changed: make(chan struct{})} }

func (r *rows) write(change func(version uint64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	change(r.version)
	r.changes.Through, r.moves.Through = r.version, r.version
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *rows) configure(number uint64, prefixes ...string) {
	r.write(func(version uint64) {
		r.changes.Configurations = []Configuration{configuration(number, version, prefixes...)}
	})
}

func configuration(number, written uint64, prefixes ...string) Configuration {
	c := Configuration{Number: number, Written: written, Services: []revision.Service{{Name: "desk"}}}
	for _, prefix := range prefixes {
		c.Routes = append(c.Routes, revision.Route{Name: prefix, Service: "desk", Prefix: prefix})
	}
	return c
}

func (r *rows) Read(ctx context.Context) (Changes, error) {
	r.mu.Lock()
	r.reads++
	latency, changes := r.latency, r.changes
	failed := r.failing > 0
	if failed {
		r.failing--
	}
	r.mu.Unlock()
	sleep(ctx, latency)
	if failed || ctx.Err() != nil {
		return Changes{}, store.ErrUnavailable
	}
	return changes, nil
}

func (r *rows) Await(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	r.mu.Lock()
	changes, changed, trimmed := r.changes, r.changed, r.trimmed
	r.trimmed = false
	r.mu.Unlock()
	if trimmed {
		return Changes{}, store.ErrTrimmed
	}
	if changes.Through > after {
		return changes, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-changed:
		return r.Read(context.Background())
	case <-ctx.Done():
		return Changes{Through: after}, ctx.Err()
	}
}

func (r *rows) ReadMoves(context.Context) (MoveChanges, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moves, nil
}

func (r *rows) AwaitMoves(ctx context.Context, after uint64, wait time.Duration) (MoveChanges, error) {
	_, err := r.Await(ctx, after, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moves, err
}

func (r *rows) Now() time.Time { return time.UnixMilli(1) }

// alone is the view of a daemon that knows no other one.
type alone struct{}

func (alone) SetRevision(uint64)       {}
func (alone) Members() []gossip.Member { return nil }

// noPeers reaches no other daemon.
type noPeers struct{}

func (noPeers) Control(context.Context, string, string, *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	return nil, errors.New("unreachable")
}

func newSource(r *rows) *Source {
	return New(Self{"host", "a"}, r, r, alone{}, noPeers{}, Timing{ApplyWithin: time.Second, Settle: time.Second}, zap.NewNop())
}

func follow(t *testing.T, r *rows) *Source {
	t.Helper()
	s := newSource(r)
	s.Start()
	t.Cleanup(s.Stop)
	return s
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", testLimit, what)
		}
	}
}

func (s *Source) number() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.configuration == nil || s.Snapshot() == nil {
		return 0
	}
	return s.view.configuration.Number
}

func TestFollowsTheOperator(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(r *rows)
	}{
		{"a calm store", func(*rows) {}},
		{"history is gone", func(r *rows) { r.trimmed = true }},
		{"reads fail at first", func(r *rows) { r.failing = 3 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRows()
			r.configure(4, "/a/")
			c.disturb(r)
			s := follow(t, r)
			eventually(t, "the first configuration", func() bool { return s.number() == 4 })
			r.configure(7, "/a/", "/b/")
			eventually(t, "the next configuration", func() bool { return s.number() == 7 })
			_, ok := s.Snapshot().Match("", "/b/x")
			is.New(t).True(ok)
		})
	}
}

// Other daemons with a newer revision gossip many times a second. They may end
// a wait for changes, but never a read, or a daemon that starts would hold no
// configuration for as long as they go on.
func TestNewerRevisionsDoNotInterruptAReading(t *testing.T) {
	r := newRows()
	r.latency = 200 * time.Millisecond
	r.configure(4, "/a/")
	s := follow(t, r)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				s.NoteRevision(1000, "other")
				time.Sleep(5 * time.Millisecond)
			}
		}
	}()
	eventually(t, "the first configuration", func() bool { return s.number() == 4 })
}

// A feed whose connection went silent tells nothing. The revision that another
// daemon gossips makes this one read.
func TestNewerRevisionEndsASilentWait(t *testing.T) {
	r := newRows()
	r.configure(4, "/a/")
	s := follow(t, r)
	eventually(t, "the first configuration", func() bool { return s.number() == 4 })
	r.mu.Lock()
	r.version++
	r.changes = Changes{Through: r.version, Configurations: []Configuration{configuration(5, r.version, "/a/")}}
	r.mu.Unlock() // and no one is woken
	s.NoteRevision(r.version, "other")
	eventually(t, "the next configuration", func() bool { return s.number() == 5 })
}

func TestConfigureTakesNoStepBack(t *testing.T) {
	is := is.New(t)
	v := newView(time.Second)
	is.NoErr(v.configure(configuration(7, 20, "/a/")))
	is.NoErr(v.configure(configuration(7, 20, "/a/"))) // read again
	is.NoErr(v.configure(configuration(9, 10, "/b/"))) // written before
	is.Equal(v.configuration.Number, uint64(7))
	is.True(v.configure(configuration(6, 30, "/b/")) != nil) // a lower version
	is.Equal(v.configuration.Number, uint64(7))
	broken := configuration(8, 40, "/b/")
	broken.Routes[0].Service = "nobody"
	is.True(errors.Is(v.configure(broken), revision.ErrInvalid))
	is.Equal(v.configuration.Number, uint64(7)) // nothing of it applies
	is.NoErr(v.configure(configuration(8, 50, "/b/")))
	snapshot, err := v.snapshot()
	is.NoErr(err)
	is.Equal(snapshot.Revision(), uint64(50))
}

func orderOf(version string, written uint64) Order {
	return Order{Service: "desk", Version: version, Within: 12 * time.Second, Written: written}
}

func moveOf(to string, number uint64, share int, verdict ticket.Verdict, written uint64) MoveRow {
	state := rollout.NewState("desk", revision.Move{Ticket: number, From: revision.AnyVersion, To: to}, revision.PreferBounded, time.Time{})
	state.Share, state.Verdict = share, verdict
	return MoveRow{State: state, Written: written}
}

func TestSplitFollowsOrdersAndMoves(t *testing.T) {
	const all = revision.FullShare
	cases := []struct {
		name   string
		change func(v *view)
		shares map[string]int
		barred []string
		moving bool
	}{
		{"no order", func(*view) {}, map[string]int{"*": all}, nil, false},
		{"ordered", func(v *view) { v.order(orderOf("v2", 5), time.Time{}) }, map[string]int{"*": all}, nil, true},
		{"under way", func(v *view) {
			v.order(orderOf("v2", 5), time.Time{})
			v.move(moveOf("v2", 5, 500, ticket.Running, 6))
		}, map[string]int{"*": all - 500, "v2": 500}, nil, true},
		{"rows out of order", func(v *view) {
			v.move(moveOf("v2", 5, 900, ticket.Running, 8))
			v.move(moveOf("v2", 5, 500, ticket.Running, 6))
			v.order(orderOf("v2", 5), time.Time{})
		}, map[string]int{"*": all - 900, "v2": 900}, nil, true},
		{"done", func(v *view) {
			v.order(orderOf("v2", 5), time.Time{})
			v.move(moveOf("v2", 5, all, ticket.Done, 9))
		}, map[string]int{"v2": all}, nil, false},
		{"taken back", func(v *view) {
			v.order(orderOf("v2", 5), time.Time{})
			v.move(moveOf("v2", 5, 0, ticket.TakenBack, 9))
		}, map[string]int{"*": all}, []string{"v2"}, false},
		{"a second order after one was taken back", func(v *view) {
			v.order(orderOf("v2", 5), time.Time{})
			v.move(moveOf("v2", 5, 0, ticket.TakenBack, 9))
			v.order(orderOf("v3", 10), time.Time{})
		}, map[string]int{"*": all}, []string{"v2"}, true},
		{"a second order replaces a running one", func(v *view) {
			v.order(orderOf("v2", 5), time.Time{})
			v.move(moveOf("v2", 5, 500, ticket.Running, 6))
			v.order(orderOf("v3", 7), time.Time{})
		}, map[string]int{"*": all}, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := newView(time.Second)
			is.NoErr(v.configure(configuration(1, 1, "/a/")))
			c.change(v)
			snapshot, err := v.snapshot()
			is.NoErr(err)
			split, ok := snapshot.Split("desk")
			is.True(ok)
			shares := make(map[string]int)
			for _, share := range split.Shares {
				shares[share.Version] = share.Weight
			}
			is.Equal(shares, c.shares)
			is.Equal(split.Barred, c.barred)
			is.Equal(v.moving(), c.moving)
		})
	}
}

// A storm of versions costs a read for each part of the bound, not for each
// version, and the last one is in force within the bound.
func TestVersionsInQuickSuccessionShareReads(t *testing.T) {
	is := is.New(t)
	r := newRows()
	r.configure(1, "/a/")
	s := follow(t, r)
	eventually(t, "the first configuration", func() bool { return s.number() == 1 })
	const versions = 60
	for number := range uint64(versions) {
		r.configure(number+2, "/a/")
		time.Sleep(10 * time.Millisecond)
	}
	written := time.Now()
	eventually(t, "the last configuration", func() bool { return s.number() == versions+1 })
	is.True(time.Since(written) < s.timing.ApplyWithin)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.True(r.reads < versions/5) // 0.6 s hold two or three pauses of 0.3 s
}

// The rows of operators and of moves are read apart. A configuration may come
// after a row of a move that was written later, and has to be put in force.
func TestConfigurationBehindALaterMoveIsApplied(t *testing.T) {
	is := is.New(t)
	r := newRows()
	s := newSource(r)
	s.apply(Changes{Configurations: []Configuration{configuration(4, 1, "/a/")}, Orders: []Order{orderOf("v2", 2)}})
	s.applyMoves(MoveChanges{Moves: []MoveRow{moveOf("v2", 2, 500, ticket.Running, 9)}})
	s.apply(Changes{Configurations: []Configuration{configuration(5, 7, "/a/", "/b/")}})
	_, ok := s.Snapshot().Match("", "/b/x")
	is.True(ok)
	is.Equal(s.Snapshot().Revision(), uint64(9))
}
