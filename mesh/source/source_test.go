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

// testLimit bounds each wait for a condition.
const testLimit = 10 * time.Second

// fakeStore holds the rows of an operator and of rollouts. It implements OperatorReader and
// RolloutReader.
type fakeStore struct {
	mu       sync.Mutex
	version  store.Position
	changes  OperatorChanges
	rollouts RolloutChanges
	changed  chan struct{} // closed at the next write
	latency  time.Duration // of a read of all rows
	delay    time.Duration // of changes that a call of Await finds
	trimmed  bool          // makes the next Await return store.ErrTrimmed
	failing  int           // number of the next reads that fail
	silent   bool          // the connection delivers nothing, until a call gives up and opens another one
	reads    int           // number of reads so far
	awaited  int           // number of those that a call of Await made
	// rolloutReads is the number of reads of all rows of rollouts so far.
	rolloutReads int
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{})} }

// write makes a change at the next version and wakes the waiting calls of Await.
func (r *fakeStore) write(change func(version store.Position)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	change(r.version)
	r.changes.Through, r.rollouts.Through = r.version, r.version
	close(r.changed)
	r.changed = make(chan struct{})
}

// configure writes a configuration with a route for each prefix.
func (r *fakeStore) configure(number uint64, prefixes ...string) {
	r.write(func(version store.Position) {
		r.changes.Configurations = []Configuration{configuration(number, version, prefixes...)}
	})
}

// configuration returns a configuration with a route for each prefix.
func configuration(number uint64, position store.Position, prefixes ...string) Configuration {
	c := Configuration{Number: number, Position: position, Services: []revision.Service{{Name: "desk"}}}
	for _, prefix := range prefixes {
		c.Routes = append(c.Routes, revision.Route{Name: prefix, Service: "desk", Prefix: prefix})
	}
	return c
}

func (r *fakeStore) Read(ctx context.Context) (OperatorChanges, error) {
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
		return OperatorChanges{}, store.ErrUnavailable
	}
	return changes, nil
}

func (r *fakeStore) Await(ctx context.Context, after store.Position, wait time.Duration) (OperatorChanges, error) {
	r.mu.Lock()
	changes, changed, trimmed, delay := r.changes, r.changed, r.trimmed, r.delay
	r.trimmed = false
	r.mu.Unlock()
	if trimmed {
		return OperatorChanges{}, store.ErrTrimmed
	}
	ctx, cancel := context.WithTimeout(ctx, wait+fakeTimeout)
	defer cancel()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if r.lost(ctx) {
		return OperatorChanges{}, store.ErrUnavailable
	}
	if changes.Through > after {
		sleep(ctx, delay)
		return changes, ctx.Err()
	}
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return OperatorChanges{Through: after}, ctx.Err()
	}
	if r.lost(ctx) {
		return OperatorChanges{}, store.ErrUnavailable
	}
	r.mu.Lock()
	changes = r.changes
	found := changes.Through > after
	if found {
		r.awaited++
	}
	r.mu.Unlock()
	if !found {
		return OperatorChanges{Through: after}, nil
	}
	return r.Read(context.Background())
}

// fakeTimeout is the time for which a client waits for a response of the store.
const fakeTimeout = 2 * time.Second

// lost reports whether the connection of a call is silent. It returns when the call gives up, and the
// next call has a new connection.
func (r *fakeStore) lost(ctx context.Context) bool {
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	if !silent {
		return false
	}
	<-ctx.Done()
	r.mu.Lock()
	r.silent = false
	r.mu.Unlock()
	return true
}

func (r *fakeStore) ReadRollouts(context.Context) (RolloutChanges, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rolloutReads++
	return r.rollouts, nil
}

