package platformserver

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sassafrasnotch.example/platform/wire"
)

// rowKey identifies a row.
type rowKey struct{ table, part, key string }

// tables keeps rows and the history of their changes. It is safe for concurrent
// use.
type tables struct {
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]wire.Row
	history []wire.Row
	// trimmed is the newest version whose history is gone.
	trimmed uint64
	changed chan struct{} // closed at the next change
}

func newTables() *tables {
	return &tables{started: time.Now(), rows: make(map[rowKey]wire.Row), changed: make(chan struct{})}
}

// nowMs is the steady clock of the store.
func (t *tables) nowMs() int64 { return time.Since(t.started).Milliseconds() + 1 }

// commit applies the transaction, or returns the present rows of its
// expectations if one does not hold.
func (t *tables) commit(tx wire.Transaction) (version uint64, conflict []wire.Row, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok = true
	for _, expected := range tx.Expected {
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
	for _, put := range tx.Puts {
		t.record(wire.Row{Table: put.Table, Part: put.Part, Key: put.Key, Value: slices.Clone(put.Value), Version: t.version})
	}
	for _, removal := range tx.Removals {
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
}

// between returns the rows of a range in the order of their keys; an empty to
// means no end.
func (t *tables) between(table, part, from, to string, limit int) wire.Rows {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := wire.Rows{Rows: []wire.Row{}, Version: t.version, NowMs: t.nowMs()}
	for key, row := range t.rows {
		if key.table == table && key.part == part && key.key >= from && (to == "" || key.key < to) {
			answer.Rows = append(answer.Rows, row)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b wire.Row) int { return cmp.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	return answer
}

// since returns the changes of a table after a version, a channel that is closed
// at the next change, and false if that history is gone.
func (t *tables) since(table string, after uint64) (answer wire.Rows, changed <-chan struct{}, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.trimmed {
		return answer, nil, false
	}
	answer = wire.Rows{Rows: []wire.Row{}, Version: t.version, NowMs: t.nowMs()}
	for _, row := range t.history {
		if row.Table == table && row.Version > after {
			answer.Rows = append(answer.Rows, row)
		}
	}
	return answer, t.changed, true
}

// dropHistory forgets all changes so far and wakes the feeds.
func (t *tables) dropHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.trimmed = t.version
	t.history = nil
	close(t.changed)
	t.changed = make(chan struct{})
}
