package source

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/readers"
)

// testTiming allows for slow replies of zone readers on a loaded machine.
var testTiming = Timing{ApplyWithin: 2 * time.Second, Settle: time.Second}

// zone connects the sources of the daemons of one availability zone. Each reaches the store through
// a link of its own. It implements Peers.
type zone struct {
	t       *testing.T
	mu      sync.Mutex
	sources map[string]*Source
	links   map[string]*link
	silent  map[string]bool // hosts that don't reply
}

// link is the connection of one daemon to the store.
type link struct {
	*fakeStore
	mu       sync.Mutex
	cut      bool // requests to the store fail
	silent   bool // requests to the store get no response
	requests int  // number of requests that returned rows
}

// countRequest counts a request that returned rows.
func (l *link) countRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
}

func (l *link) setSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// failure returns the error of each request while the link is cut or silent, in the latter case when
// the client gives up.
func (l *link) failure(ctx context.Context) error {
	l.mu.Lock()
	cut, silent := l.cut, l.silent
	l.mu.Unlock()
	if silent {
		sleep(ctx, fakeTimeout)
	}
	if cut || silent {
		return store.ErrUnavailable
	}
	return nil
}

func (l *link) Read(ctx context.Context) (OperatorChanges, error) {
	if err := l.failure(ctx); err != nil {
		return OperatorChanges{}, err
	}
	l.countRequest()
	return l.fakeStore.Read(ctx)
}

func (l *link) Await(ctx context.Context, after store.Position, wait time.Duration) (OperatorChanges, error) {
	if err := l.failure(ctx); err != nil {
		return OperatorChanges{}, err
	}
	changes, err := l.fakeStore.Await(ctx, after, min(wait, 100*time.Millisecond)) // so that a cut link is detected soon
	if errors.Is(err, context.DeadlineExceeded) {
		return changes, nil // the wait is over
	}
	if failure := l.failure(ctx); failure != nil {
		return OperatorChanges{}, failure
	}
	l.countRequest()
	return changes, err
}

// Control implements Peers.
func (z *zone) Control(ctx context.Context, host, _ string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	z.mu.Lock()
	s, silent := z.sources[host], z.silent[host]
	z.mu.Unlock()
	if s == nil {
		return nil, errors.New("down")
	}
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := s.ServeRows(ctx, request.GetRows())
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Rows{Rows: reply}}, err
}

// members is the membership of a zone.
type members struct{ zone *zone }

func (m members) SetRevisions(gossip.Revisions) {}
func (m members) Members() (list []gossip.Member) {
	m.zone.mu.Lock()
	defer m.zone.mu.Unlock()
	for host := range m.zone.sources {
		list = append(list, gossip.Member{Record: gossip.Record{Host: host, Zone: zoneOf(host)}, Status: gossip.Alive})
	}
	return list
}

// zoneOf returns the zone of a host: "b" if its name begins so, else "a".
func zoneOf(host string) string {
	if strings.HasPrefix(host, "b-") {
		return "b"
	}
	return "a"
}

// startZone starts the sources of the given number of hosts over one store.
func startZone(t *testing.T, r *fakeStore, hosts int) *zone {
	z := &zone{t: t, sources: make(map[string]*Source), links: make(map[string]*link), silent: make(map[string]bool)}
	for i := range hosts {
		z.add(fmt.Sprintf("host-%d", i), r)
	}
	for _, s := range z.sources {
		s.Start()
		t.Cleanup(s.Stop)
	}
	return z
}

// add adds the source of a host without starting it.
func (z *zone) add(host string, r *fakeStore) *Source {
	l := &link{fakeStore: r}
	s := New(Self{host, zoneOf(host)}, l, l, members{z}, z, testTiming, zap.NewNop())
	z.mu.Lock()
	defer z.mu.Unlock()
	z.sources[host], z.links[host] = s, l
	return s
}

// readers returns the zone readers.
func (z *zone) readers() []string {
	ranked := readers.Rank("host-0", "a", members{z}.Members())
	return ranked[:readers.Count(len(ranked))]
}

