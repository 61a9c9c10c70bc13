package distribution

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
)

// update changes the replica and publishes the snapshot if it is a new one.
func (d *Distributor) update(change func(*revision.Replica)) {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.mu.Lock()
	change(d.replica)
	after := d.replica.Applied()
	d.mu.Unlock()
	d.publish(after)
}

// enter puts in force what was found at the start. Until then the daemon serves
// no call, so that none is served on an older revision than before a restart.
func (d *Distributor) enter() {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.open = true
	d.mu.Lock()
	d.replica.ApplyThrough(d.replica.Latest().Revision())
	found := d.replica.Applied()
	d.mu.Unlock()
	d.publish(found)
}

// publish puts a snapshot in force if it is newer than the present one. The
// caller holds publishing but not mu, as the members call back.
func (d *Distributor) publish(next *revision.Snapshot) {
	var present uint64
	if current := d.Snapshot(); current != nil {
		present = current.Revision()
	}
	if !d.open || next.Revision() <= present {
		return
	}
	d.applied.Store(&applied{snapshot: next, at: time.Now()})
	d.members.SetRevision(next.Revision())
	for _, notify := range d.onApply {
		notify(next)
	}
	d.logger.Info("configuration applied", zap.Uint64("revision", next.Revision()))
}

// reject records a change that could not be applied.
func (d *Distributor) reject(number uint64, step, peer string, cause error) {
	text := step + " from " + peer + ": " + cause.Error()
	d.rejected.Store(&text)
	d.logger.Warn("change rejected",
		zap.Uint64("revision", number),
		zap.String("step", step),
		zap.String("peer", peer),
		zap.Error(cause))
	if d.rejections != nil {
		d.run(func() { d.rejections.Report(d.stopping, number, step, peer, cause) })
	}
}

// storeMax raises a number.
func storeMax(number *atomic.Uint64, value uint64) {
	for {
		old := number.Load()
		if value <= old || number.CompareAndSwap(old, value) {
			return
		}
	}
}
