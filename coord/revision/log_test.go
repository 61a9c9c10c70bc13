package revision

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/store"
)

// faultyStore injects faults into the first transactions, in the order of faults.
type faultyStore struct {
	*store.Memory
	mu     sync.Mutex
	faults []txnFault
}

// txnFault is the fault of one transaction: the error that it returns and whether it is applied
// nevertheless. Without an error the transaction is executed normally.
type txnFault struct {
	applied bool
	err     error
}

func (f *faultyStore) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) error {
	f.mu.Lock()
	var fault txnFault
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	f.mu.Unlock()
	if fault.err == nil || fault.applied {
		if err := f.Memory.Txn(ctx, compares, writes); err != nil {
			return err
		}
	}
	return fault.err
}

// TestAppendAfterLostAnswers checks that an append is written at most once if responses of the
// store are lost, and that its error states whether the outcome is known.
func TestAppendAfterLostAnswers(t *testing.T) {
	lost := store.ErrOutcomeUnknown
	tests := []struct {
		name     string
		faults   []txnFault
		revision uint64
		want     error
	}{
		{"no fault", nil, 2, nil},
		{"response lost after the write", []txnFault{{applied: true, err: lost}}, 2, nil},
		{"request lost before the write", []txnFault{{err: lost}}, 2, nil},
		{"lost twice, written at the second attempt", []txnFault{{err: lost}, {applied: true, err: lost}}, 2, nil},
		{"store unavailable", []txnFault{{err: store.ErrUnavailable}}, 1, store.ErrUnavailable},
		{"lost before the write, then store unavailable", []txnFault{{err: lost}, {err: store.ErrUnavailable}}, 1, store.ErrOutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			memory, _, state, _ := newTestLog(t, 0)
			log := NewLog(&faultyStore{Memory: memory, faults: test.faults})
			_, _, err := log.Append(context.Background(), state, "move", putResources(2, counterSplit(100)))
			is.True(errors.Is(err, test.want))
			newest, _, err := NewLog(memory).CatchUp(context.Background(), Empty())
			is.NoErr(err)
			is.Equal(newest.Revision(), test.revision) // one append adds one revision, whatever the number of attempts
		})
	}
}

func TestRacingWritersAppendEachOnce(t *testing.T) {
	is := is.New(t)
	const writers = 8
	_, log, state, _ := newTestLog(t, 0)
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() {
			if _, _, err := log.Append(context.Background(), state, fmt.Sprint(i), putResources(uint64(i+2), counterSplit(i))); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	newest, _, err := log.CatchUp(context.Background(), Empty())
	is.NoErr(err)
	is.Equal(newest.Revision(), uint64(1+writers))
}

// TestAppendReportsTheDraftsConflict checks that a failed compare of the draft is returned and not
// retried like a conflict on the latest revision.
func TestAppendReportsTheDraftsConflict(t *testing.T) {
	is := is.New(t)
	_, log, state, _ := newTestLog(t, 0)
	_, _, err := log.Append(context.Background(), state, "x", func(*Snapshot) (Draft, error) {
		return Draft{Put: []Resource{counterSplit(1)}, Compares: []store.Compare{{Key: "lease/x", Version: 9}}}, nil
	})
	is.True(errors.Is(err, store.ErrConflict))
}

func TestCatchUpFromATrimmedLog(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	backing, log, state, _ := newTestLog(t, 4*snapshotSpacing)
	is.NoErr(log.Compact(ctx, state))
	rows, err := backing.Scan(ctx, changePrefix, "", 0)
	is.NoErr(err)
	is.Equal(len(rows), keptSnapshots*snapshotSpacing) // older changes are deleted
	newest, _, err := log.CatchUp(ctx, Empty())
	is.NoErr(err)
	is.Equal(newest.Hash(), state.Hash())
}

// TestCatchUpRefusesDamage checks that a damaged or missing change and all later ones are not
// applied, and that the changes before it are.
func TestCatchUpRefusesDamage(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name   string
		damage func(is *is.I, backing *store.Memory)
		want   error
	}{
		{"truncated change", func(is *is.I, backing *store.Memory) {
			row, err := backing.Get(ctx, ChangeKey(3))
			is.NoErr(err)
			is.NoErr(backing.Txn(ctx, nil, []store.Write{{Key: row.Key, Value: row.Value[:len(row.Value)/2]}}))
		}, ErrCorrupt},
		{"change with a wrong state hash", func(is *is.I, backing *store.Memory) {
			change := &Change{Revision: 3, Ticket: 3, Put: []Resource{counterSplit(5000)}, StateHash: 1}
			value, err := change.Encode()
			is.NoErr(err)
			is.NoErr(backing.Txn(ctx, nil, []store.Write{{Key: ChangeKey(3), Value: value}}))
		}, ErrHash},
		{"change with a dangling reference", func(is *is.I, backing *store.Memory) {
			split := &Split{Service: "counter", Shares: []Share{{Version: "v9", Weight: FullShare}}}
			change := &Change{Revision: 3, Put: []Resource{{Split: split}}}
			value, err := change.Encode()
			is.NoErr(err)
			is.NoErr(backing.Txn(ctx, nil, []store.Write{{Key: ChangeKey(3), Value: value}}))
		}, ErrInvalid},
		{"absent change", func(is *is.I, backing *store.Memory) {
			is.NoErr(backing.Txn(ctx, nil, []store.Write{{Key: ChangeKey(3), Delete: true}}))
		}, ErrCorrupt},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backing, log, _, changes := newTestLog(t, 4)
			second := Empty()
			for _, encoded := range changes[:2] {
				change, err := DecodeChange(encoded.Value)
				is.NoErr(err)
				second, err = second.Apply(change)
				is.NoErr(err)
			}
			test.damage(is, backing)
			next, read, err := log.CatchUp(ctx, second)
			is.True(errors.Is(err, test.want))
			is.Equal(next, second) // the damaged change is not applied
			is.Equal(len(read), 0)
			next, read, err = log.CatchUp(ctx, Empty())
			is.True(errors.Is(err, test.want))
			is.Equal(next.Hash(), second.Hash()) // the changes before it are applied
			is.Equal(read, changes[:2])
		})
	}
}
