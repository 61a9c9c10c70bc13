package source

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// evacuationStep is one event at a daemon, and the zones that are evacuated behind it.
type evacuationStep struct {
	read    bool // of all rows; else rows of the feed
	rows    []EvacuationRow
	through store.Position
	peer    *evacuationSet // from another daemon, instead of the store
	after   time.Duration
	want    []string
}

func written(zone string, position store.Position) EvacuationRow {
	return EvacuationRow{Zone: zone, Position: position}
}

func removed(zone string, position store.Position) EvacuationRow {
	return EvacuationRow{Zone: zone, Position: position, Removed: true}
}

// Guards against a removed order that comes back from a daemon that has not heard of the removal, and against
// an order that is lost or revived when the store comes back from an older copy.
func TestEvacuationsInForce(t *testing.T) {
	a := []string{"a"}
	for _, c := range []struct {
		name  string
		steps []evacuationStep
	}{
		{"written and removed", []evacuationStep{
			{read: true, through: 4},
			{rows: []EvacuationRow{written("a", 7)}, through: 7, want: a},
			{rows: []EvacuationRow{written("a", 8)}, through: 8, want: a},
			{rows: []EvacuationRow{removed("a", 9)}, through: 9},
			{rows: []EvacuationRow{removed("a", 9)}, through: 9},
		}},
		{"an older row of another daemon", []evacuationStep{
			{read: true, rows: []EvacuationRow{written("a", 3)}, through: 4, want: a},
			{rows: []EvacuationRow{removed("a", 9)}, through: 9},
			{peer: &evacuationSet{AsOf: 6, Version: 6, Rows: []EvacuationRow{written("a", 3)}}},
			{rows: []EvacuationRow{written("a", 3)}, through: 9},
			{peer: &evacuationSet{AsOf: 11, Version: 11, Rows: []EvacuationRow{written("a", 11)}}, want: a},
		}},
		{"missing in a read of all rows", []evacuationStep{
			{read: true, rows: []EvacuationRow{written("a", 3)}, through: 4, want: a},
			{read: true, through: 20},
		}},
		{"missing in a read that is older than the row", []evacuationStep{
			{read: true, through: 4},
			{peer: &evacuationSet{AsOf: 9, Version: 9, Rows: []EvacuationRow{written("a", 8)}}, want: a},
			{read: true, through: 6, want: a},
		}},
		{"a daemon without a read hears of a removal", []evacuationStep{
			{peer: &evacuationSet{AsOf: 5, Version: 5, Rows: []EvacuationRow{written("a", 5)}}, want: a},
			{peer: &evacuationSet{AsOf: 9, Version: 9}},
		}},
		{"the copy lacks the order until it is written again", []evacuationStep{
			{read: true, rows: []EvacuationRow{written("a", at(1, 30))}, through: at(1, 31), want: a},
			{read: true, through: at(2, 20), want: a},
			{read: true, through: at(2, 21), want: a},
			{rows: []EvacuationRow{written("a", at(2, 22))}, through: at(2, 22), want: a},
			{rows: []EvacuationRow{removed("a", at(2, 23))}, through: at(2, 23)},
		}},
		{"the copy has an order whose removal was lost", []evacuationStep{
			{read: true, rows: []EvacuationRow{written("a", at(1, 10))}, through: at(1, 11), want: a},
			{rows: []EvacuationRow{removed("a", at(1, 30))}, through: at(1, 30)},
			{read: true, rows: []EvacuationRow{written("a", at(2, 10))}, through: at(2, 20)},
			{rows: []EvacuationRow{written("a", at(2, 21))}, through: at(2, 21), want: a},
		}},
		{"nobody writes again what the store lost", []evacuationStep{
			{read: true, rows: []EvacuationRow{written("a", at(1, 30))}, through: at(1, 31), want: a},
			{read: true, through: at(2, 20), want: a},
			{read: true, through: at(2, 20), after: outdatedHold},
			{peer: &evacuationSet{AsOf: at(2, 20), Version: at(2, 25), Former: []formerEvacuation{{"a", true, at(2, 20)}}}},
		}},
		{"a late answer of the former era", []evacuationStep{
			{read: true, through: at(2, 4)},
			{peer: &evacuationSet{AsOf: at(1, 90), Version: at(1, 90), Rows: []EvacuationRow{written("a", at(1, 80))}}},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, now := newEvacuations(), time.Unix(1000, 0)
			for _, step := range c.steps {
				now = now.Add(step.after)
				switch {
				case step.peer != nil:
					e.merge(step.peer, now)
				case step.read:
					e.addRead(step.rows, step.through, now)
				default:
					e.addChanges(step.rows, step.through)
				}
				e.expire(now)
				is.Equal(e.zones(), step.want)
			}
		})
	}
}