// waitApplied waits until a version is in force at all daemons except the one named.
func (z *zone) waitApplied(number uint64, except ...string) {
	z.t.Helper()
	for host, s := range z.sources {
		if len(except) == 0 || host != except[0] {
			eventually(z.t, fmt.Sprintf("version %d at %s", number, host), func() bool { return s.number() == number })
		}
	}
}

// waitFollowing waits until the zone readers follow the store and all other daemons a zone reader.
func (z *zone) waitFollowing() {
	z.t.Helper()
	eventually(z.t, "the zone readers follow the store", func() bool {
		return !slices.ContainsFunc(z.readers(), func(host string) bool {
			s := z.sources[host]
			return !s.followsStore.Load() || s.followsReader()
		})
	})
	eventually(z.t, "all other daemons follow a zone reader", func() bool {
		return len(z.followers()) == len(z.sources)-len(z.readers())
	})
}

// followers returns the daemons that follow a zone reader and not the store. A zone reader that starts
// follows another one for a time; it is none of them.
func (z *zone) followers() map[string]*Source {
	followers := make(map[string]*Source)
	readers := z.readers()
	for host, s := range z.sources {
		if s.followsReader() && !s.followsStore.Load() && !slices.Contains(readers, host) {
			followers[host] = s
		}
	}
	return followers
}

// requests returns the number of requests to the store that returned rows.
func (z *zone) requests() (requests int) {
	for _, l := range z.links {
		l.mu.Lock()
		requests += l.requests
		l.mu.Unlock()
	}
	return requests
}

// The number of requests to the store grows with the zone readers, not with the hosts.
func TestFollowersDoNotReadTheStore(t *testing.T) {
	is := is.New(t)
	r := newFakeStore()
	r.configure(1, "/a/")
	z := startZone(t, r, 12)
	z.waitApplied(1)
	z.waitFollowing()
	before := z.requests()
	const versions = 3
	for number := uint64(2); number < 2+versions; number++ {
		r.configure(number, "/a/")
		z.waitApplied(number)
	}
	sent := z.requests() - before
	t.Logf("%d requests for %d versions at 12 hosts", sent, versions)
	is.True(sent <= 2*versions*len(z.readers())) // a wait may end just as a version is written
}

// Whichever way a zone reader fails, its followers apply the next version within
// Timing.ApplyWithin.
func TestFollowersOutliveTheirReaders(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(z *zone, reader string)
	}{
		{"the zone reader does not reply", func(z *zone, reader string) { z.silent[reader] = true }},
		{"the zone reader is gone", func(z *zone, reader string) { z.sources[reader] = nil }},
		{"the zone reader does not reach the store", func(z *zone, reader string) { z.links[reader].setCut(true) }},
	} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, all: %t", c.name, all), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := newFakeStore()
				r.configure(1, "/a/")
				z := startZone(t, r, 6)
				z.waitApplied(1)
				z.waitFollowing()
				hosts := z.readers()
				if !all {
					hosts = hosts[:1]
				}
				followers := z.followers()
				z.mu.Lock()
				for _, reader := range hosts {
					c.fail(z, reader)
				}
				z.mu.Unlock()
				r.configure(2, "/a/", "/b/")
				written := time.Now()
				for host, s := range followers {
					eventually(t, "the new version at "+host, func() bool { return s.number() == 2 })
				}
				is.True(time.Since(written) < testTiming.ApplyWithin)
			})
		}
	}
}

// A daemon that starts while the store is unavailable applies the configuration that others hold,
// and the next one as soon as the store is available.
func TestStartWithoutTheStore(t *testing.T) {
	r := newFakeStore()
	r.configure(1, "/a/")
	z := startZone(t, r, 5)
	z.waitApplied(1)
	for host := range z.links {
		z.links[host].setCut(true)
	}
	started := z.add("late", r)
	z.links["late"].setCut(true)
	started.Start()
	t.Cleanup(started.Stop)
	// Each gossip message reports a host with a revision again.
	eventually(t, "the configuration of another daemon", func() bool {
		started.ObserveRevision(reportOf(1, "host-0"))
		return started.number() == 1
	})
	for _, l := range z.links {
		l.setCut(false)
	}
	r.configure(2, "/a/", "/b/")
	z.waitApplied(2)
}

