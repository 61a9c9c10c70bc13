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

// sweepInterval is the time between two sweeps, which delete expired claims.
const sweepInterval = time.Hour

// sweepPageSize is the number of rows that a sweep reads with one scan.
const sweepPageSize = claim.MaxBatchRows

// RunSweeps runs Sweep every sweepInterval until the context ends, on the one live daemon that
// rendezvous hashing selects: it does nothing while that is not the local daemon.
func (c *Claimer) RunSweeps(ctx context.Context, self Self, members Members) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if isSweeper(self, members.Members()) {
				c.sweepAndLog(ctx)
			}
		}
	}
}

func (c *Claimer) sweepAndLog(ctx context.Context) {
	deleted, err := c.Sweep(ctx)
	c.log.Info("expired claims deleted", zap.Int("deleted", deleted), zap.Error(err))
}

// isSweeper reports whether rendezvous hashing selects the local daemon of all live daemons.
func isSweeper(self Self, members []gossip.Member) bool {
	hosts := []string{self.Host}
	for _, member := range members {
		if member.Host != self.Host && member.Status == gossip.Alive && !member.Leaving {
			hosts = append(hosts, member.Host)
		}
	}
	return rendezvous.Top("claims/sweep", hosts, 1)[0] == self.Host
}

// Sweep deletes the claims that expired claim.ExpiredRetention ago, those of one page in one transaction, and returns the number of
// deleted claims. Any daemon may sweep at any time.
func (c *Claimer) Sweep(ctx context.Context) (int, error) {
	deleted, after := 0, ""
	for {
		rows, err := c.local.table.Scan(ctx, claim.Prefix, after, sweepPageSize)
		if err != nil {
			return deleted, steperr.Wrap(err, "sweep claims: scan", storePeerName)
		}
		if len(rows) == 0 {
			return deleted, nil
		}
		count, err := c.deleteExpired(ctx, rows)
		if err != nil {
			return deleted, steperr.Wrap(err, "sweep claims: delete", storePeerName)
		}
		deleted += count
		after = rows[len(rows)-1].Key
	}
}

// deleteExpired deletes the claims among the rows that expired long enough ago and returns their
// number. If one of them has changed since it was read, none is deleted, and the next sweep finds
// them again.
func (c *Claimer) deleteExpired(ctx context.Context, rows []store.Row) (int, error) {
	batch := new(claim.Batch)
	for _, stored := range rows {
		row, err := claim.DecodeRow(stored.Value)
		if err == nil && row.Deletable(c.local.now()) {
			batch.Add(stored.Version, store.Write{Key: stored.Key, Delete: true})
		}
	}
	if len(batch.Writes) == 0 {
		return 0, nil
	}
	err := c.local.table.Txn(ctx, batch.Compares, batch.Writes)
	if errors.Is(err, store.ErrConflict) {
		return 0, nil
	}
	return len(batch.Writes), err
}
