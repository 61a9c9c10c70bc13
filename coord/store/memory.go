package store

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
)

// Memory is a Store held in memory. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	era     uint64
	commit  uint64
	rows    map[string]memoryRow
	objects map[string][]byte
}

// memoryRow is a row with the version at which it was written, in whichever era.
type memoryRow struct {
	value   []byte
	version uint64
}

// MemoryCopy is the content of a Memory at one time.
type MemoryCopy struct {
	commit  uint64
	rows    map[string]memoryRow
	objects map[string][]byte
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{era: FirstEra, rows: make(map[string]memoryRow), objects: make(map[string][]byte)}
}

// Copy returns a copy of the present content.
func (m *Memory) Copy() MemoryCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryCopy{m.commit, maps.Clone(m.rows), maps.Clone(m.objects)}
}

// Restore replaces the content by an earlier copy and begins a new era.
func (m *Memory) Restore(from MemoryCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.commit, m.rows, m.objects = from.commit, maps.Clone(from.rows), maps.Clone(from.objects)
}

// position returns the position of a version in the present era, or 0 for an absent row.
func (m *Memory) position(version uint64) Position {
	if version == 0 {
		return 0
	}
	return Position((m.era-FirstEra)<<versionBits | version)
}

// row returns a row under its key.
func (m *Memory) row(key string) Row {
	row := m.rows[key]
	return Row{Key: key, Value: row.value, Version: m.position(row.version)}
}

// Get implements Table.
func (m *Memory) Get(_ context.Context, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.rows[key]; !ok {
		return Row{}, ErrNotFound
	}
	return m.row(key), nil
}

// Scan implements Table.
func (m *Memory) Scan(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []Row
	for key := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, m.row(key))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// Txn implements Table.
func (m *Memory) Txn(_ context.Context, compares []Compare, writes []Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range compares {
		if m.row(c.Key).Version != c.Version {
			return ErrConflict
		}
	}
	m.commit++
	for _, w := range writes {
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = memoryRow{append([]byte(nil), w.Value...), m.commit}
	}
	return nil
}

// PutObject implements Objects.
func (m *Memory) PutObject(_ context.Context, key string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[key] = append([]byte(nil), data...)
	return nil
}

// GetObject implements Objects.
func (m *Memory) GetObject(_ context.Context, key string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.objects[key]
	if !ok {
		return nil, ErrNotFound
	}
	return append([]byte(nil), data...), nil
}

// DeleteObject implements Objects.
func (m *Memory) DeleteObject(_ context.Context, key string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, key)
	return nil
}
