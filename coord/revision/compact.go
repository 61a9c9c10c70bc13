package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"sassafrasnotch.example/coord/store"
)

// Compact stores the snapshot and trims the log if the snapshot is at least snapshotSpacing
// revisions newer than the latest stored one. Changes and stored snapshots that are at least
// keptSnapshots * snapshotSpacing revisions older than the snapshot are deleted. Any host may
// call it at any time: if another host updates the snapshot row first, the error wraps
// store.ErrConflict and the log is not trimmed.
func (l *Log) Compact(ctx context.Context, snapshot *Snapshot) error {
	row, newest, err := l.readSnapshotPointer(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if snapshot.revision < newest.Revision+snapshotSpacing {
		return nil
	}
	if err := l.storeSnapshot(ctx, row.Version, snapshot); err != nil {
		return err
	}
	return l.trim(ctx, snapshot.revision)
}

// storeSnapshot writes the snapshot object first and then updates the snapshot row, which must
// still be at the given version, so that the row never refers to a missing object.
func (l *Log) storeSnapshot(ctx context.Context, version store.Position, snapshot *Snapshot) error {
	data, err := snapshot.Encode()
	if err != nil {
		return err
	}
	if err := l.backing.PutObject(ctx, snapshotObjectKey(snapshot.revision), data); err != nil {
		return fmt.Errorf("store snapshot %d: %w", snapshot.revision, err)
	}
	value, err := json.Marshal(snapshotPointer{Revision: snapshot.revision, Checksum: xxhash.Sum64(data)})
	if err != nil {
		return err
	}
	err = l.backing.Txn(ctx,
		[]store.Compare{{Key: snapshotPointerKey, Version: version}},
		[]store.Write{{Key: snapshotPointerKey, Value: value}})
	if err != nil {
		return fmt.Errorf("update the snapshot row to revision %d: %w", snapshot.revision, err)
	}
	return nil
}

// trim deletes the changes and snapshots that are at least keptSnapshots * snapshotSpacing
// revisions older than the latest snapshot.
func (l *Log) trim(ctx context.Context, newest uint64) error {
	const keptRevisions = keptSnapshots * snapshotSpacing
	if newest <= keptRevisions {
		return nil
	}
	floor := newest - keptRevisions
	for {
		rows, err := l.backing.Scan(ctx, changePrefix, "", scanLimit)
		if err != nil {
			return fmt.Errorf("trim the log: %w", err)
		}
		var writes []store.Write
		for _, row := range rows {
			if row.Key <= ChangeKey(floor) {
				writes = append(writes, store.Write{Key: row.Key, Delete: true})
			}
		}
		if len(writes) == 0 {
			break
		}
		if err := l.backing.Txn(ctx, nil, writes); err != nil {
			return fmt.Errorf("trim the log: %w", err)
		}
	}
	return l.trimSnapshots(ctx, floor)
}

// trimSnapshots deletes the snapshot objects that no host needs any more. It tries each revision
// of the snapshotSpacing before the floor, since the revisions at which a host compacted are not
// recorded: compaction runs every snapshotSpacing revisions or somewhat later.
func (l *Log) trimSnapshots(ctx context.Context, floor uint64) error {
	first := uint64(1)
	if floor > snapshotSpacing {
		first = floor - snapshotSpacing
	}
	for revision := first; revision <= floor; revision++ {
		if err := l.backing.DeleteObject(ctx, snapshotObjectKey(revision)); err != nil {
			return fmt.Errorf("delete snapshot %d: %w", revision, err)
		}
	}
	return nil
}
