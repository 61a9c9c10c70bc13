package claim

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/steperr"
)

// sweepInterval is the time between two sweeps.
const sweepInterval = time.Hour

// sweepPage is the number of rows that a sweep reads at once.
const sweepPage = claim.MaxBatchRows

// RunSweeps sweeps at intervals, on the one daemon that ranks first among all,
// until the context ends.
func (c *Claimer) RunSweeps(ctx context.Context, self Self, members Members) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if sweeps(self, members.Members()) {
				c.sweepAndLog(ctx)
			}
		}
	}
}

func (c *Claimer) sweepAndLog(ctx context.Context) {
	deleted, err := c.Sweep(ctx)
	c.log.Info("swept expired claims", zap.Int("deleted", deleted), zap.Error(err))
}

// sweeps reports whether it is this daemon's turn.
func sweeps(self Self, members []gossip.Member) bool {
	hosts := []string{self.Host}
	for _, member := range members {
		if member.Host != self.Host && member.Status == gossip.Alive && !member.Leaving {
			hosts = append(hosts, member.Host)
		}
	}
	return rendezvous.Top("claims/sweep", hosts, 1)[0] == self.Host
}

// Sweep deletes the expired claims, a page in one transaction, and returns how
// many it deleted. Any daemon may sweep at any time.
func (c *Claimer) Sweep(ctx context.Context) (int, error) {
	deleted, after := 0, ""
	for {
		rows, err := c.table.table.Scan(ctx, claim.Prefix, after, sweepPage)
		if err != nil {
			return deleted, steperr.Wrap(err, "sweep claims: scan", peerPlatform)
		}
		if len(rows) == 0 {
			return deleted, nil
		}
		count, err := c.deleteExpired(ctx, rows)
		if err != nil {
			return deleted, steperr.Wrap(err, "sweep claims: delete", peerPlatform)
		}
		deleted += count
		after = rows[len(rows)-1].Key
	}
}

// deleteExpired skips a page in which a row changed meanwhile; the next sweep
// finds it again.
func (c *Claimer) deleteExpired(ctx context.Context, rows []store.Row) (int, error) {
	batch := new(claim.Batch)
	for _, stored := range rows {
		row, err := claim.DecodeRow(stored.Value)
		if err == nil && row.Expired(c.table.now()) {
			batch.Add(stored.Version, store.Write{Key: stored.Key, Delete: true})
		}
	}
	if len(batch.Writes) == 0 {
		return 0, nil
	}
	err := c.table.table.Txn(ctx, batch.Compares, batch.Writes)
	if errors.Is(err, store.ErrConflict) {
		return 0, nil
	}
	return len(batch.Writes), err
}
