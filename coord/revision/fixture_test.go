package revision

import (
	"context"
	"testing"

	"sassafrasnotch.example/coord/store"
)

// baseResources returns the resources of a small valid state: one service with two versions.
func baseResources() []Resource {
	return []Resource{
		{Service: &Service{Name: "counter"}},
		{Version: &Version{Service: "counter", Name: "v1"}},
		{Version: &Version{Service: "counter", Name: "v2"}},
		{Split: &Split{Service: "counter", Shares: []Share{{Version: "v1", Weight: FullShare}}}},
		{Route: &Route{Name: "counter", Service: "counter", Prefix: "/counter"}},
	}
}

// putResources returns a build function for Append that puts the resources.
func putResources(ticket uint64, resources ...Resource) func(*Snapshot) (Draft, error) {
	return func(*Snapshot) (Draft, error) { return Draft{Ticket: ticket, Put: resources}, nil }
}

// counterSplit returns the split of the service "counter" with the given weight on v2 and the rest
// on v1.
func counterSplit(weight int) Resource {
	return Resource{Split: &Split{Service: "counter", Shares: []Share{
		{Version: "v1", Weight: FullShare - weight},
		{Version: "v2", Weight: weight},
	}}}
}

// newTestLog returns a log with the resources of baseResources at revision 1 and count further
// revisions, the latest state and all changes.
func newTestLog(t testing.TB, count int) (*store.Memory, *Log, *Snapshot, []EncodedChange) {
	t.Helper()
	backing := store.NewMemory()
	log := NewLog(backing)
	state, changes, err := log.Append(context.Background(), Empty(), "base", putResources(1, baseResources()...))
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		next, more, err := log.Append(context.Background(), state, ChangeKey(uint64(i)), putResources(uint64(i+2), counterSplit(i+1)))
		if err != nil {
			t.Fatal(err)
		}
		state, changes = next, append(changes, more...)
	}
	return backing, log, state, changes
}
