package distribution

import (
	"sync"
	"time"

	"sassafrasnotch.example/coord/revision"
)

const (
	bootstrapPeers = 8           // peers asked for what they hold at the start
	settleWait     = time.Second // between two rounds of questions to peers
	maxBackoff     = 8 * time.Second
)

// bootstrap finds the newest revision: the platform's, or if it does not answer
// the newest that peers hold, staged changes included. A change is applied only
// once two other hosts hold it, so that the peers know what this host had in
// force before a restart.
func (d *Distributor) bootstrap() {
	found := make(chan struct{}, 2)
	done := make(chan struct{})
	ask := func(sources func(done <-chan struct{})) {
		d.run(func() {
			sources(done)
			found <- struct{}{}
		})
	}
	ask(d.askPlatform)
	ask(d.askPeers)
	select {
	case <-found:
		d.enter()
	case <-d.stopping.Done():
	}
	close(done)
}

// askPlatform reads the log until that works.
func (d *Distributor) askPlatform(done <-chan struct{}) {
	for backoff := pullDelay; ; backoff = min(2*backoff, maxBackoff) {
		if d.readLog() == nil || !d.sleepUntil(jitter(backoff), done) {
			return
		}
	}
}

// round is what peers answered to one round of questions.
type round struct {
	newest uint64
	hosts  int // known in the zone
}

// askPeers asks what peers hold until two rounds in a row find the same
// revision and the same hosts: the membership view of a host that has just
// started fills up step by step.
func (d *Distributor) askPeers(done <-chan struct{}) {
	var last round
	for {
		present := round{hosts: len(d.zoneHosts())}
		answered := d.pullAll()
		present.newest = d.Tip().Revision()
		if answered && present.newest > 0 && present == last {
			return
		}
		last = present
		if !d.sleepUntil(jitter(settleWait), done) {
			return
		}
	}
}

// pullAll pulls from several peers at once and reports whether one answered.
func (d *Distributor) pullAll() bool {
	hosts := d.others()
	hosts = hosts[:min(bootstrapPeers, len(hosts))]
	answers := make([]bool, len(hosts))
	var group sync.WaitGroup
	for i, host := range hosts {
		group.Go(func() { answers[i] = d.pull(host) == nil })
	}
	group.Wait()
	for _, answered := range answers {
		if answered {
			return true
		}
	}
	return false
}

// readLog takes over the state of the log, without telling others.
func (d *Distributor) readLog() error {
	next, changes, err := d.readPlatform()
	if next != nil {
		d.take(next, changes)
	}
	return err
}

// take stages changes, or installs the state that they lead to if they do not
// follow the tip. It reports whether they could be staged.
func (d *Distributor) take(next *revision.Snapshot, changes []revision.EncodedChange) bool {
	storeMax(&d.head, next.Revision())
	if d.stage(changes, nil, platformName) && d.Tip().Revision() >= next.Revision() {
		return true
	}
	d.update(func(replica *revision.Replica) { replica.Install(next) })
	return false
}

// sleepUntil waits and reports false when the distributor stops or done is
// closed.
func (d *Distributor) sleepUntil(wait time.Duration, done <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.stopping.Done():
		return false
	case <-done:
		return false
	case <-timer.C:
		return true
	}
}
