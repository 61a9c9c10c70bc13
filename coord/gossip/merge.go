package gossip

import (
	"slices"
	"time"
)

// mergeAll takes over what a message carries besides its body.
func (n *Node) mergeAll(now time.Time, m *Message) {
	spread := n.spreads(m)
	reply := n.message(Delta{})
	for _, record := range m.Records {
		newer := n.merge(record, spread, now)
		if _, supplied := m.Body.(Delta); supplied {
			newer.correct(&reply)
		}
	}
	for _, claim := range m.Claims {
		n.applyClaim(claim, now).correct(&reply)
	}
	if reply.carries() && n.budget.open() {
		n.budget.spend(reply.Size())
		n.send(m.From.Address, reply)
	}
	for _, notice := range m.Updates {
		n.mergeNotice(notice, now)
	}
}

// spreads reports whether the records of a message are news to others: what a
// repair within the zone brings is not, what it brings from another zone is.
func (n *Node) spreads(m *Message) bool {
	if _, supplied := m.Body.(Delta); !supplied {
		return true
	}
	return m.From.Zone != n.self.record.Zone && n.zoneSize() > 1
}

// correct adds the state of an entry to the answer to one that stated an older
// one.
func (e *entry) correct(reply *Message) {
	if e == nil {
		return
	}
	reply.Records = append(reply.Records, e.record)
	if e.status == Dead {
		reply.Claims = append(reply.Claims, e.claim())
	}
}

// merge takes over a record if it is newer than the one held. If it is older,
// the entry held is returned.
func (n *Node) merge(record Record, spread bool, now time.Time) *entry {
	if record.Host == "" || record.GossipAddress == "" {
		return nil
	}
	if record.Host == n.self.record.Host {
		n.outbid(record.Incarnation, record.Sequence, now)
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
	n.touch(record.Host)
	n.rumours.drop(rumourKey{kind: rumourClaim, host: record.Host})
	if !spread {
		return nil
	}
	n.announce(rumourKey{kind: rumourRecord, host: record.Host}, record.Zone, now)
	return nil
}

// RaiseIncarnation raises this host's incarnation above one that an earlier start of it is
// known to have had. The clock that the first incarnation is taken from may have been
// set back since.
func (n *Node) RaiseIncarnation(now time.Time, incarnation uint64) Output {
	n.outbid(incarnation, 0, now)
	return n.flush()
}

// outbid raises this host's own version above one that is in circulation: left
// from an earlier start whose clock was ahead, or claimed to be unreachable.
func (n *Node) outbid(incarnation, sequence uint64, now time.Time) {
	own := &n.self.record
	if incarnation < own.Incarnation {
		return
	}
	if incarnation > own.Incarnation {
		own.Incarnation = incarnation + 1
		n.raise(now)
		return
	}
	if sequence > own.Sequence {
		own.Sequence = sequence
		n.raise(now)
	}
}

// raise makes a new version of this host's own record and spreads it.
func (n *Node) raise(now time.Time) {
	n.self.record.Sequence++
	n.table.setStatus(n.self, Alive, now)
	n.touch(n.self.record.Host)
	n.announce(rumourKey{kind: rumourRecord, host: n.self.record.Host}, n.self.record.Zone, now)
}

// applyClaim marks a member as suspect or dead, or refutes a claim about this
// host. A claim about any other version than the one held has no effect; if the
// one held is newer, it is returned, for the sender to learn it. While many are
// held, a verdict from elsewhere counts as a suspicion.
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
	case c.Dead && !(inZone && n.held):
		n.bury(e, now)
	case e.status == Alive && inZone:
		n.suspect(e, now)
	}
	return nil
}

func (n *Node) refute(c Claim, now time.Time) {
	if c.matches(&n.self.record) {
		n.raise(now)
		return
	}
	n.outbid(c.Incarnation, c.Sequence, now)
}

// mergeNotice stores a notice and spreads it if it is new or renewed.
func (n *Node) mergeNotice(notice Update, now time.Time) {
	if !notice.valid() {
		return
	}
	fresh, spread := n.notices.add(notice, now)
	if fresh {
		n.out.Updates = append(n.out.Updates, notice)
	}
	if spread {
		n.rumours.add(rumourKey{kind: rumourNotice, notice: notice.id()}, now)
	}
}

// announce queues a rumour, for the other zones too if it is of this zone.
func (n *Node) announce(key rumourKey, zone string, now time.Time) {
	n.rumours.add(key, now)
	if zone == n.self.record.Zone {
		n.crossing = append(n.crossing, key)
	}
}

// touch marks a member as changed.
func (n *Node) touch(host string) {
	n.changed[host] = struct{}{}
	n.links.valid = false
}

// forget removes the members that died or left long ago, and old notices.
func (n *Node) forget(now time.Time) {
	n.notices.expire(now)
	if now.Before(n.nextForget) {
		return
	}
	n.nextForget = now.Add(10 * n.cfg.ProbeInterval)
	for _, e := range slices.Clone(n.table.all) {
		if e == n.self || !e.ended() || now.Sub(e.since) < n.cfg.RemoveAfter {
			continue
		}
		n.table.remove(e.record.Host)
		n.out.Removed = append(n.out.Removed, e.record.Host)
	}
}
