package distribution

import (
	"context"
	"errors"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

const pullDelay = 300 * time.Millisecond

var (
	errUnexpectedReply = errors.New("distribution: unexpected reply")
	errUnknownHost     = errors.New("distribution: host has no known address")
)

// control sends one request to a host within controlTimeout.
func (d *Distributor) control(host string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error) {
	address := d.address(host)
	if address == "" {
		return nil, errUnknownHost
	}
	ctx, cancel := context.WithTimeout(d.stopping, controlTimeout)
	defer cancel()
	return d.peers.Control(ctx, host, address, request)
}

// repair pulls from a peer when members report a newer revision than the one
// held here. When that does not help it reads the platform, at intervals that
// double.
func (d *Distributor) repair() {
	newest, hosts := d.members.NewestRevision()
	if newest > d.Tip().Revision() && len(hosts) > 0 {
		d.pullFrom(hosts[rand.IntN(len(hosts))])
	}
	if newest <= d.Tip().Revision() {
		d.unrepaired = 0
		return
	}
	d.unrepaired++
	if d.unrepaired > 1 && bits.OnesCount(uint(d.unrepaired)) == 1 {
		d.catchUp()
	}
}

// audit pulls from one of the zone's readers, and reads the platform if that
// fails: a host that no message reaches does not hear what it misses.
func (d *Distributor) audit() {
	hosts := d.zoneHosts()
	reader := hosts[rand.IntN(min(readersPerZone, len(hosts)))]
	if reader != d.self.Host && d.pull(reader) != nil {
		d.catchUp()
	}
}

// NoteRevision is called when a member reported a revision.
func (d *Distributor) NoteRevision(number uint64, host string) {
	if number > d.Tip().Revision() {
		d.pullSoon(host)
	}
}

// pullSoon pulls from the host after a jittered delay, unless a pull is under
// way or the gap has closed by then.
func (d *Distributor) pullSoon(host string) {
	if !d.pulling.CompareAndSwap(false, true) {
		return
	}
	d.run(func() {
		defer d.pulling.Store(false)
		if d.sleep(rand.N(pullDelay)) {
			d.pullFrom(host)
		}
	})
}

// readSoon reads the platform after a jittered delay, unless that is under way:
// a peer sent a change that can't be read.
func (d *Distributor) readSoon() {
	if !d.reading.CompareAndSwap(false, true) {
		return
	}
	d.run(func() {
		waited := d.sleep(rand.N(pollInterval))
		d.reading.Store(false) // what comes from now on needs another read
		if waited {
			d.catchUp()
		}
	})
}

// pullFrom pulls from the host, and spreads what it got from another zone: the
// hosts of the own zone need not know it.
func (d *Distributor) pullFrom(host string) {
	before := d.Tip().Revision()
	if d.pull(host) != nil || d.zoneOf(host) == d.self.Zone {
		return
	}
	d.mu.Lock()
	changes := d.replica.Staged()
	d.mu.Unlock()
	if d.Tip().Revision() > before {
		d.spread(changes)
	}
}

// pull takes over what the host has after the own tip. Changes that it has in
// force come into force here if it is of the same zone, where others hold them.
func (d *Distributor) pull(host string) error {
	reply, err := d.control(host, &peerpb.ControlRequest{
		From: d.self.Host,
		Body: &peerpb.ControlRequest_Pull{Pull: &peerpb.PullChanges{After: d.Tip().Revision()}},
	})
	if err != nil {
		return err
	}
	pulled := reply.GetPull()
	if pulled == nil {
		return errUnexpectedReply
	}
	storeMax(&d.head, pulled.Applied)
	if len(pulled.Snapshot) > 0 {
		d.install(pulled, host)
	}
	changes, err := readChanges(pulled.Changes)
	if err != nil {
		d.reject(d.Tip().Revision()+1, "pull", host, err)
		return err
	}
	d.stage(changes, []string{host}, host)
	if d.zoneOf(host) == d.self.Zone {
		d.update(func(replica *revision.Replica) { replica.ApplyThrough(pulled.Applied) })
	}
	return nil
}

// install verifies a pulled snapshot and puts it in force.
func (d *Distributor) install(pulled *peerpb.PullReply, host string) {
	snapshot, err := readSnapshot(pulled)
	if err != nil {
		d.reject(pulled.Applied, "pull the snapshot", host, err)
		return
	}
	d.update(func(replica *revision.Replica) { replica.Install(snapshot) })
}

func readSnapshot(pulled *peerpb.PullReply) (*revision.Snapshot, error) {
	if xxhash.Sum64(pulled.Snapshot) != pulled.SnapshotChecksum {
		return nil, revision.ErrCorrupt
	}
	return revision.DecodeSnapshot(pulled.Snapshot)
}

// ServePull answers with the changes held after a revision, those that are only
// staged included, or with the whole snapshot if some are no longer kept.
func (d *Distributor) ServePull(request *peerpb.PullChanges) (*peerpb.PullReply, error) {
	d.mu.Lock()
	snapshot := d.replica.Applied()
	changes, kept := d.replica.ChangesAfter(request.After)
	staged := d.replica.Staged()
	d.mu.Unlock()
	reply := &peerpb.PullReply{Applied: snapshot.Revision(), Changes: wireChanges(append(changes, staged...))}
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

// ServeHeld tells which revision the host holds.
func (d *Distributor) ServeHeld() *peerpb.HeldReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &peerpb.HeldReply{
		Staged:  d.replica.Latest().Revision(),
		Applied: d.replica.Applied().Revision(),
	}
}

// confirmStaged spreads a staged change again when no proof came for it, as
// when the host that sent it died midway.
func (d *Distributor) confirmStaged() {
	d.mu.Lock()
	_, since, waiting := d.replica.Pending()
	changes := d.replica.Staged()
	d.mu.Unlock()
	if !waiting || time.Since(since) < staleAfter || !d.confirming.CompareAndSwap(false, true) {
		return
	}
	d.run(func() {
		defer d.confirming.Store(false)
		d.spread(changes)
	})
}