// Guards against daemons that disagree for good: they read the store, follow its feed and hear from each
// other in a random order, and must all end with the rows of the store.
func TestDaemonsAgreeOnEvacuations(t *testing.T) {
	zones := []string{"a", "b", "c"}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		state, now := newRowStates(4), time.Unix(1000, 0)
		present, history := map[string]EvacuationRow{}, []EvacuationRow{}
		read := make([]store.Position, len(state)) // where the feed of each daemon goes on, 0 before a read
		position := store.Position(1)
		readAll := func(i int) {
			var rows []EvacuationRow
			for _, row := range present {
				rows = append(rows, row)
			}
			state[i].evacuations.addRead(rows, position, now)
			read[i] = position
		}
		for range 120 {
			i, j := random.IntN(len(state)), random.IntN(len(state))
			switch random.IntN(5) {
			case 0:
				position += store.Position(1 + random.IntN(3))
				zone := zones[random.IntN(len(zones))]
				row := written(zone, position)
				if _, ok := present[zone]; ok && random.IntN(2) == 0 {
					row = removed(zone, position)
				}
				if delete(present, zone); !row.Removed {
					present[zone] = row
				}
				history = append(history, row)
			case 1:
				if random.IntN(3) == 0 {
					readAll(i)
				}
			case 2:
				if read[i] != 0 {
					from := slices.IndexFunc(history, func(row EvacuationRow) bool { return row.Position > read[i] })
					if from >= 0 {
						state[i].evacuations.addChanges(history[from:], position)
						read[i] = position
					}
				}
			default:
				pull(state[i], state[j], now)
			}
		}
		readAll(0)
		for range 2 {
			for i := range state {
				pull(state[i], state[0], now)
			}
		}
		var want []string
		for zone := range present {
			want = append(want, zone)
		}
		slices.Sort(want)
		for i := range state {
			is := is.New(t)
			is.Equal(state[i].evacuations.zones(), want)
			is.Equal(state[0].newerThan(state[i].heldVersions()).Evacuations, nil) // nothing is sent again and again
		}
	}
}

func newRowStates(count int) []*rowState {
	states := make([]*rowState, count)
	for i := range states {
		states[i] = newRowState(0)
	}
	return states
}

// pull makes a daemon take the rows of another one as followers do.
func pull(to, from *rowState, now time.Time) {
	rows := from.newerThan(to.heldVersions())
	if !rows.empty() {
		_ = to.merge(rows, now)
	}
}

// Guards against a daemon that read the store after an order was removed, and then takes the revision of the removal
// for a newer one that it lacks: it would read all rows again and again, and never report the revision.
func TestRemovalIsLearnedWithoutTheStore(t *testing.T) {
	is := is.New(t)
	z := &zone{t: t, sources: make(map[string]*Source), links: make(map[string]*link), silent: make(map[string]bool)}
	r := newFakeStore()
	here, there := z.add("host-0", r), z.add("host-1", r)
	here.stopped, here.stop = context.WithCancel(t.Context()) // nothing is followed
	t.Cleanup(here.Stop)
	present := []Configuration{configuration(4, 5, "/a/")}
	there.applyOperator(OperatorChanges{Configurations: present, Evacuations: []EvacuationRow{written("a", 10)}, Through: 10, Complete: true})
	is.Equal(there.Snapshot().EvacuatedZones(), []string{"a"})
	there.applyOperator(OperatorChanges{Evacuations: []EvacuationRow{removed("a", 20)}, Through: 20})
	is.Equal(there.Snapshot().EvacuatedZones(), nil)
	here.applyOperator(OperatorChanges{Configurations: present, Through: 30, Complete: true})
	here.followsStore.Store(true)
	is.True(!here.hasApplied(there.applied.Load().revisions))
	here.ObserveRevision(gossip.RevisionReport{Revisions: there.applied.Load().revisions, Host: "host-1"})
	eventually(t, "the revision of the removal", func() bool { return here.hasApplied(there.applied.Load().revisions) })
	is.Equal(here.Snapshot().EvacuatedZones(), nil)
	is.Equal(len(here.reread), 0)
}

// Guards against a zone reader that sends the evacuations without end to a follower of a release that knows none,
// and so never lets its queries wait.
func TestFollowerOfAnOlderReleaseGetsNoEvacuations(t *testing.T) {
	is := is.New(t)
	state := newRowStates(1)[0]
	state.evacuations.addRead([]EvacuationRow{written("a", 3)}, 4, time.Unix(1000, 0))
	rows := state.newerThan(new(peerpb.RowsQuery))
	is.True(rows.empty())
}
