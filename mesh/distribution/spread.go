package distribution

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// storePeerName names the store where a change came from it and not from a peer.
const storePeerName = "platform"

// catchUp reads the log from the store and spreads new changes in the zone. It does not wait until
// they are spread.
func (d *Distributor) catchUp() {
	latest := d.Latest()
	next, changes, _ := d.readLog()
	if next == nil || next.Revision() <= latest.Revision() {
		return
	}
	if d.stageOrInstall(next, changes) {
		d.run(func() { d.spread(changes) })
	}
}

// compact stores a snapshot and trims the log if that is due. It checks this when enough revisions
// were applied since the last check; the rows in the store decide whether it is due.
func (d *Distributor) compact() {
	snapshot := d.Snapshot()
	if snapshot == nil || snapshot.Revision() < d.nextCompactionCheck {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	if err := d.log.Compact(ctx, snapshot); err != nil {
		d.logger.Debug("log compaction failed", zap.Error(err))
		return
	}
	d.nextCompactionCheck = snapshot.Revision() + compactionCheckInterval
}

// readLog returns the latest state of the log that can be read and the changes that led to it. The
// state is nil if the store did not respond. The error is that of revision.Log.CatchUp.
func (d *Distributor) readLog() (*revision.Snapshot, []revision.EncodedChange, error) {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	next, changes, err := d.log.CatchUp(ctx, d.Latest())
	d.storeReachable.Store(err == nil || isUnreadable(err))
	if err == nil {
		return next, changes, nil
	}
	if isUnreadable(err) {
		d.reject(next.Revision()+1, "read the log", storePeerName, err)
		return next, changes, err
	}
	d.logger.Debug("store unavailable", zap.Error(err))
	return nil, nil, err
}

// isUnreadable reports whether the log was read but cannot be applied, as opposed to a store that
// did not respond.
func isUnreadable(err error) bool {
	for _, fault := range []error{revision.ErrCorrupt, revision.ErrHash, revision.ErrInvalid, revision.ErrGap} {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}

// Distribute stages changes that this host wrote to the store, or installs next, the state that
// they lead to, and spreads the changes in all zones.
func (d *Distributor) Distribute(next *revision.Snapshot, changes []revision.EncodedChange) {
	d.sendToRemoteZones(changes)
	if d.stageOrInstall(next, changes) {
		d.spread(changes)
	}
}

// sendToRemoteZones sends the changes to one host of each remote zone, which spreads them there. A
// zone that cannot be reached now receives them later, after a report by gossip or from its zone
// readers.
func (d *Distributor) sendToRemoteZones(changes []revision.EncodedChange) {
	if len(changes) == 0 {
		return
	}
	message := &peerpb.StageChanges{Changes: encodeChanges(changes), HeldBy: []string{d.self.Host}}
	for _, hosts := range d.remoteZoneHosts() {
		d.run(func() { d.relayBranch(message, hosts[:min(readersPerZone, len(hosts))]) })
	}
}

// stage stages changes that came from the peer and are held by the holders, applies those that are
// held by enough hosts, and reports whether all changes could be staged.
func (d *Distributor) stage(changes []revision.EncodedChange, holders []string, peer string) bool {
	complete := true
	d.updateReplica(func(replica *revision.Replica) {
		now := time.Now()
		for _, change := range changes {
			err := replica.Stage(change, holders, now)
			if errors.Is(err, revision.ErrGap) {
				complete = false
				return
			}
			if err != nil {
				complete = false
				d.reject(change.Revision, "stage", peer, err)
				return
			}
		}
		replica.Advance(now)
	})
	return complete
}

// spread stages the changes on other hosts, applies them once enough hosts hold them, and relays
// them with the list of holders to the rest of the zone.
func (d *Distributor) spread(changes []revision.EncodedChange) {
	if len(changes) == 0 {
		return
	}
	latest := changes[len(changes)-1].Revision
	message := &peerpb.StageChanges{Changes: encodeChanges(changes), HeldBy: []string{d.self.Host}}
	candidates := d.otherHosts()
	holders := d.stageUntilHeld(message, candidates)
	confirmed := len(holders) >= min(requiredHolders, len(candidates))
	d.updateReplica(func(replica *revision.Replica) {
		replica.Confirm(latest, holders)
		if confirmed {
			replica.ApplyThrough(latest)
		}
	})
	if len(holders) == 0 {
		return
	}
	others := slices.DeleteFunc(d.localZoneHosts(), func(host string) bool { return host == d.self.Host })
	message = &peerpb.StageChanges{Changes: message.Changes, HeldBy: append(holders, d.self.Host)}
	d.run(func() { d.relay(message, others) })
}

// stageUntilHeld stages the message on other hosts, in the order of the candidates, until
// requiredHolders of them hold it. After the first attempt, the next relayFanout candidates at most
// are tried. It returns the hosts that hold the message.
func (d *Distributor) stageUntilHeld(message *peerpb.StageChanges, candidates []string) []string {
	var holders []string
	for len(candidates) > 0 && len(holders) < requiredHolders {
		count := min(requiredHolders-len(holders), len(candidates))
		holders = append(holders, d.stageOn(candidates[:count], message)...)
		candidates = candidates[count:]
		if len(candidates) > relayFanout {
			candidates = candidates[:relayFanout]
		}
	}
	return holders
}

// stageOn stages the message on the hosts concurrently and returns those that hold its latest
// change.
func (d *Distributor) stageOn(hosts []string, message *peerpb.StageChanges) []string {
	latest := message.Changes[len(message.Changes)-1].Revision
	var mu sync.Mutex
	var holders []string
	var group sync.WaitGroup
	for _, host := range hosts {
		group.Go(func() {
			reply, err := d.sendStage(host, message)
			if err != nil || max(reply.Staged, reply.Applied) < latest {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			holders = append(holders, host)
		})
	}
	group.Wait()
	return holders
}

// relay sends the message down the relay tree. If a child does not reply, the next host of its
// branch takes its place.
func (d *Distributor) relay(message *peerpb.StageChanges, hosts []string) {
	var group sync.WaitGroup
	for _, branch := range relayBranches(hosts) {
		group.Go(func() { d.relayBranch(message, branch) })
	}
	group.Wait()
}

// relayBranch sends the message to the first host of the branch that replies; that host relays it
// to the hosts after it.
func (d *Distributor) relayBranch(message *peerpb.StageChanges, branch []string) {
	for len(branch) > 0 {
		child := &peerpb.StageChanges{
			Changes: message.Changes,
			HeldBy:  message.HeldBy,
			Relay:   branch[1:],
		}
		if _, err := d.sendStage(branch[0], child); err == nil {
			return
		}
		branch = branch[1:]
	}
}

// sendStage asks the host to stage the message.
func (d *Distributor) sendStage(host string, message *peerpb.StageChanges) (*peerpb.StageReply, error) {
	reply, err := d.sendControl(host, &peerpb.ControlRequest{
		From: d.self.Host,
		Body: &peerpb.ControlRequest_Stage{Stage: message},
	})
	if err != nil {
		return nil, err
	}
	if staged := reply.GetStage(); staged != nil {
		return staged, nil
	}
	return nil, errUnexpectedReply
}

// ServeStage handles a request from another host to stage changes. The reply states the revisions
// held here and, if a change was damaged, the reason for which the request was rejected.
func (d *Distributor) ServeStage(from Identity, message *peerpb.StageChanges) *peerpb.StageReply {
	reply := new(peerpb.StageReply)
	if err := d.handleStage(from, message); err != nil {
		d.reject(d.Latest().Revision()+1, "decode", from.Host, err)
		d.scheduleStoreRead()
		reply.Rejection = err.Error()
	}
	held := d.ServeHeld()
	reply.Staged, reply.Applied = held.Staged, held.Applied
	return reply
}

// handleStage stages the changes and sends them on: down the relay tree, or to the hosts of the
// local zone if they came from a remote zone.
func (d *Distributor) handleStage(from Identity, message *peerpb.StageChanges) error {
	changes, err := decodeChanges(message.Changes)
	if err != nil {
		return err
	}
	before := d.Latest().Revision()
	if !d.stage(changes, append(message.HeldBy, from.Host), from.Host) {
		d.schedulePull(from.Host)
	}
	if len(message.Relay) > 0 {
		d.run(func() { d.relay(message, message.Relay) })
	}
	if from.Zone != d.self.Zone && d.Latest().Revision() > before {
		d.run(func() { d.spread(changes) })
	}
	return nil
}

// encodeChanges returns the changes as sent to a peer, each with its checksum (xxHash64).
func encodeChanges(changes []revision.EncodedChange) []*peerpb.Change {
	wire := make([]*peerpb.Change, 0, len(changes))
	for _, change := range changes {
		wire = append(wire, &peerpb.Change{
			Revision: change.Revision,
			Value:    change.Value,
			Checksum: xxhash.Sum64(change.Value),
		})
	}
	return wire
}

// decodeChanges verifies the checksums and returns the changes, or revision.ErrCorrupt.
func decodeChanges(wire []*peerpb.Change) ([]revision.EncodedChange, error) {
	changes := make([]revision.EncodedChange, 0, len(wire))
	for _, change := range wire {
		if xxhash.Sum64(change.Value) != change.Checksum {
			return nil, revision.ErrCorrupt
		}
		changes = append(changes, revision.EncodedChange{Revision: change.Revision, Value: change.Value})
	}
	return changes, nil
}
