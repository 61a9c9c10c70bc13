package source

import (
	"context"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
)

// OperatorReader reads what operators wrote.
type OperatorReader interface {
	// Read returns all that is in force.
	Read(ctx context.Context) (OperatorChanges, error)
	// Await returns what changed after a version of the store, once there is
	// something or the wait is over. The error is store.ErrTrimmed if the store
	// no longer knows.
	Await(ctx context.Context, after uint64, wait time.Duration) (OperatorChanges, error)
	// Now returns the time of the store's clock.
	Now() time.Time
}

// RolloutReader reads the rows of moves.
type RolloutReader interface {
	// ReadRollouts returns the state of every move.
	ReadRollouts(ctx context.Context) (RolloutChanges, error)
	// AwaitRollouts is to ReadRollouts what OperatorReader.Await is to OperatorReader.Read.
	AwaitRollouts(ctx context.Context, after uint64, wait time.Duration) (RolloutChanges, error)
}

// OperatorChanges are rows of the operator, decoded.
type OperatorChanges struct {
	// Through is the version of the store to continue from.
	Through        uint64
	Configurations []Configuration // in the order of their writing
	Orders         []RolloutOrder
	// Invalid are the rows that could not be decoded; nothing of them applies.
	Invalid []InvalidRow
}

// Configuration is the whole accepted state at one version.
type Configuration struct {
	// Number is the operator's version, the number of its ticket.
	Number uint64 `json:"number"`
	// StoreVersion is the version of the store at which it was written.
	StoreVersion uint64             `json:"written"`
	Services     []revision.Service `json:"services"`
	Routes       []revision.Route   `json:"routes"`
	// Limits bound what callers may send.
	Limits revision.CallerLimits `json:"limits,omitzero"`
}

// Check returns an error that names every problem of the configuration, without
// regard to any other.
func (c Configuration) Check() error { return newView(0).configure(c) }

// RolloutOrder is the order to move a service's traffic to a version.
type RolloutOrder struct {
	Service string        `json:"service"`
	Version string        `json:"version"`
	Within  time.Duration `json:"within"` // in nanoseconds
	// StoreVersion is the version of the store at which it was given.
	StoreVersion uint64 `json:"written"`
}

// InvalidRow is a row that could not be decoded.
type InvalidRow struct {
	Key          string
	StoreVersion uint64
	Cause        error
}

// RolloutChanges are rows of moves, decoded.
type RolloutChanges struct {
	Through  uint64
	Rollouts []RolloutRow
	Invalid  []InvalidRow
}

// RolloutRow is the state of a move with the version of the store at which it was
// written.
type RolloutRow struct {
	rollout.State
	StoreVersion uint64 `json:"written"`
}
