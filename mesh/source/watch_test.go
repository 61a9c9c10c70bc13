package source

import (
	"context"
	"errors"
	"fmt"
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

// testTiming leaves a loaded machine room for the answers of readers.
var testTiming = Timing{ApplyWithin: 2 * time.Second, Settle: time.Second}

// zone joins the sources of the daemons of one availability zone. Each reaches the
// store through its own link.
type zone struct {
	t       *testing.T
	mu      sync.Mutex
	sources map[string]*Source
	links   map[string]*link
	silent  map[string]bool // hosts that answer no other
}

// link is the way of one daemon to the store.
type link struct {
	*rows
	mu    sync.Mutex
	cut   bool
	calls int // that brought rows
}

func (l *link) brought() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return store.ErrUnavailable
	}
	return nil
}

func (l *link) Read(ctx context.Context) (Changes, error) {
	if err := l.failure(); err != nil {
		return Changes{}, err
	}
	l.brought()
	return l.rows.Read(ctx)
}

func (l *link) Await(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	if err := l.failure(); err != nil {
		return Changes{}, err
	}
	changes, err := l.rows.Await(ctx, after, min(wait, 100*time.Millisecond)) // a cut shows soon
	if errors.Is(err, context.DeadlineExceeded) {
		return changes, nil // the wait is over
	}
	l.brought()
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

// members is the view of one host.
type members struct{ zone *zone }

func (m members) SetRevision(uint64) {}
func (m members) Members() (view []gossip.Member) {
	m.zone.mu.Lock()
	defer m.zone.mu.Unlock()
	for host := range m.zone.sources {
		view = append(view, gossip.Member{Record: gossip.Record{Host: host, Zone: "a"}, Status: gossip.Alive})
	}
	return view
}

// startZone runs the sources of a zone of hosts over one store.
func startZone(t *testing.T, r *rows, hosts int) *zone {
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

func (z *zone) add(host string, r *rows) *Source {
	l := &link{rows: r}
	s := New(Self{host, "a"}, l, l, members{z}, z, testTiming, zap.NewNop())
	z.mu.Lock()
	defer z.mu.Unlock()
	z.sources[host], z.links[host] = s, l
	return s
}

// readers returns the hosts that read for the zone.
func (z *zone) readers() []string {
	ranked := readers.Rank("host-0", "a", members{z}.Members())
	return ranked[:readers.Count(len(ranked))]
}

// inForce waits until a version is in force at all daemons but those named.
func (z *zone) inForce(number uint64, but ...string) {
	z.t.Helper()
	for host, s := range z.sources {
		if len(but) == 0 || host != but[0] {
			eventually(z.t, fmt.Sprintf("version %d at %s", number, host), func() bool { return s.number() == number })
		}
	}
}

// settled waits until all daemons but the readers follow one.
func (z *zone) settled() {
	z.t.Helper()
	eventually(z.t, "the readers are followed", func() bool {
		return len(z.followers()) == len(z.sources)-len(z.readers())
	})
}

// followers returns the daemons that follow a reader and not the store.
func (z *zone) followers() map[string]*Source {
	followers := make(map[string]*Source)
	for host, s := range z.sources {
		if s.watching() && !s.direct.Load() {
			followers[host] = s
		}
	}
	return followers
}

// calls counts the calls to the store that brought rows.
func (z *zone) calls() (calls int) {
	for _, l := range z.links {
		l.mu.Lock()
		calls += l.calls
		l.mu.Unlock()
	}
	return calls
}

// The calls to the store grow with its readers, not with the hosts.
func TestFollowersDoNotReadTheStore(t *testing.T) {
	is := is.New(t)
	r := newRows()
	r.configure(1, "/a/")
	z := startZone(t, r, 12)
	z.inForce(1)
	z.settled()
	before := z.calls()
	const versions = 3
	for number := uint64(2); number < 2+versions; number++ {
		r.configure(number, "/a/")
		z.inForce(number)
	}
	made := z.calls() - before
	t.Logf("%d calls for %d versions at 12 hosts", made, versions)
	is.True(made <= 2*versions*len(z.readers())) // a feed may end as a version is written
}

// However a reader fails, its followers have the next version within the bound.
func TestFollowersOutliveTheirReaders(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(z *zone, reader string)
	}{
		{"the reader is silent", func(z *zone, reader string) { z.silent[reader] = true }},
		{"the reader is gone", func(z *zone, reader string) { z.sources[reader] = nil }},
		{"the reader lost the store", func(z *zone, reader string) { z.links[reader].setCut(true) }},
	} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, all: %t", c.name, all), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := newRows()
				r.configure(1, "/a/")
				z := startZone(t, r, 6)
				z.inForce(1)
				z.settled()
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

// A daemon that starts without the store takes what others hold, and is current
// again as soon as the store answers.
func TestStartWithoutTheStore(t *testing.T) {
	r := newRows()
	r.configure(1, "/a/")
	z := startZone(t, r, 5)
	z.inForce(1)
	for host := range z.links {
		z.links[host].setCut(true)
	}
	started := z.add("late", r)
	z.links["late"].setCut(true)
	started.Start()
	t.Cleanup(started.Stop)
	// Gossip names a host that holds a revision, again with each message.
	eventually(t, "the configuration of another daemon", func() bool {
		started.NoteRevision(1, "host-0")
		return started.number() == 1
	})
	for _, l := range z.links {
		l.setCut(false)
	}
	r.configure(2, "/a/", "/b/")
	z.inForce(2)
}

// Damaged rows of another daemon change nothing.
func TestDamagedRowsAreNotTaken(t *testing.T) {
	is := is.New(t)
	v := newView(time.Second)
	is.NoErr(v.configure(configuration(4, 9, "/a/")))
	v.move(moveOf("v2", 5, 500, ticket.Running, 6))
	rows := v.newer(new(peerpb.RowsQuery))
	data, err := rows.encode()
	is.NoErr(err)
	whole, err := decodeRows(data, checksum(data))
	is.NoErr(err)
	is.Equal(whole.Configuration.Number, uint64(4))
	is.Equal(whole.Moves[0].Share, 500)

	flipped := append([]byte(nil), data...)
	flipped[len(flipped)/2] ^= 1
	unknown := moveOf("v2", 5, 500, ticket.Running, 6)
	unknown.Step = "sideways"
	step, err := (&rowSet{Moves: []MoveRow{unknown}}).encode()
	is.NoErr(err)
	for name, c := range map[string]struct {
		data []byte
		sum  uint64
	}{
		"flipped bit":  {flipped, checksum(data)},
		"cut":          {data[:len(data)/2], checksum(data[:len(data)/2])},
		"no rows":      {[]byte("none"), checksum([]byte("none"))},
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

// Rows handed over in any order, any number of times, end in the newest state, and
// no daemon goes back on the way.
func TestRowsHandedOverNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		var views [hosts]*view
		for i := range views {
			views[i] = newView(time.Second)
		}
		written := uint64(0)
		steps := rapid.IntRange(5, 40).Draw(t, "steps")
		for range steps {
			from := views[rapid.IntRange(0, hosts-1).Draw(t, "from")]
			to := views[rapid.IntRange(0, hosts-1).Draw(t, "to")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				written++
				if err := to.configure(configuration(written, written, "/a/")); err != nil {
					t.Fatal(err)
				}
			case 1:
				written++
				to.order(orderOf(fmt.Sprint("v", written), written), time.Time{})
			case 2:
				written++
				verdict := rapid.SampledFrom([]ticket.Verdict{ticket.Running, ticket.Done, ticket.TakenBack}).Draw(t, "verdict")
				to.move(moveOf(fmt.Sprint("v", written), written, 500, verdict, written))
			default:
				held := to.held()
				if err := to.merge(from.newer(held)); err != nil {
					t.Fatal(err)
				}
				if rows := from.newer(to.held()); !rows.empty() {
					t.Fatalf("not all was handed over: %+v", rows)
				}
				before := rowsOf(held)
				for key, version := range rowsOf(to.held()) {
					if version < before[key] {
						t.Fatalf("%s went back", key)
					}
				}
			}
		}
	})
}

// rowsOf returns the versions of the rows by a name.
func rowsOf(query *peerpb.RowsQuery) map[string]uint64 {
	rows := map[string]uint64{"configuration": query.Configuration}
	for _, service := range query.Services {
		rows["order of "+service.Service], rows["move of "+service.Service] = service.Order, service.Move
	}
	return rows
}

// A version that was taken back stays barred at a daemon that learns of it from
// another one, though a later move has taken the row.
func TestBarredVersionsAreHandedOver(t *testing.T) {
	is := is.New(t)
	v := newView(time.Second)
	v.move(moveOf("v2", 5, 0, ticket.TakenBack, 9))
	v.move(moveOf("v3", 10, 500, ticket.Running, 11))
	late := newView(time.Second)
	is.NoErr(late.merge(v.newer(late.held())))
	is.True(late.barred["desk"]["v2"])
}
