package source

import (
	"context"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
)

// OperatorReader reads the rows that operators write to the store.
type OperatorReader interface {
	// Read returns all rows in force.
	Read(ctx context.Context) (OperatorChanges, error)
	// Await returns the rows that changed after a position of the store, as soon as there are any or
	// the wait is over. The error is store.ErrTrimmed if the store does not have the changes.
	Await(ctx context.Context, after store.Position, wait time.Duration) (OperatorChanges, error)
	// Now returns the time on the store's clock.
	Now() time.Time
}

// RolloutReader reads the rows in which controllers store the state of rollouts.
type RolloutReader interface {
	// ReadRollouts returns the rows of all rollouts.
	ReadRollouts(ctx context.Context) (RolloutChanges, error)
	// AwaitRollouts returns the rows of rollouts that changed after a position of the store, as
	// OperatorReader.Await does for the rows of operators.
	AwaitRollouts(ctx context.Context, after store.Position, wait time.Duration) (RolloutChanges, error)
}

// OperatorChanges holds decoded rows of operators.
type OperatorChanges struct {
	// Through is the position of the store from which the next Await continues.
	Through        store.Position
	Configurations []Configuration // in the order in which they were written
	Orders         []RolloutOrder
	// Evacuations are the orders to evacuate zones, and the removals of such orders.
	Evacuations []EvacuationRow
	// Complete is set if these are all rows and not only changed ones.
	Complete bool
	// Invalid lists the rows that could not be decoded; no part of them is applied.
	Invalid []InvalidRow
}

// Configuration is the whole configuration of the services and routes at one version, as an
// operator wrote it.
type Configuration struct {
	// Number is the operator's version, which is also the number of its ticket.
	Number uint64 `json:"number"`
	// Position is the position of the store at which the row was written, in the era in which it was read.
	Position store.Position     `json:"written"`
	Services []revision.Service `json:"services"`
	Routes   []revision.Route   `json:"routes"`
	// Tenants hold the hashes of their API keys, not the keys.
	Tenants []revision.Tenant `json:"tenants,omitempty"`
	// Limits bounds the requests that callers may send.
	Limits revision.CallerLimits `json:"limits,omitzero"`
	// Replaces is the number of a configuration of a former era of the store that this one replaces
	// though its own number is lower; 0 if there is none.
	Replaces uint64 `json:"replaces,omitempty"`
}

// Check returns an error that lists every problem of the configuration. It doesn't compare the
// configuration with any other one.
func (c Configuration) Check() error { return newRowState(0).addConfiguration(c, time.Time{}) }

// RolloutOrder is an operator's order to roll a version of a service out.
type RolloutOrder struct {
	Service string        `json:"service"`
	Version string        `json:"version"`
	Within  time.Duration `json:"within"` // time allowed for the rollout; in JSON in nanoseconds
	// Position is the position of the store at which the row was written, in the era in which it was read.
	Position store.Position `json:"written"`
	// Ticket is the number of the rollout's ticket. It is that of the position at which the order was first
	// read, and stays the same when the store comes back from an older copy. An order that was just
	// read has none.
	Ticket uint64 `json:"ticket,omitempty"`
}

// InvalidRow is a row that could not be decoded.
type InvalidRow struct {
	Key      string
	Position store.Position
	Cause    error
}

// RolloutChanges holds decoded rows of rollouts. Through and Invalid are as in OperatorChanges.
type RolloutChanges struct {
	Through  store.Position
	Rollouts []RolloutRow
	// Complete is set if these are all rows and not only changed ones.
	Complete bool
	Invalid  []InvalidRow
}

// RolloutRow is the stored state of a rollout. Position is the position of the store at which the row was
// written, in the era in which it was read.
type RolloutRow struct {
	rollout.State
	Position store.Position `json:"written"`
}
