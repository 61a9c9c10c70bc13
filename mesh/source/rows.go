package source

import (
	"context"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
)

// OperatorReader reads the rows that operators write to the store.
type OperatorReader interface {
	// Read returns all rows in force.
	Read(ctx context.Context) (OperatorChanges, error)
	// Await returns the rows that changed after a version of the store, as soon as there are any or
	// the wait is over. The error is store.ErrTrimmed if the store no longer has the changes.
	Await(ctx context.Context, after uint64, wait time.Duration) (OperatorChanges, error)
	// Now returns the time on the store's clock.
	Now() time.Time
}

// RolloutReader reads the rows in which controllers store the state of rollouts.
type RolloutReader interface {
	// ReadRollouts returns the rows of all rollouts.
	ReadRollouts(ctx context.Context) (RolloutChanges, error)
	// AwaitRollouts returns the rows of rollouts that changed after a version of the store, as
	// OperatorReader.Await does for the rows of operators.
	AwaitRollouts(ctx context.Context, after uint64, wait time.Duration) (RolloutChanges, error)
}

// OperatorChanges holds decoded rows of operators.
type OperatorChanges struct {
	// Through is the version of the store from which the next Await continues.
	Through        uint64
	Configurations []Configuration // in the order in which they were written
	Orders         []RolloutOrder
	// Invalid lists the rows that could not be decoded; no part of them is applied.
	Invalid []InvalidRow
}

// Configuration is the whole configuration of the services and routes at one version, as an
// operator wrote it.
type Configuration struct {
	// Number is the operator's version, which is also the number of its ticket.
	Number uint64 `json:"number"`
	// StoreVersion is the version of the store at which the row was written.
	StoreVersion uint64             `json:"written"`
	Services     []revision.Service `json:"services"`
	Routes       []revision.Route   `json:"routes"`
	// Limits bounds the requests that callers may send.
	Limits revision.CallerLimits `json:"limits,omitzero"`
}

// Check returns an error that lists every problem of the configuration. It doesn't compare the
// configuration with any other one.
func (c Configuration) Check() error { return newRowState(0).addConfiguration(c) }

// RolloutOrder is an operator's order to roll a version of a service out.
type RolloutOrder struct {
	Service string        `json:"service"`
	Version string        `json:"version"`
	Within  time.Duration `json:"within"` // time allowed for the rollout; in JSON in nanoseconds
	// StoreVersion is the version of the store at which the row was written. It is also the number of
	// the rollout's ticket.
	StoreVersion uint64 `json:"written"`
}

// InvalidRow is a row that could not be decoded.
type InvalidRow struct {
	Key          string
	StoreVersion uint64
	Cause        error
}

// RolloutChanges holds decoded rows of rollouts. Through and Invalid are as in OperatorChanges.
type RolloutChanges struct {
	Through  uint64
	Rollouts []RolloutRow
	Invalid  []InvalidRow
}

// RolloutRow is the stored state of a rollout. StoreVersion is the version of the store at which
// the row was written.
type RolloutRow struct {
	rollout.State
	StoreVersion uint64 `json:"written"`
}
