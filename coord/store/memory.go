package store

import (
	"context"
	"sort"
	"strings"
	"sync"
)

// Memory is a Store held in memory. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	commit  uint64
	rows    map[string]Row
	objects map[string][]byte
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{rows: make(map[string]Row), objects: make(map[string][]byte)}
}

// Get implements Table.
func (m *Memory) Get(_ context.Context, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return Row{}, ErrNotFound
	}
	return row, nil
}

// Scan implements Table.
func (m *Memory) Scan(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
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
		if m.rows[c.Key].Version != c.Version {
			return ErrConflict
		}
	}
	m.commit++
	for _, w := range writes {
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: m.commit}
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
