package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"sassafrasnotch.example/coord/store"
)

const (
	latestKey          = "head"      // row of the latest revision
	snapshotPointerKey = "snapshot"  // row of the latest stored snapshot
	changePrefix       = "rev/"      // rows of changes
	snapshotPrefix     = "snapshot/" // objects of stored snapshots
	scanLimit          = 256         // rows read by one scan
	snapshotSpacing    = 64          // least number of revisions between stored snapshots
	keptSnapshots      = 2           // stored snapshots kept besides the latest
)

// errTrimmed means that the log does not hold the next change, usually because it was trimmed.
var errTrimmed = errors.New("revision: the next change was trimmed from the log")

// latestRecord is the content of the row of the latest revision.
type latestRecord struct {
	Revision uint64 `json:"revision"`
	Hash     uint64 `json:"hash,string"`
}

// snapshotPointer is the content of the snapshot row: the latest stored snapshot.
type snapshotPointer struct {
	Revision uint64 `json:"revision"`
	Checksum uint64 `json:"checksum,string"`
}

// EncodedChange is a change with the bytes that the log holds.
type EncodedChange struct {
	Revision uint64
	Value    []byte // as Change.Encode returns it
}

// Log reads and writes the linear log of changes in the store. It holds no state of its own, so
// it is safe for concurrent use.
type Log struct {
	backing store.Store
}

// NewLog returns the log that the store holds.
func NewLog(backing store.Store) *Log { return &Log{backing: backing} }

// Draft is the content of a change to append: the resources to put and delete, and further rows
// that are compared and written in the same transaction.
type Draft struct {
	Ticket   uint64
	Put      []Resource
	Delete   []Ref
	Compares []store.Compare
	Writes   []store.Write
}

// ChangeKey returns the row key of the change that produced a revision. Keys sort by revision.
func ChangeKey(revision uint64) string { return fmt.Sprintf("%s%020d", changePrefix, revision) }

// snapshotObjectKey returns the key of the object that holds the snapshot of a revision.
func snapshotObjectKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}

// CatchUp returns the latest state and the changes that lead to it from base. If the changes
// after base were trimmed from the log, replay starts at a stored snapshot and the list starts
// after it. If a change can't be applied, CatchUp returns the state before it and an error that
// wraps ErrCorrupt, ErrGap, ErrHash or ErrInvalid.
func (l *Log) CatchUp(ctx context.Context, base *Snapshot) (*Snapshot, []EncodedChange, error) {
	next, changes, _, err := l.catchUp(ctx, base)
	return next, changes, err
}

// catchUp is CatchUp that also returns the row of the latest revision.
func (l *Log) catchUp(ctx context.Context, base *Snapshot) (*Snapshot, []EncodedChange, store.Row, error) {
	row, latest, err := l.readLatest(ctx)
	if err != nil || latest.Revision <= base.revision {
		return base, nil, row, err
	}
	next, changes, err := l.replay(ctx, base, latest.Revision)
	if !errors.Is(err, errTrimmed) {
		return next, changes, row, err
	}
	stored, err := l.readSnapshot(ctx, next.revision)
	if err != nil {
		return next, changes, row, err
	}
	next, changes, err = l.replay(ctx, stored, latest.Revision)
	if errors.Is(err, errTrimmed) {
		err = missingChangeError(next.revision)
	}
	return next, changes, row, err
}

// readLatest returns the row of the latest revision and its content; an absent row means
// revision 0.
func (l *Log) readLatest(ctx context.Context) (store.Row, latestRecord, error) {
	var latest latestRecord
	row, err := l.backing.Get(ctx, latestKey)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: latestKey}, latest, nil
	}
	if err != nil {
		return row, latest, fmt.Errorf("read the latest revision: %w", err)
	}
	if err := json.Unmarshal(row.Value, &latest); err != nil {
		return row, latest, fmt.Errorf("%w: row of the latest revision: %w", ErrCorrupt, err)
	}
	return row, latest, nil
}

// replay applies the log's changes after base up to a revision. On an error it also returns the
// state reached and the changes applied.
func (l *Log) replay(ctx context.Context, base *Snapshot, upTo uint64) (*Snapshot, []EncodedChange, error) {
	var changes []EncodedChange
	for base.revision < upTo {
		rows, err := l.backing.Scan(ctx, changePrefix, ChangeKey(base.revision), scanLimit)
		if err != nil {
			return base, changes, fmt.Errorf("read changes after %d: %w", base.revision, err)
		}
		if len(rows) == 0 {
			return base, changes, errTrimmed
		}
		for _, row := range rows {
			if row.Key != ChangeKey(base.revision+1) {
				return base, changes, errTrimmed
			}
			change, err := DecodeChange(row.Value)
			if err != nil {
				return base, changes, err
			}
			next, err := base.Apply(change)
			if err != nil {
				return base, changes, err
			}
			base = next
			changes = append(changes, EncodedChange{Revision: change.Revision, Value: row.Value})
		}
	}
	return base, changes, nil
}

// missingChangeError is the error for a log that holds neither the change after a revision nor
// a newer snapshot.
func missingChangeError(revision uint64) error {
	return fmt.Errorf("%w: change %d is missing", ErrCorrupt, revision+1)
}

// readSnapshot returns the latest stored snapshot, which must be newer than the given revision.
func (l *Log) readSnapshot(ctx context.Context, after uint64) (*Snapshot, error) {
	_, newest, err := l.readSnapshotPointer(ctx)
	if errors.Is(err, store.ErrNotFound) || err == nil && newest.Revision <= after {
		return nil, missingChangeError(after)
	}
	if err != nil {
		return nil, err
	}
	data, err := l.backing.GetObject(ctx, snapshotObjectKey(newest.Revision))
	if err != nil {
		return nil, fmt.Errorf("read snapshot %d: %w", newest.Revision, err)
	}
	if xxhash.Sum64(data) != newest.Checksum {
		return nil, fmt.Errorf("%w: snapshot %d does not match the checksum in the snapshot row", ErrCorrupt, newest.Revision)
	}
	return DecodeSnapshot(data)
}

