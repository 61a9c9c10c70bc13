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

// platformName is the platform's name as a peer.
const platformName = "platform"

// catchUp reads the platform's log and spreads what is new in the zone. It does
// not wait for the spreading.
func (d *Distributor) catchUp() {
	tip := d.Tip()
	next, changes, _ := d.readPlatform()
	if next == nil || next.Revision() <= tip.Revision() {
		return
	}
	if d.take(next, changes) {
		d.run(func() { d.spread(changes) })
	}
}

// compact stores a snapshot and trims the log when enough was applied since the
// last look. Whether that is due is decided by the platform's rows.
func (d *Distributor) compact() {
	snapshot := d.Snapshot()
	if snapshot == nil || snapshot.Revision() < d.compactAt {
		return
	}
	ctx, cancel := context.WithTimeout(d.stopping, platformTimeout)
	defer cancel()
	if err := d.log.Compact(ctx, snapshot); err != nil {
		d.logger.Debug("compaction did not finish", zap.Error(err))
		return
	}
	d.compactAt = snapshot.Revision() + compactSpacing
}

// readPlatform returns the newest state of the log that can be read and the
// changes that led to it, or no state if the platform did not answer.
func (d *Distributor) readPlatform() (*revision.Snapshot, []revision.Encoded, error) {
	ctx, cancel := context.WithTimeout(d.stopping, platformTimeout)
	defer cancel()
	next, changes, err := d.log.CatchUp(ctx, d.Tip())
	d.reachable.Store(err == nil || unreadable(err))
	if err == nil {
		return next, changes, nil
	}
	if unreadable(err) {
		d.reject(next.Revision()+1, "read the log", platformName, err)
		return next, changes, err
	}
	d.logger.Debug("platform not reachable", zap.Error(err))
	return nil, nil, err
}

