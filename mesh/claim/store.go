package claim

import (
	"context"
	"errors"
	"time"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/store"
)

// maxRounds bounds the write and read back rounds of one claim.
const maxRounds = 4

// Errors of operations on a claim's row.
var (
	errContended = errors.New("claim: the row kept changing")
	// errNotHeld means that the row belongs to another attempt.
	errNotHeld = errors.New("claim: the row belongs to another attempt")
	// errAbsent means that there is no row.
	errAbsent = errors.New("claim: no row")
)

// backend makes one try of an operation. An error that wraps
// store.ErrUnavailable means that it certainly had no effect.
type backend interface {
	claim(context.Context, *claim.Request) (claim.Decision, error)
	record(context.Context, *claim.Request, *claim.Outcome) error
	release(context.Context, *claim.Request) error
}

// tableBackend is the backend that writes to the platform's table.
type tableBackend struct {
	table  store.Table
	writer *writer
	now    func() time.Time
}

// claim writes the row where it is absent or expired, and otherwise judges by
// what it finds. A write whose outcome is unknown is followed by a read; the
// same attempt may be written again, since it recognises itself.
func (s *tableBackend) claim(ctx context.Context, request *claim.Request) (claim.Decision, error) {
	var version uint64 // of the row to replace; 0 is absent
	uncertain := false // an earlier write may have taken effect
	for range maxRounds {
		err := s.put(ctx, request, claim.NewRow(request, s.now()), version)
		if err == nil {
			return claim.Decision{Verdict: claim.Granted}, nil
		}
		if !isConflict(err) && !isUnknown(err) {
			return claim.Decision{}, doubt(err, uncertain)
		}
		uncertain = uncertain || isUnknown(err)
		row, stored, err := s.read(ctx, request.RowKey())
		if err != nil {
			return claim.Decision{}, doubt(err, uncertain)
		}
		version = stored
		if row == nil {
			continue
		}
		decision := claim.Decide(row, request, s.now())
		if decision.Verdict != claim.Expired {
			return decision, nil
		}
	}
	return claim.Decision{}, doubt(errContended, uncertain)
}

// doubt hides that the last step certainly had no effect where an earlier one
// may have had.
func doubt(err error, uncertain bool) error {
	if uncertain {
		return errors.Join(store.ErrOutcomeUnknown, errors.New(err.Error()))
	}
	return err
}

// record writes the outcome into the attempt's own row.
func (s *tableBackend) record(ctx context.Context, request *claim.Request, outcome *claim.Outcome) error {
	row, version, err := s.held(ctx, request)
	if err != nil || row.Outcome != nil {
		return err
	}
	row.Outcome = outcome
	return s.put(ctx, request, row, version)
}

// release deletes the attempt's own row.
func (s *tableBackend) release(ctx context.Context, request *claim.Request) error {
	row, version, err := s.held(ctx, request)
	if err != nil || row.Outcome != nil {
		return err
	}
	return s.write(ctx, version, store.Write{Key: request.RowKey(), Delete: true})
}

// held reads the attempt's own row.
func (s *tableBackend) held(ctx context.Context, request *claim.Request) (*claim.Row, uint64, error) {
	row, version, err := s.read(ctx, request.RowKey())
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

func (s *tableBackend) put(ctx context.Context, request *claim.Request, row *claim.Row, version uint64) error {
	value, err := row.Encode()
	if err != nil {
		return err
	}
	return s.write(ctx, version, store.Write{Key: request.RowKey(), Value: value})
}

// write waits for a write. When the context ends first, its outcome is unknown.
func (s *tableBackend) write(ctx context.Context, version uint64, write store.Write) error {
	select {
	case err := <-s.writer.submit(version, write):
		return err
	case <-ctx.Done():
		return errors.Join(store.ErrOutcomeUnknown, ctx.Err())
	}
}

// read returns a claim's row with its version; no row and 0 if it is absent.
func (s *tableBackend) read(ctx context.Context, key string) (*claim.Row, uint64, error) {
	stored, err := s.table.Get(ctx, key)
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
