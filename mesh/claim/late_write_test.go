package claim

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/store"
)

// lateTable holds back transactions while late is set: their outcome is unknown to the writer, and
// they take effect when the test applies them, if their condition still holds then.
type lateTable struct {
	*store.Memory
	late bool
	held []func()
}

func (l *lateTable) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) error {
	if !l.late {
		return l.Memory.Txn(ctx, compares, writes)
	}
	l.held = append(l.held, func() { _ = l.Memory.Txn(context.Background(), compares, writes) })
	return store.ErrOutcomeUnknown
}

// TestLateWritesOfTwoAttemptsLeaveTheKeyFree gives up two claims of one key whose writes take
// effect late, one before and one after the releases.
func TestLateWritesOfTwoAttemptsLeaveTheKeyFree(t *testing.T) {
	for _, applied := range []int{0, 1} { // the attempt whose writes take effect before the releases
		is := is.New(t)
		table := &lateTable{Memory: store.NewMemory(), late: true}
		backend := &tableBackend{table: table, writer: newWriter(table, time.Millisecond), now: time.Now}
		attempts := []claim.Request{request("k", "first"), request("k", "second")}
		var heldBy [2][]func()
		for i := range attempts {
			table.held = nil
			_, err := backend.claim(t.Context(), &attempts[i])
			is.True(errors.Is(err, store.ErrOutcomeUnknown))
			heldBy[i] = table.held
		}
		table.late = false
		for _, apply := range heldBy[applied] {
			apply()
		}
		_ = backend.release(t.Context(), &attempts[1-applied])
		_ = backend.release(t.Context(), &attempts[applied])
		for _, apply := range heldBy[1-applied] {
			apply()
		}
		again := request("k", "third")
		decision, err := backend.claim(t.Context(), &again)
		is.NoErr(err)
		is.Equal(decision.Verdict, claim.Granted)
	}
}