// Damaged rows from another daemon are rejected as a whole.
func TestDamagedRowsAreNotTaken(t *testing.T) {
	is := is.New(t)
	state := newRowState(time.Second)
	is.NoErr(state.addConfiguration(configuration(4, 9, "/a/"), time.Time{}))
	state.addRollout(rolloutOf("v2", 5, 500, ticket.Running, 6))
	rows := state.newerThan(new(peerpb.RowsQuery))
	data, err := rows.encode()
	is.NoErr(err)
	whole, err := decodeRows(data, checksum(data))
	is.NoErr(err)
	is.Equal(whole.Configuration.Number, uint64(4))
	is.Equal(whole.Rollouts[0].Share, 500)

	flipped := append([]byte(nil), data...)
	flipped[len(flipped)/2] ^= 1
	unknown := rolloutOf("v2", 5, 500, ticket.Running, 6)
	unknown.Step = "unknown"
	step, err := (&rowSet{Rollouts: []RolloutRow{unknown}}).encode()
	is.NoErr(err)
	for name, c := range map[string]struct {
		data []byte
		sum  uint64
	}{
		"flipped bit":  {flipped, checksum(data)},
		"truncated":    {data[:len(data)/2], checksum(data[:len(data)/2])},
		"not encoded":  {[]byte("none"), checksum([]byte("none"))},
		"unknown step": {step, checksum(step)},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := decodeRows(c.data, c.sum)
			is := is.New(t)
			is.True(errors.Is(err, revision.ErrCorrupt))
			is.True(got.empty())
		})
	}
}

// Rows sent between daemons in any order and any number of times result in the latest state, and no
// daemon replaces a row by an older one on the way.
func TestRowsHandedOverNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		var states [hosts]*rowState
		for i := range states {
			states[i] = newRowState(time.Second)
		}
		written := store.Position(0)
		steps := rapid.IntRange(5, 40).Draw(t, "steps")
		for range steps {
			from := states[rapid.IntRange(0, hosts-1).Draw(t, "from")]
			to := states[rapid.IntRange(0, hosts-1).Draw(t, "to")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				written++
				if err := to.addConfiguration(configuration(uint64(written), written, "/a/"), time.Time{}); err != nil {
					t.Fatal(err)
				}
			case 1:
				written++
				to.addOrder(orderOf(fmt.Sprint("v", written), written), time.Time{})
			case 2:
				written++
				verdict := rapid.SampledFrom([]ticket.Verdict{ticket.Running, ticket.Completed, ticket.RolledBack}).Draw(t, "verdict")
				to.addRollout(rolloutOf(fmt.Sprint("v", written), uint64(written), 500, verdict, written))
			default:
				held := to.heldVersions()
				if err := to.merge(from.newerThan(held), time.Time{}); err != nil {
					t.Fatal(err)
				}
				if rows := from.newerThan(to.heldVersions()); !rows.empty() {
					t.Fatalf("rows missing after the merge: %+v", rows)
				}
				before := rowsOf(held)
				for key, version := range rowsOf(to.heldVersions()) {
					if version < before[key] {
						t.Fatalf("%s was replaced by an older row", key)
					}
				}
			}
		}
	})
}

// rowsOf returns the store versions in a query by a name of each row.
func rowsOf(query *peerpb.RowsQuery) map[string]uint64 {
	rows := map[string]uint64{"configuration": query.Configuration}
	for _, service := range query.Services {
		rows["order of "+service.Service], rows["rollout of "+service.Service] = service.Order, service.Move
	}
	return rows
}

// A version that was rolled back stays barred at a daemon that receives it from another one, even
// after a later rollout has replaced the row.
func TestBarredVersionsAreSent(t *testing.T) {
	is := is.New(t)
	state := newRowState(time.Second)
	state.addRollout(rolloutOf("v2", 5, 0, ticket.RolledBack, 9))
	state.addRollout(rolloutOf("v3", 10, 500, ticket.Running, 11))
	late := newRowState(time.Second)
	is.NoErr(late.merge(state.newerThan(late.heldVersions()), time.Time{}))
	is.True(late.barred["desk"]["v2"])
}