func (r *fakeStore) AwaitRollouts(ctx context.Context, after store.Position, wait time.Duration) (RolloutChanges, error) {
	_, err := r.Await(ctx, after, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rollouts, err
}

func (r *fakeStore) Now() time.Time { return time.UnixMilli(1) }

// noMembers is the membership of a daemon that knows no other one.
type noMembers struct{}

func (noMembers) SetRevisions(gossip.Revisions) {}
func (noMembers) Members() []gossip.Member      { return nil }

// reportOf returns the report of a host without rollouts.
func reportOf(revision uint64, host string) gossip.RevisionReport {
	return gossip.RevisionReport{Revisions: gossip.Revisions{Latest: revision}, Host: host}
}

// noPeers reaches no other daemon.
type noPeers struct{}

func (noPeers) Control(context.Context, string, string, *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	return nil, errors.New("unreachable")
}

func newSource(r *fakeStore) *Source {
	return New(Self{"host", "a"}, r, r, noMembers{}, noPeers{}, Timing{ApplyWithin: time.Second, Settle: time.Second}, zap.NewNop())
}

// follow starts a source over the store and stops it at the end of the test.
func follow(t *testing.T, r *fakeStore) *Source {
	t.Helper()
	s := newSource(r)
	s.Start()
	t.Cleanup(s.Stop)
	return s
}

// eventually fails the test if a condition does not hold within testLimit.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", testLimit, what)
		}
	}
}

// number returns the number of the configuration in force, or 0.
func (s *Source) number() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.configuration == nil || s.Snapshot() == nil {
		return 0
	}
	return s.state.configuration.Number
}

func TestFollowsTheOperator(t *testing.T) {
	cases := []struct {
		name   string
		inject func(r *fakeStore)
	}{
		{"no fault", func(*fakeStore) {}},
		{"change history trimmed", func(r *fakeStore) { r.trimmed = true }},
		{"first reads fail", func(r *fakeStore) { r.failing = 3 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newFakeStore()
			r.configure(4, "/a/")
			c.inject(r)
			s := follow(t, r)
			eventually(t, "the first configuration", func() bool { return s.number() == 4 })
			r.configure(7, "/a/", "/b/")
			eventually(t, "the next configuration", func() bool { return s.number() == 7 })
			_, ok := s.Snapshot().Match("", "/b/x")
			is.New(t).True(ok)
		})
	}
}

// Other daemons gossip a newer revision many times per second. This may end a wait for changes but
// never a read, otherwise a starting daemon would have no configuration while the gossip continues.
func TestNewerRevisionsDoNotInterruptReads(t *testing.T) {
	r := newFakeStore()
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
				s.ObserveRevision(reportOf(1000, "other"))
				time.Sleep(5 * time.Millisecond)
			}
		}
	}()
	eventually(t, "the first configuration", func() bool { return s.number() == 4 })
}

// A change feed whose connection has stopped delivering reports no changes. A newer revision that
// another daemon gossips makes this one read all rows.
func TestNewerRevisionEndsAStalledWait(t *testing.T) {
	r := newFakeStore()
	r.configure(4, "/a/")
	s := follow(t, r)
	eventually(t, "the first configuration", func() bool { return s.number() == 4 })
	r.mu.Lock()
	r.version++
	r.changes = OperatorChanges{Through: r.version, Configurations: []Configuration{configuration(5, r.version, "/a/")}}
	r.mu.Unlock() // without waking the waiting calls of Await
	s.ObserveRevision(reportOf(uint64(r.version), "other"))
	eventually(t, "the next configuration", func() bool { return s.number() == 5 })
}

// In a series of changes, gossip tells of each before the change feed delivers it. That causes no
// read of all rows.
func TestRevisionThatTheFeedDeliversCausesNoRead(t *testing.T) {
	is := is.New(t)
	r := newFakeStore()
	r.delay = 50 * time.Millisecond
	r.configure(4, "/a/")
	s := follow(t, r)
	eventually(t, "the first configuration", func() bool { return s.number() == 4 })
	time.Sleep(s.applyFraction(startPauseFraction))
	for number := uint64(5); number < 12; number++ {
		r.configure(number, "/a/")
		s.ObserveRevision(reportOf(uint64(r.version), "other"))
		time.Sleep(100 * time.Millisecond)
	}
	eventually(t, "the last configuration", func() bool { return s.number() == 11 })
	time.Sleep(s.applyFraction(2 * rereadDelayFraction))
	r.mu.Lock()
	defer r.mu.Unlock()
	is.Equal(r.reads-r.awaited, 1) // that of the start
}

