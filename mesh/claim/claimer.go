// Package claim keeps the claims of keyed requests in the platform's table. See
// coord/claim for the decisions. Claims of a zone go to two of its daemons, so
// that the platform sees few transactions however many daemons there are.
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

// peerPlatform names the platform in errors and logs.
const peerPlatform = "platform"

// Claimer claims keys for this daemon. It is safe for concurrent use.
type Claimer struct {
	table   *tableBackend
	backend backend
	log     *zap.Logger
	lateFor time.Duration

	settling sync.WaitGroup
	room     chan struct{} // bounds the settlements under way
	stopped  context.Context
	stop     context.CancelFunc
}

// New returns a claimer that writes to the table by itself.
func New(table store.Table, log *zap.Logger) *Claimer {
	return newClaimer(table, log, batchInterval, time.Now)
}

func newClaimer(table store.Table, log *zap.Logger, interval time.Duration, now func() time.Time) *Claimer {
	local := &tableBackend{table: table, writer: newWriter(table, interval), now: now}
	c := &Claimer{table: local, backend: local, log: log, lateFor: lateFor, room: make(chan struct{}, maxSettling)}
	c.stopped, c.stop = context.WithCancel(context.Background())
	return c
}

// Claim asks for the right to run a request. An error carries its step and peer
// and means that this arrival is not to be dispatched. The verdict is never
// claim.Expired.
func (c *Claimer) Claim(ctx context.Context, request claim.Request) (claim.Decision, error) {
	decision, err := c.backend.claim(ctx, &request)
	if err == nil {
		return decision, nil
	}
	if !errors.Is(err, store.ErrUnavailable) {
		// A write may still take effect; without this the key would stay taken
		// for a request that never ran.
		c.releaseLate(request)
	}
	return claim.Decision{}, steperr.Wrap(err, "claim", peerPlatform)
}
