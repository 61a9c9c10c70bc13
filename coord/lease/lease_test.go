package lease

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/store"
)

const testTerm = 3 * time.Second

// fakeHost runs a candidate against a table on a clock of its own.
type fakeHost struct {
	*Candidate
	table store.Table
	clock time.Duration
}

func newFakeHost(table store.Table, name string, clock time.Duration) *fakeHost {
	return &fakeHost{Candidate: New("move/orders", name, testTerm), table: table, clock: clock}
}

func (h *fakeHost) rows() Rows {
	ctx := context.Background()
	lease, _ := h.table.Get(ctx, Key("move/orders"))
	fence, _ := h.table.Get(ctx, FenceKey("move/orders"))
	return Rows{Lease: lease, Fence: fence}
}

// tick advances the clock by a second, decides and commits.
func (h *fakeHost) tick() Kind {
	h.clock += time.Second
	d, err := h.Decide(h.rows(), h.clock)
	if err != nil {
		panic(err)
	}
	_ = h.table.Txn(context.Background(), d.Compares, d.Writes)
	return d.Kind
}

// write commits a write that compares the fencing row.
func (h *fakeHost) write() error {
	return h.table.Txn(context.Background(), []store.Compare{h.Compare()}, []store.Write{{Key: "x"}})
}

func TestTakeover(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	a := newFakeHost(table, "a", time.Hour)
	b := newFakeHost(table, "b", time.Minute)
	is.Equal(a.tick(), Acquire)
	is.Equal(a.tick(), Renew)
	for range 10 { // a renews, so b waits
		is.Equal(b.tick(), Wait)
		is.Equal(a.tick(), Renew)
	}
	is.NoErr(a.write())
	for range 3 { // a is paused
		is.Equal(b.tick(), Wait)
	}
	is.Equal(b.tick(), Acquire)
	is.Equal(b.tick(), Renew)
	is.True(errors.Is(a.write(), store.ErrConflict)) // a resumes and has not read the rows yet
	is.NoErr(b.write())
	is.Equal(a.tick(), Lost)
	is.Equal(a.tick(), Wait)
	epoch, held := b.Held()
	is.True(held)
	is.Equal(epoch, uint64(2))
}

func TestRaceToAcquire(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	a, b := newFakeHost(table, "a", 0), newFakeHost(table, "b", 0)
	rows := a.rows()
	first, _ := a.Decide(rows, time.Second)
	second, _ := b.Decide(rows, time.Second)
	is.NoErr(table.Txn(context.Background(), first.Compares, first.Writes))
	is.True(errors.Is(table.Txn(context.Background(), second.Compares, second.Writes), store.ErrConflict))
	is.Equal(a.tick(), Renew)
	is.Equal(b.tick(), Wait)
}

func TestReleaseFencesOldTenure(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	a, b := newFakeHost(table, "a", 0), newFakeHost(table, "b", 0)
	a.tick()
	a.tick()
	is.NoErr(table.Txn(context.Background(), []store.Compare{a.Compare()}, a.ReleaseWrites()))
	is.True(errors.Is(a.write(), store.ErrConflict))
	is.Equal(b.tick(), Acquire) // without waiting for a term
	b.tick()
	is.True(errors.Is(a.write(), store.ErrConflict))
	is.NoErr(b.write())
}

func ExampleCandidate() {
	ctx := context.Background()
	table := store.NewMemory()
	candidate := New("move/orders", "host-1/7", 3*time.Second)
	for second := range 2 {
		var rows Rows
		rows.Lease, _ = table.Get(ctx, Key("move/orders"))
		rows.Fence, _ = table.Get(ctx, FenceKey("move/orders"))
		decision, _ := candidate.Decide(rows, time.Duration(second)*time.Second)
		_ = table.Txn(ctx, decision.Compares, decision.Writes)
		fmt.Println(decision.Kind)
	}
	// A write of the lease holder compares the fencing row.
	err := table.Txn(ctx, []store.Compare{candidate.Compare()}, []store.Write{{Key: "move/orders"}})
	fmt.Println(err)
	// Output:
	// acquire
	// renew
	// <nil>
}

func TestFenceOfAFormerEraFailsThoughItsVersionIsGivenOutAgain(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	a, b := newFakeHost(table, "a", 0), newFakeHost(table, "b", 0)
	copied := table.Copy()
	is.Equal(a.tick(), Acquire)
	is.Equal(a.tick(), Renew)
	held := a.Compare()
	table.Restore(copied)
	is.Equal(b.tick(), Acquire)
	is.Equal(b.tick(), Renew)
	is.Equal(held.Version.Version(), b.Compare().Version.Version()) // the same number
	is.True(errors.Is(a.write(), store.ErrConflict))
	is.NoErr(b.write())
	is.Equal(a.tick(), Lost)
}

func TestHolderInTheCopyIsTheOnlyOne(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	a, b := newFakeHost(table, "a", 0), newFakeHost(table, "b", 0)
	is.Equal(a.tick(), Acquire)
	is.Equal(a.tick(), Renew)
	copied := table.Copy()
	for range 4 { // a is paused
		b.tick()
	}
	is.Equal(b.tick(), Renew)
	table.Restore(copied)
	is.True(errors.Is(b.write(), store.ErrConflict))
	is.Equal(a.tick(), Renew) // the store shows it as the holder again
	is.Equal(b.tick(), Lost)
	is.NoErr(a.write())
}
