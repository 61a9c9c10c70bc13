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
	headKey         = "head"
	snapshotKey     = "snapshot"
	changePrefix    = "rev/"
	snapshotPrefix  = "snapshot/"
	scanLimit       = 256 // changes read at once
	snapshotSpacing = 64  // revisions between stored snapshots
	keptSnapshots   = 2   // stored snapshots behind the newest
)

// errTrimmed means that the log no longer holds the change that is needed.
var errTrimmed = errors.New("revision: the log was trimmed")

// head is the content of the head row.
type head struct {
	Revision uint64 `json:"revision"`
	Hash     uint64 `json:"hash,string"`
}

// pointer is the content of the snapshot row: the newest stored snapshot.
type pointer struct {
	Revision uint64 `json:"revision"`
	Checksum uint64 `json:"checksum,string"`
}

// EncodedChange is a change with the bytes that the log holds.
type EncodedChange struct {
	Revision uint64
	Value    []byte
}

// Log reads and writes the linear log of changes in the platform. It keeps no
// state of its own, so it is safe for concurrent use.
type Log struct {
	backing store.Store
}

// NewLog returns the log kept in the store.
func NewLog(backing store.Store) *Log { return &Log{backing: backing} }

// Draft is what a writer wants to append: the resources to change, and rows
// that are compared and written in the same transaction.
type Draft struct {
	Ticket   uint64
	Put      []Resource
	Delete   []Ref
	Compares []store.Compare
	Writes   []store.Write
}

// ChangeKey returns the row key of a revision; keys sort by revision.
func ChangeKey(revision uint64) string { return fmt.Sprintf("%s%020d", changePrefix, revision) }

func snapshotObject(revision uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, revision) }

// CatchUp returns the newest state and the changes that led to it from base. If
// base was trimmed from the log, the state comes from a stored snapshot and the
// list starts after it. If a change can't be applied, the state before it comes
// with the error, which wraps ErrCorrupt, ErrGap, ErrHash or ErrInvalid.
func (l *Log) CatchUp(ctx context.Context, base *Snapshot) (*Snapshot, []EncodedChange, error) {
	next, changes, _, err := l.catchUp(ctx, base)
	return next, changes, err
}

func (l *Log) catchUp(ctx context.Context, base *Snapshot) (*Snapshot, []EncodedChange, store.Row, error) {
	row, current, err := l.readHead(ctx)
	if err != nil || current.Revision <= base.revision {
		return base, nil, row, err
	}
	next, changes, err := l.replay(ctx, base, current.Revision)
	if !errors.Is(err, errTrimmed) {
		return next, changes, row, err
	}
	stored, err := l.readSnapshot(ctx, next.revision)
	if err != nil {
		return next, changes, row, err
	}
	next, changes, err = l.replay(ctx, stored, current.Revision)
	if errors.Is(err, errTrimmed) {
		err = missing(next.revision)
	}
	return next, changes, row, err
}

// readHead returns the head row; an absent row is revision 0.
func (l *Log) readHead(ctx context.Context) (store.Row, head, error) {
	var current head
	row, err := l.backing.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: headKey}, current, nil
	}
	if err != nil {
		return row, current, fmt.Errorf("read head: %w", err)
	}
	if err := json.Unmarshal(row.Value, &current); err != nil {
		return row, current, fmt.Errorf("%w: head: %w", ErrCorrupt, err)
	}
	return row, current, nil
}

// replay applies the log's changes from base up to the revision. An error comes
// with the state that was reached.
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

// missing is the error of a log that holds neither the change after a revision
// nor a snapshot behind it.
func missing(revision uint64) error {
	return fmt.Errorf("%w: change %d is missing", ErrCorrupt, revision+1)
}

// readSnapshot returns the newest stored snapshot, which must be newer than the
// revision.
func (l *Log) readSnapshot(ctx context.Context, after uint64) (*Snapshot, error) {
	_, newest, err := l.readPointer(ctx)
	if errors.Is(err, store.ErrNotFound) || err == nil && newest.Revision <= after {
		return nil, missing(after)
	}
	if err != nil {
		return nil, err
	}
	data, err := l.backing.GetObject(ctx, snapshotObject(newest.Revision))
	if err != nil {
		return nil, fmt.Errorf("read snapshot %d: %w", newest.Revision, err)
	}
	if xxhash.Sum64(data) != newest.Checksum {
		return nil, fmt.Errorf("%w: snapshot %d has another checksum", ErrCorrupt, newest.Revision)
	}
	return DecodeSnapshot(data)
}

