// Package claim keeps the claims of requests with an idempotency key in a table of the store.
// Package coord/claim defines the rows and the decisions on them. A request that its caller
// repeats is a new attempt, with a claim.Request.Attempt of its own. Two daemons of each
// availability zone write the claims of all daemons of the zone in batches, so that the number of
// transactions in the store stays low with any number of daemons.
package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/steperr"
)

// storePeerName is the peer that errors and log lines name for operations on the store.
const storePeerName = "platform"

// Claimer claims idempotency keys for the local daemon. It is safe for concurrent use.
type Claimer struct {
	local   *tableBackend // writes to the store directly
	backend backend       // local, or a zoneBackend over it
	log     *zap.Logger

	settling    sync.WaitGroup
	settleSlots chan struct{}   // semaphore of the records and releases in progress
	settleCtx   context.Context // of the records and releases; lives until stop is called
	stop        context.CancelFunc
}

// New returns a claimer that writes to the table directly.
func New(table store.Table, log *zap.Logger) *Claimer {
	return newClaimer(table, log, batchInterval, time.Now)
}

// newClaimer returns a claimer with a batch interval and a clock.
func newClaimer(table store.Table, log *zap.Logger, interval time.Duration, now func() time.Time) *Claimer {
	local := &tableBackend{table: table, writer: newWriter(table, interval), now: now}
	c := &Claimer{local: local, backend: local, log: log, settleSlots: make(chan struct{}, maxSettling)}
	c.settleCtx, c.stop = context.WithCancel(context.Background())
	return c
}

// Claim requests the right to run a request. It returns the verdict claim.Granted, claim.Pending,
// claim.Mismatch or claim.Recorded, or an error with its step and peer. After an error the request
// must not be dispatched.
func (c *Claimer) Claim(ctx context.Context, request claim.Request) (claim.Decision, error) {
	decision, err := c.backend.claim(ctx, &request)
	if err == nil {
		return decision, nil
	}
	if !errors.Is(err, store.ErrUnavailable) {
		// The write may still take effect. Without the release the key would stay claimed for a
		// request that never ran.
		c.Release(request)
	}
	return claim.Decision{}, steperr.Wrap(err, "claim", storePeerName)
}
