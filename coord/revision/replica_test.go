package revision

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testMaxWait = time.Second

func TestReplicaAppliesOnceTwoOthersHold(t *testing.T) {
	is := is.New(t)
	_, _, _, changes := newTestLog(t, 2)
	start := time.Unix(0, 0)
	replica := NewReplica("a", testMaxWait)
	is.NoErr(replica.Stage(changes[0], []string{"b", "a"}, start))
	is.True(!replica.Advance(start)) // only one other host holds it
	is.NoErr(replica.Stage(changes[0], []string{"c"}, start))
	is.True(replica.Advance(start))
	is.Equal(replica.Applied().Revision(), uint64(1))
	is.True(errors.Is(replica.Stage(changes[2], nil, start), ErrGap))
	is.NoErr(replica.Stage(changes[1], nil, start))
	is.True(replica.Advance(start.Add(testMaxWait))) // applied after maxWait without a quorum
	is.Equal(replica.Applied().Revision(), uint64(2))
}

func TestReplicaServesWhatItApplied(t *testing.T) {
	is := is.New(t)
	_, _, state, changes := newTestLog(t, 3)
	replica := NewReplica("a", 0)
	for _, change := range changes {
		is.NoErr(replica.Stage(change, nil, time.Time{}))
	}
	replica.Advance(time.Time{})
	after, kept := replica.ChangesAfter(1)
	is.True(kept)
	is.Equal(len(after), 3)
	other := NewReplica("b", 0)
	is.True(other.Install(state))
	_, kept = other.ChangesAfter(1)
	is.True(!kept) // an installed snapshot has no changes; the requesting host needs the snapshot
}

// TestReplicaNeverReverts checks that for any sequence of events, repeated and out of order, the
// applied revision never decreases and the state is that of the log at the same revision.
func TestReplicaNeverReverts(t *testing.T) {
	_, _, _, changes := newTestLog(t, 12)
	states := []*Snapshot{Empty()}
	for _, encoded := range changes {
		change, err := DecodeChange(encoded.Value)
		if err != nil {
			t.Fatal(err)
		}
		next, err := states[len(states)-1].Apply(change)
		if err != nil {
			t.Fatal(err)
		}
		states = append(states, next)
	}
	rapid.Check(t, func(t *rapid.T) {
		replica := NewReplica("self", testMaxWait)
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := replica.Applied().Revision()
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "wait")) * time.Millisecond)
			i := rapid.IntRange(0, len(changes)-1).Draw(t, "change")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				_ = replica.Stage(changes[i], []string{rapid.SampledFrom([]string{"a", "b", "self"}).Draw(t, "holder")}, now)
			case 1:
				replica.Confirm(changes[i].Revision, []string{"a", "b"})
			case 2:
				replica.Advance(now)
			case 3:
				replica.ApplyThrough(changes[i].Revision)
			case 4:
				replica.Install(states[i])
			}
			applied := replica.Applied()
			if applied.Revision() < before {
				t.Fatalf("applied revision decreased from %d to %d", before, applied.Revision())
			}
			if applied.Hash() != states[applied.Revision()].Hash() {
				t.Fatalf("the state at revision %d differs from the log", applied.Revision())
			}
			if replica.Latest().Hash() != states[replica.Latest().Revision()].Hash() {
				t.Fatalf("the staged state at revision %d differs from the log", replica.Latest().Revision())
			}
		}
	})
}

func TestMatchTakesTheLongestPrefixOfWholeSegments(t *testing.T) {
	resources := append(baseResources(),
		Resource{Route: &Route{Name: "orders", Service: "counter", Prefix: "/counter/orders/"}})
	snapshot, err := Empty().Preview(&Change{Revision: 1, Put: resources})
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		"/counter":          "counter",
		"/counter/":         "counter",
		"/counter/orders/7": "orders",
		"/counter/ordersX":  "counter",
		"/counterX":         "",
		"/":                 "",
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			route, ok := snapshot.Match("", path)
			is.Equal(ok, want != "")
			if ok {
				is.Equal(route.Name, want)
			}
		})
	}
}

func TestSnapshotEncoding(t *testing.T) {
	is := is.New(t)
	_, _, state, _ := newTestLog(t, 3)
	data, err := state.Encode()
	is.NoErr(err)
	decoded, err := DecodeSnapshot(data)
	is.NoErr(err)
	is.Equal(decoded.Hash(), state.Hash())
	data[len(data)/2] ^= 1
	_, err = DecodeSnapshot(data)
	is.True(err != nil) // a flipped bit is detected
}
