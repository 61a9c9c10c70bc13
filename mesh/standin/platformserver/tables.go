package platformserver

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/platform/wire"
)

// rowKey identifies a row.
type rowKey struct{ table, part, key string }

// tables stores rows and the history of their changes. It is safe for concurrent use.
type tables struct {
	started time.Time

	mu      sync.Mutex
	era     uint64
	version uint64
	rows    map[rowKey]wire.Row
	history []wire.Row
	// written holds all changes of the present history of the store, dropped ones included.
	written []writtenRow
	// trimmed is the latest version up to which the history is dropped.
	trimmed uint64
	changed chan struct{} // closed at the next change
}

// writtenRow is a change with its time.
type writtenRow struct {
	at  time.Time
	row wire.Row
}

func newTables() *tables {
	return &tables{started: time.Now(), era: store.FirstEra, rows: make(map[rowKey]wire.Row), changed: make(chan struct{})}
}

// nowMs returns the store's monotonic clock in milliseconds.
func (t *tables) nowMs() int64 { return time.Since(t.started).Milliseconds() + 1 }

// commit applies the transaction. If an expected version does not match, it changes nothing and
// returns the current rows of all expectations.
func (t *tables) commit(transaction wire.Transaction) (version uint64, conflict []wire.Row, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok = true
	for _, expected := range transaction.Expected {
		row, present := t.rows[rowKey{expected.Table, expected.Part, expected.Key}]
		if present {
			conflict = append(conflict, row)
		}
		ok = ok && row.Version == expected.Version
	}
	if !ok {
		return t.version, conflict, false
	}
	t.version++
	for _, put := range transaction.Puts {
		t.record(wire.Row{Table: put.Table, Part: put.Part, Key: put.Key, Value: slices.Clone(put.Value), Version: t.version})
	}
	for _, removal := range transaction.Removals {
		t.record(wire.Row{Table: removal.Table, Part: removal.Part, Key: removal.Key, Version: t.version, Deleted: true})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil, true
}

func (t *tables) record(row wire.Row) {
	key := rowKey{row.Table, row.Part, row.Key}
	if row.Deleted {
		if _, present := t.rows[key]; !present {
			return
		}
		delete(t.rows, key)
	} else {
		t.rows[key] = row
	}
	t.history = append(t.history, row)
	t.written = append(t.written, writtenRow{time.Now(), row})
}

// restore replaces the content by that of an earlier time and begins a new era, in which versions go on
// from the earlier one. The rows of one table are then written again as they were last.
func (t *tables) restore(to time.Time, writtenAgain string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, copied := t.rows, t.written
	t.era++
	t.version, t.rows, t.history, t.written = 0, make(map[rowKey]wire.Row), nil, nil
	for _, change := range copied {
		if change.at.After(to) {
			break
		}
		t.version = change.row.Version
		t.record(change.row)
		t.written[len(t.written)-1].at = change.at
	}
	t.history, t.trimmed = nil, t.version
	for key, row := range last {
		if present := t.rows[key]; key.table == writtenAgain && !bytes.Equal(present.Value, row.Value) {
			t.version++
			row.Version = t.version
			t.record(row)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// currentEra returns the era of the store.
func (t *tables) currentEra() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// rowsInRange returns at most limit rows of a range of keys in ascending order; an empty to
// means no upper bound.
func (t *tables) rowsInRange(table, part, from, to string, limit int) wire.Rows {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := wire.Rows{Rows: []wire.Row{}, Version: t.version, NowMs: t.nowMs()}
	for key, row := range t.rows {
		if key.table == table && key.part == part && key.key >= from && (to == "" || key.key < to) {
			result.Rows = append(result.Rows, row)
		}
	}
	slices.SortFunc(result.Rows, func(a, b wire.Row) int { return cmp.Compare(a.Key, b.Key) })
	if len(result.Rows) > limit {
		result.Rows, result.HasMore = result.Rows[:limit], true
	}
	return result
}

// changesSince returns the changes of a table after a version and a channel that is closed at
// the next change, or false if that part of the history is dropped.
func (t *tables) changesSince(table string, after uint64) (result wire.Rows, changed <-chan struct{}, available bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.trimmed || after > t.version {
		return result, nil, false
	}
	result = wire.Rows{Rows: []wire.Row{}, Version: t.version, NowMs: t.nowMs()}
	for _, row := range t.history {
		if row.Table == table && row.Version > after {
			result.Rows = append(result.Rows, row)
		}
	}
	return result, t.changed, true
}

// dropHistory drops the history of all changes so far and wakes the waiting feeds.
func (t *tables) dropHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.trimmed = t.version
	t.history = nil
	close(t.changed)
	t.changed = make(chan struct{})
}