func (l *Log) readPointer(ctx context.Context) (store.Row, pointer, error) {
	var newest pointer
	row, err := l.backing.Get(ctx, snapshotKey)
	if err != nil {
		return row, newest, fmt.Errorf("read the snapshot row: %w", err)
	}
	if err := json.Unmarshal(row.Value, &newest); err != nil {
		return row, newest, fmt.Errorf("%w: snapshot row: %w", ErrCorrupt, err)
	}
	return row, newest, nil
}

// Append writes one change after the newest revision. The build function sees
// the newest state and returns the draft; it runs again when another writer was
// first. The id names this append: after a lost answer the log is read back,
// and a change with the id counts as written, so nothing is appended twice.
//
// The error wraps store.ErrConflict if a compare of the draft did not hold,
// ErrInvalid if the resulting state would be invalid, store.ErrUnavailable
// if nothing was written, or store.ErrOutcomeUnknown if that can't be told.
func (l *Log) Append(ctx context.Context, base *Snapshot, id string, build func(*Snapshot) (Draft, error)) (*Snapshot, []EncodedChange, error) {
	appender := appender{log: l, id: id, build: build, current: base}
	for {
		done, err := appender.attempt(ctx)
		if done || err != nil {
			return appender.current, appender.changes, err
		}
	}
}

// appender is the state of one Append over its attempts.
type appender struct {
	log     *Log
	id      string
	build   func(*Snapshot) (Draft, error)
	current *Snapshot
	changes []EncodedChange
	// uncertain is set after a write whose answer was lost.
	uncertain bool
}

// attempt reads the newest state and tries one write. It reports false when
// another writer was first or the outcome has to be read back.
func (a *appender) attempt(ctx context.Context) (bool, error) {
	found, headRow, err := a.refresh(ctx)
	if err != nil {
		return false, a.unknown(err)
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
	err = a.log.write(ctx, headRow, next, value, draft)
	switch {
	case err == nil:
		a.current = next
		a.changes = append(a.changes, EncodedChange{Revision: change.Revision, Value: value})
		return true, nil
	case errors.Is(err, store.ErrOutcomeUnknown):
		a.uncertain = true
		return false, ctx.Err()
	case errors.Is(err, store.ErrConflict):
		return false, a.conflict(ctx, headRow, err)
	}
	return false, a.unknown(err)
}

// refresh catches up and looks for the own change among what came.
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

// prepare completes the draft to a change with the hash of its result.
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

// conflict tells a lost race for the head, which is retried, from a compare of
// the draft that did not hold, which is the caller's to handle.
func (a *appender) conflict(ctx context.Context, old store.Row, conflict error) error {
	row, _, err := a.log.readHead(ctx)
	if err != nil {
		return a.unknown(err)
	}
	if row.Version != old.Version {
		return nil
	}
	return conflict
}

// unknown marks an error after a write whose outcome was never read back.
func (a *appender) unknown(err error) error {
	if a.uncertain && !errors.Is(err, store.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, err)
	}
	return err
}

// write commits a change with the rows of its draft.
func (l *Log) write(ctx context.Context, headRow store.Row, next *Snapshot, value []byte, draft Draft) error {
	newHead, err := json.Marshal(head{Revision: next.revision, Hash: next.hash})
	if err != nil {
		return err
	}
	compares := append([]store.Compare{{Key: headKey, Version: headRow.Version}}, draft.Compares...)
	writes := append([]store.Write{
		{Key: headKey, Value: newHead},
		{Key: ChangeKey(next.revision), Value: value},
	}, draft.Writes...)
	if err := l.backing.Txn(ctx, compares, writes); err != nil {
		return fmt.Errorf("append revision %d: %w", next.revision, err)
	}
	return nil
}
