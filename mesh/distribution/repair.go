package distribution

import (
	"context"
	"errors"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// maxPullDelay bounds the random delay before a pull, and is the first backoff of
// bootstrapFromStore.
const maxPullDelay = 300 * time.Millisecond

var (
	errUnexpectedReply = errors.New("distribution: control reply is not of the kind that was requested")
	errUnknownHost     = errors.New("distribution: host has no known peer address")
)

// sendControl sends one request to a host and waits for the reply, at most controlTimeout.
func (d *Distributor) sendControl(host string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	address := d.peerAddress(host)
	if address == "" {
		return nil, errUnknownHost
	}
	ctx, cancel := context.WithTimeout(d.ctx, controlTimeout)
	defer cancel()
	return d.peers.Control(ctx, host, address, request)
}

// repair pulls from a random host among those that report a newer revision than this host holds.
// While that does not close the gap, it also reads the store, at intervals that double.
func (d *Distributor) repair() {
	latest, hosts := d.membership.LatestRevision()
	if latest > d.Latest().Revision() && len(hosts) > 0 {
		d.pullFrom(hosts[rand.IntN(len(hosts))])
	}
	if latest <= d.Latest().Revision() {
		d.failedRepairs = 0
		return
	}
	d.failedRepairs++
	if d.failedRepairs > 1 && bits.OnesCount(uint(d.failedRepairs)) == 1 {
		d.catchUp()
	}
}

// audit pulls from one of the zone readers, and reads the store if that fails: a host that receives
// no messages gets no reports of the revisions that it lacks.
func (d *Distributor) audit() {
	hosts := d.localZoneHosts()
	reader := hosts[rand.IntN(min(readersPerZone, len(hosts)))]
	if reader != d.self.Host && d.pull(reader) != nil {
		d.catchUp()
	}
}

// ObserveRevision handles a report that a host has a revision: if it is newer than the latest
// snapshot, a pull from the host is scheduled.
func (d *Distributor) ObserveRevision(report gossip.RevisionReport) {
	if report.Revisions.Latest > d.Latest().Revision() {
		d.schedulePull(report.Host)
	}
}

// schedulePull pulls from the host after a random delay, unless a pull is already scheduled or
// running.
func (d *Distributor) schedulePull(host string) {
	if !d.pullPending.CompareAndSwap(false, true) {
		return
	}
	d.run(func() {
		defer d.pullPending.Store(false)
		if d.sleep(rand.N(maxPullDelay)) {
			d.pullFrom(host)
		}
	})
}

// scheduleStoreRead reads the store after a random delay, unless a read is already scheduled. It is
// called after a peer sent a change that cannot be decoded.
func (d *Distributor) scheduleStoreRead() {
	if !d.storeReadPending.CompareAndSwap(false, true) {
		return
	}
	d.run(func() {
		running := d.sleep(rand.N(pollInterval))
		d.storeReadPending.Store(false) // a change that arrives from now on needs another read
		if running {
			d.catchUp()
		}
	})
}

// pullFrom pulls from the host, and spreads what came from a remote zone, as the hosts of the local
// zone may not have it.
func (d *Distributor) pullFrom(host string) {
	before := d.Latest().Revision()
	if d.pull(host) != nil || d.zoneOf(host) == d.self.Zone {
		return
	}
	d.mu.Lock()
	changes := d.replica.Staged()
	d.mu.Unlock()
	if d.Latest().Revision() > before {
		d.spread(changes)
	}
}

// pull fetches what the host holds after the latest local snapshot. Changes that the host has in
// force come into force here too if it is of the same zone, where other hosts hold them.
func (d *Distributor) pull(host string) error {
	reply, err := d.sendControl(host, &peerpb.ControlRequest{
		From: d.self.Host,
		Body: &peerpb.ControlRequest_Pull{Pull: &peerpb.PullChanges{After: d.Latest().Revision()}},
	})
	if err != nil {
		return err
	}
	pulled := reply.GetPull()
	if pulled == nil {
		return errUnexpectedReply
	}
	storeMax(&d.latest, pulled.Applied)
	if len(pulled.Snapshot) > 0 {
		d.install(pulled, host)
	}
	changes, err := decodeChanges(pulled.Changes)
	if err != nil {
		d.reject(d.Latest().Revision()+1, "pull", host, err)
		return err
	}
	d.stage(changes, []string{host}, host)
	if d.zoneOf(host) == d.self.Zone {
		d.updateReplica(func(replica *revision.Replica) { replica.ApplyThrough(pulled.Applied) })
	}
	return nil
}

// install verifies a pulled snapshot and puts it in force.
func (d *Distributor) install(pulled *peerpb.PullReply, host string) {
	snapshot, err := decodeSnapshot(pulled)
	if err != nil {
		d.reject(pulled.Applied, "pull the snapshot", host, err)
		return
	}
	d.updateReplica(func(replica *revision.Replica) { replica.Install(snapshot) })
}

// decodeSnapshot verifies the checksum and decodes the snapshot of a reply.
func decodeSnapshot(pulled *peerpb.PullReply) (*revision.Snapshot, error) {
	if xxhash.Sum64(pulled.Snapshot) != pulled.SnapshotChecksum {
		return nil, revision.ErrCorrupt
	}
	return revision.DecodeSnapshot(pulled.Snapshot)
}

// ServePull returns the changes held after a revision, including those only staged. If some of them
// are no longer kept, the reply also holds the whole applied snapshot.
func (d *Distributor) ServePull(request *peerpb.PullChanges) (*peerpb.PullReply, error) {
	d.mu.Lock()
	snapshot := d.replica.Applied()
	changes, kept := d.replica.ChangesAfter(request.After)
	staged := d.replica.Staged()
	d.mu.Unlock()
	reply := &peerpb.PullReply{Applied: snapshot.Revision(), Changes: encodeChanges(append(changes, staged...))}
	if kept {
		return reply, nil
	}
	data, err := snapshot.Encode()
	if err != nil {
		return nil, err
	}
	reply.Snapshot = data
	reply.SnapshotChecksum = xxhash.Sum64(data)
	return reply, nil
}

// ServeHeld returns the latest revisions that this host has staged and applied.
func (d *Distributor) ServeHeld() *peerpb.HeldReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &peerpb.HeldReply{
		Staged:  d.replica.Latest().Revision(),
		Applied: d.replica.Applied().Revision(),
	}
}

// confirmStaged spreads a staged change again if no list of enough holders arrived for it within
// confirmTimeout, for example because the host that sent it stopped midway.
func (d *Distributor) confirmStaged() {
	d.mu.Lock()
	_, since, waiting := d.replica.Pending()
	changes := d.replica.Staged()
	d.mu.Unlock()
	if !waiting || time.Since(since) < confirmTimeout || !d.confirmPending.CompareAndSwap(false, true) {
		return
	}
	d.run(func() {
		defer d.confirmPending.Store(false)
		d.spread(changes)
	})
}
