// Package store declares the interface to the storage service that the coordination packages
// depend on: a transactional table and an object store. The package platform/rowstore
// implements it over HTTP, and Memory in this package in memory.
package store

import (
	"context"
	"errors"
)

// Errors that every implementation reports, wrapped with the step and the peer.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict means that a compare failed; nothing was written.
	ErrConflict = errors.New("store: conflict")
	// ErrUnavailable means that the operation certainly did not take effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect. The caller reads
	// the rows back before it decides.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
)

// ErrTrimmed means that the store does not have the changes after the requested position: they were
// dropped, or the store came back from an older copy. The reader starts again from the rows themselves.
var ErrTrimmed = errors.New("store: history trimmed")

// Row is one row of the table. The version grows with every write to any row, so a row that is
// deleted and created again never repeats a version. Version 0 means absent. A store that comes back
// from an older copy has all its rows in a new era, which is part of their versions.
type Row struct {
	Key     string   `json:"key"`
	Value   []byte   `json:"value"`
	Version Position `json:"version"`
}

// Compare requires a row to have exactly Version; 0 requires it to be absent. A version of a former era
// is in no row, even if the same number was given out again.
type Compare struct {
	Key     string   `json:"key"`
	Version Position `json:"version"`
}

// Write puts Value at Key, or deletes the row if Delete is set.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Table is a transactional key-value table.
type Table interface {
	// Get returns a row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the rows with the prefix whose keys sort after the key after, in the order
	// of their keys: at most limit rows, or all of them if limit is not positive.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Txn applies all writes atomically if all compares hold, else it returns ErrConflict.
	Txn(ctx context.Context, compares []Compare, writes []Write) error
}

// Objects is a store of blobs. An object is written whole and never changed in part.
type Objects interface {
	// PutObject stores data under the key and replaces an existing object.
	PutObject(ctx context.Context, key string, data []byte) error
	// GetObject returns the data or ErrNotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// DeleteObject deletes the object; a missing key is no error.
	DeleteObject(ctx context.Context, key string) error
}

// Store is the whole storage service.
type Store interface {
	Table
	Objects
}
