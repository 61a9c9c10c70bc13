package source

import (
	"context"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
)

// Reader reads what operators wrote.
type Reader interface {
	// Read returns all that is in force.
	Read(ctx context.Context) (Changes, error)
	// Await returns what changed after a version of the store, once there is
	// something or the wait is over. The error is store.ErrTrimmed if the store
	// no longer knows.
	Await(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// Now returns the time of the store's clock.
	Now() time.Time
}

// Moves reads the rows of moves.
type Moves interface {
	// ReadMoves returns the state of every move.
	ReadMoves(ctx context.Context) (MoveChanges, error)
	// AwaitMoves is to ReadMoves what Reader.Await is to Reader.Read.
	AwaitMoves(ctx context.Context, after uint64, wait time.Duration) (MoveChanges, error)
}

// Changes are rows of the operator, decoded.
type Changes struct {
	// Through is the version of the store to continue from.
	Through        uint64
	Configurations []Configuration // in the order of their writing
	Orders         []Order
	// Invalid are the rows that could not be decoded; nothing of them applies.
	Invalid []Invalid
}

// Configuration is the whole accepted state at one version.
type Configuration struct {
	// Number is the operator's version, the number of its ticket.
	Number uint64 `json:"number"`
	// Written is the version of the store at which it was written.
	Written  uint64             `json:"written"`
	Services []revision.Service `json:"services"`
	Routes   []revision.Route   `json:"routes"`
	// Limits bound what callers may send.
	Limits revision.CallerLimits `json:"limits,omitzero"`
}

// Check returns an error that names every problem of the configuration, without
// regard to any other.
func (c Configuration) Check() error { return newView(0).configure(c) }

// Order is the order to move a service's traffic to a version.
type Order struct {
	Service string        `json:"service"`
	Version string        `json:"version"`
	Within  time.Duration `json:"within"` // in nanoseconds
	// Written is the version of the store at which it was given.
	Written uint64 `json:"written"`
}

// Invalid is a row that could not be decoded.
type Invalid struct {
	Key     string
	Written uint64
	Cause   error
}

// MoveChanges are rows of moves, decoded.
type MoveChanges struct {
	Through uint64
	Moves   []MoveRow
	Invalid []Invalid
}

// MoveRow is the state of a move with the version of the store at which it was
// written.
type MoveRow struct {
	rollout.State
	Written uint64 `json:"written"`
}