// readSnapshotPointer returns the snapshot row and its content. The error wraps
// store.ErrNotFound if no snapshot was stored yet.
func (l *Log) readSnapshotPointer(ctx context.Context) (store.Row, snapshotPointer, error) {
	var newest snapshotPointer
	row, err := l.backing.Get(ctx, snapshotPointerKey)
	if err != nil {
		return row, newest, fmt.Errorf("read the snapshot row: %w", err)
	}
	if err := json.Unmarshal(row.Value, &newest); err != nil {
		return row, newest, fmt.Errorf("%w: snapshot row: %w", ErrCorrupt, err)
	}
	return row, newest, nil
}

// Append writes one change after the latest revision. The build function receives the latest
// state and returns the draft; it runs again if another writer appends first. The id identifies
// this append: after a lost response the log is read back, and a change with the id counts as
// written, so that nothing is appended twice. Append returns the resulting state and the changes
// after base.
//
// The error wraps store.ErrConflict if a compare of the draft failed, ErrInvalid if the resulting
// state would be invalid, store.ErrUnavailable if nothing was written, or
// store.ErrOutcomeUnknown if it is not known whether the change was written.
func (l *Log) Append(ctx context.Context, base *Snapshot, id string, build func(*Snapshot) (Draft, error)) (*Snapshot, []EncodedChange, error) {
	appender := appender{log: l, id: id, build: build, current: base}
	for {
		done, err := appender.attempt(ctx)
		if done || err != nil {
			return appender.current, appender.changes, err
		}
	}
}

// appender is the state of one Append across its attempts.
type appender struct {
	log     *Log
	id      string
	build   func(*Snapshot) (Draft, error)
	current *Snapshot
	changes []EncodedChange
	// uncertain is set after a write whose response was lost.
	uncertain bool
}

// attempt reads the latest state and writes the change once. It reports false if another attempt
// is needed, because another writer was first or the outcome has to be read back.
func (a *appender) attempt(ctx context.Context) (bool, error) {
	found, latestRow, err := a.refresh(ctx)
	if err != nil {
		return false, a.markUncertain(err)
	}
	if found {
		return true, nil
	}
	draft, err := a.build(a.current)
	if err != nil {
		return false, err
	}
	change, next, err := a.prepare(draft)
	if err != nil {
		return false, err
	}
	value, err := change.Encode()
	if err != nil {
		return false, fmt.Errorf("encode change %d: %w", change.Revision, err)
	}
	err = a.log.write(ctx, latestRow, next, value, draft)
	switch {
	case err == nil:
		a.current = next
		a.changes = append(a.changes, EncodedChange{Revision: change.Revision, Value: value})
		return true, nil
	case errors.Is(err, store.ErrOutcomeUnknown):
		a.uncertain = true
		return false, ctx.Err()
	case errors.Is(err, store.ErrConflict):
		return false, a.resolveConflict(ctx, latestRow, err)
	}
	return false, a.markUncertain(err)
}

// refresh catches up with the log and reports whether this append's change is among the new
// changes.
func (a *appender) refresh(ctx context.Context) (bool, store.Row, error) {
	next, changes, row, err := a.log.catchUp(ctx, a.current)
	if err != nil {
		return false, row, err
	}
	a.current = next
	a.changes = append(a.changes, changes...)
	for _, encoded := range changes {
		change, err := DecodeChange(encoded.Value)
		if err != nil {
			return false, row, err
		}
		if change.ID == a.id {
			return true, row, nil
		}
	}
	return false, row, nil
}

// prepare builds the change from the draft, with the hash of the resulting state.
func (a *appender) prepare(draft Draft) (*Change, *Snapshot, error) {
	change := &Change{
		Revision: a.current.revision + 1,
		ID:       a.id,
		Ticket:   draft.Ticket,
		Put:      draft.Put,
		Delete:   draft.Delete,
	}
	next, err := a.current.Preview(change)
	if err != nil {
		return nil, nil, err
	}
	change.StateHash = next.hash
	return change, next, nil
}

// resolveConflict returns nil if another writer appended first, which Append retries, or the
// conflict if a compare of the draft failed, which the caller handles.
func (a *appender) resolveConflict(ctx context.Context, old store.Row, conflict error) error {
	row, _, err := a.log.readLatest(ctx)
	if err != nil {
		return a.markUncertain(err)
	}
	if row.Version != old.Version {
		return nil
	}
	return conflict
}

// markUncertain wraps an error with store.ErrOutcomeUnknown if an earlier write was not read back.
func (a *appender) markUncertain(err error) error {
	if a.uncertain && !errors.Is(err, store.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, err)
	}
	return err
}

// write commits a change and the rows of its draft in one transaction.
func (l *Log) write(ctx context.Context, latestRow store.Row, next *Snapshot, value []byte, draft Draft) error {
	record, err := json.Marshal(latestRecord{Revision: next.revision, Hash: next.hash})
	if err != nil {
		return err
	}
	compares := append([]store.Compare{{Key: latestKey, Version: latestRow.Version}}, draft.Compares...)
	writes := append([]store.Write{
		{Key: latestKey, Value: record},
		{Key: ChangeKey(next.revision), Value: value},
	}, draft.Writes...)
	if err := l.backing.Txn(ctx, compares, writes); err != nil {
		return fmt.Errorf("append revision %d: %w", next.revision, err)
	}
	return nil
}
