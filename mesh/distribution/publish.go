package distribution

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
)

// updateReplica changes the replica and publishes its applied snapshot if that is a new one.
func (d *Distributor) updateReplica(change func(*revision.Replica)) {
	d.publishMu.Lock()
	defer d.publishMu.Unlock()
	d.mu.Lock()
	change(d.replica)
	applied := d.replica.Applied()
	d.mu.Unlock()
	d.publish(applied)
}

// applyInitial puts in force the revision that was found at the start. Until then nothing is
// published and the daemon serves no request, so that none is served on an older revision than
// before a restart.
func (d *Distributor) applyInitial() {
	d.publishMu.Lock()
	defer d.publishMu.Unlock()
	d.publishEnabled = true
	d.mu.Lock()
	d.replica.ApplyThrough(d.replica.Latest().Revision())
	found := d.replica.Applied()
	d.mu.Unlock()
	d.publish(found)
}

// publish puts a snapshot in force if it is newer than the current one. The caller holds publishMu
// but not mu, because the membership calls back.
func (d *Distributor) publish(next *revision.Snapshot) {
	var appliedRevision uint64
	if current := d.Snapshot(); current != nil {
		appliedRevision = current.Revision()
	}
	if !d.publishEnabled || next.Revision() <= appliedRevision {
		return
	}
	d.applied.Store(&appliedSnapshot{snapshot: next, at: time.Now()})
	d.membership.SetRevision(next.Revision())
	for _, notify := range d.onApply {
		notify(next)
	}
	d.logger.Info("configuration applied", zap.Uint64("revision", next.Revision()))
}

// reject records a change that could not be applied: the revision, the step that failed and the
// peer that the change came from.
func (d *Distributor) reject(number uint64, step, peer string, cause error) {
	description := step + " from " + peer + ": " + cause.Error()
	d.lastRejection.Store(&description)
	d.logger.Warn("change rejected",
		zap.Uint64("revision", number),
		zap.String("step", step),
		zap.String("peer", peer),
		zap.Error(cause))
	if d.rejections != nil {
		d.run(func() { d.rejections.Report(d.ctx, number, step, peer, cause) })
	}
}

// storeMax sets number to value if value is larger.
func storeMax(number *atomic.Uint64, value uint64) {
	for {
		old := number.Load()
		if value <= old || number.CompareAndSwap(old, value) {
			return
		}
	}
}
