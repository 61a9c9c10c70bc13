package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"sassafrasnotch.example/coord/store"
)

// Compact stores the snapshot and trims the log behind the oldest snapshot that
// is kept, if enough revisions passed since the last one. Any host may call it
// at any time; a host that loses the race does nothing.
func (l *Log) Compact(ctx context.Context, snapshot *Snapshot) error {
	row, newest, err := l.readPointer(ctx)
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

// storeSnapshot writes the object first, then points the snapshot row at it.
func (l *Log) storeSnapshot(ctx context.Context, version uint64, snapshot *Snapshot) error {
	data, err := snapshot.Encode()
	if err != nil {
		return err
	}
	if err := l.backing.PutObject(ctx, snapshotObject(snapshot.revision), data); err != nil {
		return fmt.Errorf("store snapshot %d: %w", snapshot.revision, err)
	}
	value, err := json.Marshal(pointer{Revision: snapshot.revision, Checksum: xxhash.Sum64(data)})
	if err != nil {
		return err
	}
	err = l.backing.Txn(ctx,
		[]store.Compare{{Key: snapshotKey, Version: version}},
		[]store.Write{{Key: snapshotKey, Value: value}})
	if err != nil {
		return fmt.Errorf("point at snapshot %d: %w", snapshot.revision, err)
	}
	return nil
}

// trim deletes the changes that lie more than the kept snapshots behind.
func (l *Log) trim(ctx context.Context, newest uint64) error {
	const kept = keptSnapshots * snapshotSpacing
	if newest <= kept {
		return nil
	}
	floor := newest - kept
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

// trimSnapshots deletes the snapshot objects that no reader needs any more.
// Compaction happens at every snapshotSpacing revisions or somewhat later, so
// only a bounded range of revisions can hold one.
func (l *Log) trimSnapshots(ctx context.Context, floor uint64) error {
	first := uint64(1)
	if floor > snapshotSpacing {
		first = floor - snapshotSpacing
	}
	for revision := first; revision <= floor; revision++ {
		if err := l.backing.DeleteObject(ctx, snapshotObject(revision)); err != nil {
			return fmt.Errorf("delete snapshot %d: %w", revision, err)
		}
	}
	return nil
}