// The rows of rollouts are read with all rows only for orders that are not held yet.
func TestKnownOrdersCauseNoReadOfRollouts(t *testing.T) {
	is := is.New(t)
	r := newFakeStore()
	r.configure(4, "/a/")
	s := New(Self{}, r, r, noMembers{}, nil, Timing{ApplyWithin: time.Second}, zap.NewNop())
	order := func(version store.Position) RolloutOrder {
		return RolloutOrder{Service: "desk", Version: "v2", Within: time.Minute, Position: version}
	}
	for _, c := range []struct {
		orders []RolloutOrder
		reads  int
	}{{nil, 0}, {[]RolloutOrder{order(7)}, 1}, {[]RolloutOrder{order(7)}, 1}, {[]RolloutOrder{order(9)}, 2}} {
		r.mu.Lock()
		r.changes.Orders = c.orders
		r.mu.Unlock()
		changes, err := s.readAll(t.Context())
		is.NoErr(err)
		s.applyOperator(changes)
		is.Equal(r.rolloutReads, c.reads)
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	state := newRowState(time.Second)
	is.NoErr(state.addConfiguration(configuration(7, 20, "/a/"), time.Time{}))
	is.NoErr(state.addConfiguration(configuration(7, 20, "/a/"), time.Time{})) // the same row again
	is.NoErr(state.addConfiguration(configuration(9, 10, "/b/"), time.Time{})) // an older row
	is.Equal(state.configuration.Number, uint64(7))
	is.True(state.addConfiguration(configuration(6, 30, "/b/"), time.Time{}) != nil) // a lower number in a newer row
	is.Equal(state.configuration.Number, uint64(7))
	broken := configuration(8, 40, "/b/")
	broken.Routes[0].Service = "nobody"
	is.True(errors.Is(state.addConfiguration(broken, time.Time{}), revision.ErrInvalid))
	is.Equal(state.configuration.Number, uint64(7)) // no part of it is applied
	is.NoErr(state.addConfiguration(configuration(8, 50, "/b/"), time.Time{}))
	snapshot, err := state.snapshot()
	is.NoErr(err)
	is.Equal(snapshot.Revision(), uint64(50))
}

func orderOf(version string, position store.Position) RolloutOrder {
	return RolloutOrder{Service: "desk", Version: version, Within: 12 * time.Second, Position: position}
}

func rolloutOf(to string, number uint64, share int, verdict ticket.Verdict, position store.Position) RolloutRow {
	state := rollout.NewState("desk", revision.Rollout{Ticket: number, From: revision.AnyVersion, To: to}, revision.PreferBounded, time.Time{})
	state.Share, state.Verdict = share, verdict
	return RolloutRow{State: state, Position: position}
}

func TestSplitFollowsOrdersAndRollouts(t *testing.T) {
	const all = revision.FullShare
	cases := []struct {
		name    string
		change  func(state *rowState)
		shares  map[string]int
		barred  []string
		running bool
	}{
		{"no order", func(*rowState) {}, map[string]int{"*": all}, nil, false},
		{"ordered", func(state *rowState) { state.addOrder(orderOf("v2", 5), time.Time{}) }, map[string]int{"*": all}, nil, true},
		{"running", func(state *rowState) {
			state.addOrder(orderOf("v2", 5), time.Time{})
			state.addRollout(rolloutOf("v2", 5, 500, ticket.Running, 6))
		}, map[string]int{"*": all - 500, "v2": 500}, nil, true},
		{"rows out of order", func(state *rowState) {
			state.addRollout(rolloutOf("v2", 5, 900, ticket.Running, 8))
			state.addRollout(rolloutOf("v2", 5, 500, ticket.Running, 6))
			state.addOrder(orderOf("v2", 5), time.Time{})
		}, map[string]int{"*": all - 900, "v2": 900}, nil, true},
		{"completed", func(state *rowState) {
			state.addOrder(orderOf("v2", 5), time.Time{})
			state.addRollout(rolloutOf("v2", 5, all, ticket.Completed, 9))
		}, map[string]int{"v2": all}, nil, false},
		{"rolled back", func(state *rowState) {
			state.addOrder(orderOf("v2", 5), time.Time{})
			state.addRollout(rolloutOf("v2", 5, 0, ticket.RolledBack, 9))
		}, map[string]int{"*": all}, []string{"v2"}, false},
		{"a second order after a rollback", func(state *rowState) {
			state.addOrder(orderOf("v2", 5), time.Time{})
			state.addRollout(rolloutOf("v2", 5, 0, ticket.RolledBack, 9))
			state.addOrder(orderOf("v3", 10), time.Time{})
		}, map[string]int{"*": all}, []string{"v2"}, true},
		{"a second order replaces a running rollout", func(state *rowState) {
			state.addOrder(orderOf("v2", 5), time.Time{})
			state.addRollout(rolloutOf("v2", 5, 500, ticket.Running, 6))
			state.addOrder(orderOf("v3", 7), time.Time{})
		}, map[string]int{"*": all}, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			state := newRowState(time.Second)
			is.NoErr(state.addConfiguration(configuration(1, 1, "/a/"), time.Time{}))
			c.change(state)
			snapshot, err := state.snapshot()
			is.NoErr(err)
			split, ok := snapshot.Split("desk")
			is.True(ok)
			shares := make(map[string]int)
			for _, share := range split.Shares {
				shares[share.Version] = share.Weight
			}
			is.Equal(shares, c.shares)
			is.Equal(split.Barred, c.barred)
			is.Equal(state.rolloutRunning(), c.running)
		})
	}
}