// unreadable tells a log that can't be applied from a platform that does not
// answer.
func unreadable(err error) bool {
	for _, fault := range []error{revision.ErrCorrupt, revision.ErrHash, revision.ErrInvalid, revision.ErrGap} {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}

// Distribute takes changes that this host wrote to the platform, and the state that
// they lead to, and spreads them in all zones.
func (d *Distributor) Distribute(next *revision.Snapshot, changes []revision.Encoded) {
	d.tellZones(changes)
	if d.take(next, changes) {
		d.spread(changes)
	}
}

// tellZones hands the changes to one host of each other zone, which spreads
// them there. A zone that can't be told now learns of them by gossip or from
// its readers.
func (d *Distributor) tellZones(changes []revision.Encoded) {
	if len(changes) == 0 {
		return
	}
	message := &peerpb.StageChanges{Changes: wireChanges(changes), HeldBy: []string{d.self.Host}}
	for _, hosts := range d.otherZones() {
		d.run(func() { d.relayBranch(message, hosts[:min(readersPerZone, len(hosts))]) })
	}
}

// stage stages changes and reports whether all of them could be.
func (d *Distributor) stage(changes []revision.Encoded, holders []string, peer string) bool {
	whole := true
	d.update(func(replica *revision.Replica) {
		now := time.Now()
		for _, change := range changes {
			err := replica.Stage(change, holders, now)
			if errors.Is(err, revision.ErrGap) {
				whole = false
				return
			}
			if err != nil {
				whole = false
				d.reject(change.Revision, "stage", peer, err)
				return
			}
		}
		replica.Advance(now)
	})
	return whole
}

// spread has other hosts stage the changes, applies them, and relays them with
// the proof to the rest of the zone.
func (d *Distributor) spread(changes []revision.Encoded) {
	if len(changes) == 0 {
		return
	}
	newest := changes[len(changes)-1].Revision
	message := &peerpb.StageChanges{Changes: wireChanges(changes), HeldBy: []string{d.self.Host}}
	candidates := d.others()
	holders := d.seekWitnesses(message, candidates)
	enough := len(holders) >= min(witnesses, len(candidates))
	d.update(func(replica *revision.Replica) {
		replica.Confirm(newest, holders)
		if enough {
			replica.ApplyThrough(newest)
		}
	})
	if len(holders) == 0 {
		return
	}
	rest := slices.DeleteFunc(d.zoneHosts(), func(host string) bool { return host == d.self.Host })
	message = &peerpb.StageChanges{Changes: message.Changes, HeldBy: append(holders, d.self.Host)}
	d.run(func() { d.relay(message, rest) })
}

// seekWitnesses stages the message on other hosts, nearest first, until enough
// of them hold it. It returns those that do.
func (d *Distributor) seekWitnesses(message *peerpb.StageChanges, candidates []string) []string {
	var holders []string
	for len(candidates) > 0 && len(holders) < witnesses {
		count := min(witnesses-len(holders), len(candidates))
		holders = append(holders, d.stageOn(candidates[:count], message)...)
		candidates = candidates[count:]
		if len(candidates) > fanOut {
			candidates = candidates[:fanOut]
		}
	}
	return holders
}

// stageOn stages the message on the hosts at once and returns those that hold
// its newest change.
func (d *Distributor) stageOn(hosts []string, message *peerpb.StageChanges) []string {
	newest := message.Changes[len(message.Changes)-1].Revision
	var mu sync.Mutex
	var holders []string
	var group sync.WaitGroup
	for _, host := range hosts {
		group.Go(func() {
			reply, err := d.sendStage(host, message)
			if err != nil || max(reply.Staged, reply.Applied) < newest {
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

// relay sends the message down the tree. When a child does not answer, the next
// host of its branch takes its place.
func (d *Distributor) relay(message *peerpb.StageChanges, hosts []string) {
	var group sync.WaitGroup
	for _, branch := range branches(hosts) {
		group.Go(func() { d.relayBranch(message, branch) })
	}
	group.Wait()
}

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

func (d *Distributor) sendStage(host string, message *peerpb.StageChanges) (*peerpb.StageReply, error) {
	reply, err := d.control(host, &peerpb.ControlRequest{
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

// ServeStage handles changes from another host.
func (d *Distributor) ServeStage(from Identity, message *peerpb.StageChanges) *peerpb.StageReply {
	reply := new(peerpb.StageReply)
	if err := d.takeStage(from, message); err != nil {
		d.reject(d.Tip().Revision()+1, "decode", from.Host, err)
		d.readSoon()
		reply.Rejection = err.Error()
	}
	held := d.ServeHeld()
	reply.Staged, reply.Applied = held.Staged, held.Applied
	return reply
}

// takeStage stages the changes and hands them on: down the tree, or in the own
// zone if they came from another.
func (d *Distributor) takeStage(from Identity, message *peerpb.StageChanges) error {
	changes, err := readChanges(message.Changes)
	if err != nil {
		return err
	}
	before := d.Tip().Revision()
	if !d.stage(changes, append(message.HeldBy, from.Host), from.Host) {
		d.pullSoon(from.Host)
	}
	if len(message.Relay) > 0 {
		d.run(func() { d.relay(message, message.Relay) })
	}
	if from.Zone != d.self.Zone && d.Tip().Revision() > before {
		d.run(func() { d.spread(changes) })
	}
	return nil
}

// wireChanges adds a checksum to each change.
func wireChanges(changes []revision.Encoded) []*peerpb.Change {
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

// readChanges verifies the checksums.
func readChanges(wire []*peerpb.Change) ([]revision.Encoded, error) {
	changes := make([]revision.Encoded, 0, len(wire))
	for _, change := range wire {
		if xxhash.Sum64(change.Value) != change.Checksum {
			return nil, revision.ErrCorrupt
		}
		changes = append(changes, revision.Encoded{Revision: change.Revision, Value: change.Value})
	}
	return changes, nil
}
