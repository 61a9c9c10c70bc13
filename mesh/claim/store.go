package claim

import (
	"context"
	"errors"
	"time"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/store"
)

// maxRounds bounds the rounds of one claim; a round is a write and a read of the row.
const maxRounds = 4

// Errors of operations on a claim's row.
var (
	// errContended means that maxRounds rounds gave no verdict.
	errContended = errors.New("claim: the row kept changing")
	// errNotHeld means that the row belongs to another attempt.
	errNotHeld = errors.New("claim: row belongs to another attempt")
	// errAbsent means that there is no row.
	errAbsent = errors.New("claim: no row")
	// errWithdrawn means that the attempt was released before.
	errWithdrawn = errors.New("claim: attempt was released")
)

// backend carries out an operation once; Claimer retries records and releases. An error that wraps
// store.ErrUnavailable means that the operation certainly had no effect.
type backend interface {
	claim(context.Context, *claim.Request) (claim.Decision, error)
	record(context.Context, *claim.Request, *claim.Outcome) error
	release(context.Context, *claim.Request) error
}

// tableBackend is the backend that writes to the store's table.
type tableBackend struct {
	table  store.Table
	writer *writer
	now    func() time.Time
}

// claim writes the row if it is absent or expired, and otherwise decides by the stored row. After
// a write of unknown outcome it reads the row back. It may write the same attempt again, since
// claim.Decide recognizes the attempt's own row.
func (b *tableBackend) claim(ctx context.Context, request *claim.Request) (claim.Decision, error) {
	var previous *claim.Row    // the row to replace; nil means absent
	var version store.Position // of previous; 0 means absent
	unknown := false           // an earlier write may have taken effect
	for range maxRounds {
		err := b.put(ctx, request, claim.NewRow(request, previous, b.now()), version)
		if err == nil {
			return claim.Decision{Verdict: claim.Granted}, nil
		}
		if !isConflict(err) && !isUnknown(err) {
			return claim.Decision{}, asUnknown(err, unknown)
		}
		unknown = unknown || isUnknown(err)
		row, stored, err := b.read(ctx, request.RowKey())
		if err != nil {
			return claim.Decision{}, asUnknown(err, unknown)
		}
		previous, version = row, stored
		if row == nil {
			continue
		}
		switch decision := claim.Decide(row, request, b.now()); decision.Verdict {
		case claim.Expired:
		case claim.Withdrawn:
			return claim.Decision{}, errWithdrawn
		default:
			return decision, nil
		}
	}
	return claim.Decision{}, asUnknown(errContended, unknown)
}

// asUnknown returns an error that wraps only store.ErrOutcomeUnknown if an earlier step may have
// taken effect, even where the last step certainly had none. Otherwise it returns err.
func asUnknown(err error, unknown bool) error {
	if unknown {
		return errors.Join(store.ErrOutcomeUnknown, errors.New(err.Error()))
	}
	return err
}

// record writes the outcome into the attempt's own row, unless the row has one.
func (b *tableBackend) record(ctx context.Context, request *claim.Request, outcome *claim.Outcome) error {
	row, version, err := b.readOwn(ctx, request)
	if err != nil || row.Outcome != nil {
		return err
	}
	row.Outcome = outcome
	return b.put(ctx, request, row, version)
}

// release ensures that the attempt does not hold the claim, now or later (see claim.Release).
func (b *tableBackend) release(ctx context.Context, request *claim.Request) error {
	row, version, err := b.read(ctx, request.RowKey())
	if err != nil {
		return err
	}
	released := claim.Release(row, request, b.now())
	if released == nil {
		return nil
	}
	return b.put(ctx, request, released, version)
}

// readOwn returns the attempt's own row with its version. The error is errAbsent if there is no row
// and errNotHeld if the row belongs to another attempt.
func (b *tableBackend) readOwn(ctx context.Context, request *claim.Request) (*claim.Row, store.Position, error) {
	row, version, err := b.read(ctx, request.RowKey())
	switch {
	case err != nil:
		return nil, 0, err
	case row == nil:
		return nil, 0, errAbsent
	case row.Attempt != request.Attempt:
		return nil, 0, errNotHeld
	}
	return row, version, nil
}

func (b *tableBackend) put(ctx context.Context, request *claim.Request, row *claim.Row, version store.Position) error {
	value, err := row.Encode()
	if err != nil {
		return err
	}
	return b.write(ctx, version, store.Write{Key: request.RowKey(), Value: value})
}

// write submits a write and waits for its result. If the context ends first, the outcome is unknown.
func (b *tableBackend) write(ctx context.Context, version store.Position, write store.Write) error {
	select {
	case err := <-b.writer.submit(version, write):
		return err
	case <-ctx.Done():
		return errors.Join(store.ErrOutcomeUnknown, ctx.Err())
	}
}

// read returns a claim's row with its version, or nil and 0 if there is no row.
func (b *tableBackend) read(ctx context.Context, key string) (*claim.Row, store.Position, error) {
	stored, err := b.table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	row, err := claim.DecodeRow(stored.Value)
	return row, stored.Version, err
}

func isConflict(err error) bool { return errors.Is(err, store.ErrConflict) }

func isUnknown(err error) bool { return errors.Is(err, store.ErrOutcomeUnknown) }