func TestInvalidRolloutRowDelaysNoConfiguration(t *testing.T) {
	is := is.New(t)
	s := newSource(newFakeStore())
	s.applyOperator(OperatorChanges{Configurations: []Configuration{configuration(4, 1, "/a/")}})
	s.applyRollouts(RolloutChanges{Rollouts: []RolloutRow{
		rolloutOf("v2", 2, revision.FullShare+1, ticket.Running, 3),
		rolloutOf("", 2, 500, ticket.Running, 4),
	}})
	s.applyOperator(OperatorChanges{Configurations: []Configuration{configuration(5, 7, "/a/", "/b/")}})
	_, ok := s.Snapshot().Match("", "/b/x")
	is.True(ok)
}

// Versions in quick succession cause one read for each pause after a change, not one for each
// version, and the last version is in force within Timing.ApplyWithin.
func TestVersionsInQuickSuccessionShareReads(t *testing.T) {
	is := is.New(t)
	r := newFakeStore()
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
	is.True(r.reads < versions/5) // 0.6 s contain two or three pauses of 0.3 s
}

func TestConnectionToTheStoreThatFallsSilentDelaysNoConfiguration(t *testing.T) {
	for _, after := range []time.Duration{10 * time.Millisecond, 500 * time.Millisecond} { // the previous configuration
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			r := newFakeStore()
			r.configure(1, "/a/")
			s := newSource(r)
			s.timing.ApplyWithin = 2 * time.Second
			s.Start()
			t.Cleanup(s.Stop)
			eventually(t, "the first configuration", func() bool { return s.number() == 1 })
			time.Sleep(s.applyFraction(startPauseFraction))
			r.configure(2, "/a/")
			eventually(t, "the second configuration", func() bool { return s.number() == 2 })
			time.Sleep(after)
			r.mu.Lock()
			r.silent = true
			r.mu.Unlock()
			r.configure(3, "/a/", "/b/")
			written := time.Now()
			eventually(t, "the third configuration", func() bool { return s.number() == 3 })
			is.True(time.Since(written) < s.timing.ApplyWithin)
		})
	}
}

// The rows of operators and of rollouts are read separately. A configuration may arrive after the
// row of a rollout that was written later, and still has to be put in force.
func TestConfigurationAfterALaterRolloutIsApplied(t *testing.T) {
	is := is.New(t)
	r := newFakeStore()
	s := newSource(r)
	s.applyOperator(OperatorChanges{Configurations: []Configuration{configuration(4, 1, "/a/")}, Orders: []RolloutOrder{orderOf("v2", 2)}})
	s.applyRollouts(RolloutChanges{Rollouts: []RolloutRow{rolloutOf("v2", 2, 500, ticket.Running, 9)}})
	s.applyOperator(OperatorChanges{Configurations: []Configuration{configuration(5, 7, "/a/", "/b/")}})
	_, ok := s.Snapshot().Match("", "/b/x")
	is.True(ok)
	is.Equal(s.Snapshot().Revision(), uint64(9))
}
