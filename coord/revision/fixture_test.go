package revision

import (
	"context"
	"testing"

	"sassafrasnotch.example/coord/store"
)

// base returns the resources of a small valid state.
func base() []Resource {
	return []Resource{
		{Service: &Service{Name: "counter"}},
		{Version: &Version{Service: "counter", Name: "v1"}},
		{Version: &Version{Service: "counter", Name: "v2"}},
		{Split: &Split{Service: "counter", Shares: []Share{{Version: "v1", Weight: FullShare}}}},
		{Route: &Route{Name: "counter", Service: "counter", Prefix: "/counter"}},
	}
}

func put(ticket uint64, resources ...Resource) func(*Snapshot) (Draft, error) {
	return func(*Snapshot) (Draft, error) { return Draft{Ticket: ticket, Put: resources}, nil }
}

// shares returns a split of the counter service with the weight on v2.
func shares(weight int) Resource {
	return Resource{Split: &Split{Service: "counter", Shares: []Share{
		{Version: "v1", Weight: FullShare - weight},
		{Version: "v2", Weight: weight},
	}}}
}

// written returns a log with the base state and count further revisions.
func written(t testing.TB, count int) (*store.Memory, *Log, *Snapshot, []EncodedChange) {
	t.Helper()
	backing := store.NewMemory()
	log := NewLog(backing)
	state, changes, err := log.Append(context.Background(), Empty(), "base", put(1, base()...))
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		next, more, err := log.Append(context.Background(), state, ChangeKey(uint64(i)), put(uint64(i+2), shares(i+1)))
		if err != nil {
			t.Fatal(err)
		}
		state, changes = next, append(changes, more...)
	}
	return backing, log, state, changes
}
