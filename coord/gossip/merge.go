package gossip

import (
	"slices"
	"time"
)

// mergeRumours merges the rumours of a message. Where the sender stated an older version, the
// current one is sent back, budget permitting.
func (n *Node) mergeRumours(now time.Time, m *Message) {
	spread := n.shouldSpread(m)
	reply := n.newMessage(Delta{})
	for _, record := range m.Records {
		current := n.mergeRecord(record, spread, now)
		if _, isDelta := m.Body.(Delta); isDelta {
			current.appendCurrent(&reply)
		}
	}
	for _, claim := range m.Claims {
		n.applyClaim(claim, now).appendCurrent(&reply)
	}
	if reply.hasRumours() && n.budget.available() {
		n.budget.spend(reply.Size())
		n.send(m.From.Address, reply)
	}
	for _, update := range m.Updates {
		n.mergeUpdate(update, now)
	}
}

// shouldSpread reports whether the records of a message are queued as rumours. Those of a Delta
// from the local zone are not, as all its members repair with each other; those of a Delta from
// a remote zone are, if the local zone has other members.
func (n *Node) shouldSpread(m *Message) bool {
	if _, isDelta := m.Body.(Delta); !isDelta {
		return true
	}
	return m.From.Zone != n.self.record.Zone && n.zoneSize() > 1
}

// appendCurrent adds the state of an entry to the reply to a sender that stated an older one. A
// nil entry adds nothing.
func (e *entry) appendCurrent(reply *Message) {
	if e == nil {
		return
	}
	reply.Records = append(reply.Records, e.record)
	if e.status == Dead {
		reply.Claims = append(reply.Claims, e.claim())
	}
}

// mergeRecord stores a record if it is newer than the stored one. If it is older, the stored
// entry is returned.
func (n *Node) mergeRecord(record Record, spread bool, now time.Time) *entry {
	if record.Host == "" || record.GossipAddress == "" {
		return nil
	}
	if record.Host == n.self.record.Host {
		n.raiseAbove(record.Incarnation, record.Sequence, now)
		return nil
	}
	e := n.table.hosts[record.Host]
	if e != nil && e.record.NewerThan(&record) {
		return e
	}
	if e != nil && !record.NewerThan(&e.record) {
		return nil
	}
	n.table.put(record, now)
	n.markChanged(record.Host)
	n.rumours.drop(rumourKey{kind: rumourClaim, host: record.Host})
	if !spread {
		return nil
	}
	n.queueRumour(rumourKey{kind: rumourRecord, host: record.Host}, record.Zone, now)
	return nil
}

// RaiseIncarnation raises this host's incarnation above a higher one that an earlier start of it is
// known to have had; an equal or lower one has no effect. The clock that the first incarnation is
// taken from may have been set back since.
func (n *Node) RaiseIncarnation(now time.Time, incarnation uint64) Output {
	n.raiseAbove(incarnation, 0, now)
	return n.flush()
}

// raiseAbove raises the version of this host's own record above one in circulation: one that
// remains from an earlier start whose clock was ahead, or one that is claimed to be
// unreachable.
func (n *Node) raiseAbove(incarnation, sequence uint64, now time.Time) {
	own := &n.self.record
	if incarnation < own.Incarnation {
		return
	}
	if incarnation > own.Incarnation {
		own.Incarnation = incarnation + 1
		n.bumpSequence(now)
		return
	}
	if sequence > own.Sequence {
		own.Sequence = sequence
		n.bumpSequence(now)
	}
}

// bumpSequence makes a new version of this host's own record and spreads it.
func (n *Node) bumpSequence(now time.Time) {
	n.self.record.Sequence++
	n.table.setStatus(n.self, Alive, now)
	n.markChanged(n.self.record.Host)
	n.queueRumour(rumourKey{kind: rumourRecord, host: n.self.record.Host}, n.self.record.Zone, now)
}

// applyClaim marks a member as suspect or dead, or refutes a claim about this host. A claim
// about any other version than the stored one has no effect; if the stored one is newer, its
// entry is returned so that the sender can be corrected. While suspects are held, a declaration
// of death from elsewhere counts as a suspicion.
func (n *Node) applyClaim(c Claim, now time.Time) *entry {
	if c.Host == n.self.record.Host {
		if c.Incarnation > n.self.record.Incarnation || c.matches(&n.self.record) {
			n.refute(c, now)
		}
		return nil
	}
	e := n.table.hosts[c.Host]
	if e == nil {
		return nil
	}
	inZone := e.record.Zone == n.self.record.Zone
	switch {
	case e.record.NewerThan(&Record{Incarnation: c.Incarnation, Sequence: c.Sequence}):
		return e
	case !c.matches(&e.record) || e.status == Dead:
		return nil
	case c.Dead && !(inZone && n.holding):
		n.declareDead(e, now)
	case e.status == Alive && inZone:
		n.markSuspect(e, now)
	}
	return nil
}

// refute raises the version of this host's record above the claimed one.
func (n *Node) refute(c Claim, now time.Time) {
	if c.matches(&n.self.record) {
		n.bumpSequence(now)
		return
	}
	n.raiseAbove(c.Incarnation, c.Sequence, now)
}

// mergeUpdate stores an update and spreads it if it is new or renewed. An invalid one is
// ignored.
func (n *Node) mergeUpdate(update Update, now time.Time) {
	if !update.valid() {
		return
	}
	isNew, spread := n.updates.add(update, now)
	if isNew {
		n.out.Updates = append(n.out.Updates, update)
	}
	if spread {
		n.rumours.add(rumourKey{kind: rumourUpdate, update: update.id()}, now)
	}
}

// queueRumour queues a rumour. One about the local zone is queued for the remote zones too.
func (n *Node) queueRumour(key rumourKey, zone string, now time.Time) {
	n.rumours.add(key, now)
	if zone == n.self.record.Zone {
		n.crossZone = append(n.crossZone, key)
	}
}

// markChanged adds a member to the changes of the next output and invalidates the cached
// bridges.
func (n *Node) markChanged(host string) {
	n.changed[host] = struct{}{}
	n.links.bridgesValid = false
}

// removeExpired removes expired updates and the members that have been dead or leaving for
// Config.RemoveAfter.
func (n *Node) removeExpired(now time.Time) {
	n.updates.expire(now)
	if now.Before(n.nextRemoval) {
		return
	}
	n.nextRemoval = now.Add(10 * n.cfg.ProbeInterval)
	for _, e := range slices.Clone(n.table.all) {
		if e == n.self || !e.deadOrLeaving() || now.Sub(e.since) < n.cfg.RemoveAfter {
			continue
		}
		n.table.remove(e.record.Host)
		n.out.Removed = append(n.out.Removed, e.record.Host)
	}
}
