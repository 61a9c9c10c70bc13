package distribution

import (
	"sync"
	"time"

	"sassafrasnotch.example/coord/revision"
)

const (
	bootstrapPeers   = 8               // peers that are pulled from in one poll
	peerPollInterval = time.Second     // mean time between two polls of the peers
	maxBackoff       = 8 * time.Second // limit of the backoff between two reads of the log
)

// bootstrap finds the latest revision: that of the store or, if the store does not respond, the
// latest that peers hold, including staged changes. A change is applied only once two other hosts
// hold it, so the peers hold every revision that this host had in force before a restart.
func (d *Distributor) bootstrap() {
	found := make(chan struct{}, 2)
	done := make(chan struct{})
	search := func(source func(done <-chan struct{})) {
		d.run(func() {
			source(done)
			found <- struct{}{}
		})
	}
	search(d.bootstrapFromStore)
	search(d.bootstrapFromPeers)
	select {
	case <-found:
		d.applyInitial()
	case <-d.ctx.Done():
	}
	close(done)
}

// bootstrapFromStore reads the log until that succeeds or done is closed.
func (d *Distributor) bootstrapFromStore(done <-chan struct{}) {
	for backoff := maxPullDelay; ; backoff = min(2*backoff, maxBackoff) {
		if d.applyLog() == nil || !d.sleepUnlessDone(jitter(backoff), done) {
			return
		}
	}
}

// peerPoll is the result of one poll of the peers.
type peerPoll struct {
	latest uint64 // revision held after the poll
	hosts  int    // active hosts of the zone
}

// bootstrapFromPeers polls the peers until two polls in a row find the same revision and the same
// number of hosts: the member list of a host that has just started fills up step by step.
func (d *Distributor) bootstrapFromPeers(done <-chan struct{}) {
	var last peerPoll
	for {
		current := peerPoll{hosts: len(d.localZoneHosts())}
		replied := d.pullFromPeers()
		current.latest = d.Latest().Revision()
		if replied && current.latest > 0 && current == last {
			return
		}
		last = current
		if !d.sleepUnlessDone(jitter(peerPollInterval), done) {
			return
		}
	}
}

// pullFromPeers pulls from several peers concurrently and reports whether any of them replied.
func (d *Distributor) pullFromPeers() bool {
	hosts := d.otherHosts()
	hosts = hosts[:min(bootstrapPeers, len(hosts))]
	replied := make([]bool, len(hosts))
	var group sync.WaitGroup
	for i, host := range hosts {
		group.Go(func() { replied[i] = d.pull(host) == nil })
	}
	group.Wait()
	for _, ok := range replied {
		if ok {
			return true
		}
	}
	return false
}

// applyLog reads the log and stages or installs its latest state, without sending it to other
// hosts.
func (d *Distributor) applyLog() error {
	next, changes, err := d.readLog()
	if next != nil {
		d.stageOrInstall(next, changes)
	}
	return err
}

// stageOrInstall stages changes of the store's log, or installs next, the state that they lead to,
// if they do not follow the latest snapshot. It reports whether the changes could be staged.
func (d *Distributor) stageOrInstall(next *revision.Snapshot, changes []revision.EncodedChange) bool {
	storeMax(&d.latest, next.Revision())
	if d.stage(changes, nil, storePeerName) && d.Latest().Revision() >= next.Revision() {
		return true
	}
	d.updateReplica(func(replica *revision.Replica) { replica.Install(next) })
	return false
}

// sleepUnlessDone waits and reports whether the time has passed; it returns false early when the
// distributor stops or done is closed.
func (d *Distributor) sleepUnlessDone(wait time.Duration, done <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-done:
		return false
	case <-timer.C:
		return true
	}
}
