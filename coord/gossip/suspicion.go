package gossip

import (
	"slices"
	"time"
)

// healthWindow is the number of most recent probes, within the local zone, whose outcomes determine
// this host's own health.
const healthWindow = 8

// health records the outcomes of the last probes. While most probes of a host fail, the fault
// is more likely its own, and suspects are held (after Lifeguard; Dadgar, Phillips and Currey,
// 2018).
type health struct {
	outcomes [healthWindow]bool
	count    int
}

func (h *health) add(responded bool) {
	h.outcomes[h.count%healthWindow] = responded
	h.count++
}

// poor reports whether more than half of a full window of probes were unanswered.
func (h *health) poor() bool {
	failed := 0
	for i := range min(h.count, healthWindow) {
		if !h.outcomes[i] {
			failed++
		}
	}
	return 2*failed > healthWindow
}

// markSuspect makes a member of the local zone a suspect and starts its time to refute.
func (n *Node) markSuspect(e *entry, now time.Time) {
	n.table.setStatus(e, Suspect, now)
	e.deadline = now.Add(n.cfg.suspicionTimeout(n.zoneSize()))
	n.markChanged(e.record.Host)
	n.rumours.add(rumourKey{kind: rumourClaim, host: e.record.Host}, now)
}

// declareDead marks a member as dead and spreads the claim.
func (n *Node) declareDead(e *entry, now time.Time) {
	n.table.setStatus(e, Dead, now)
	n.markChanged(e.record.Host)
	n.queueRumour(rumourKey{kind: rumourClaim, host: e.record.Host}, e.record.Zone, now)
}

// checkSuspects declares the suspects dead whose time to refute has passed. While many members
// are unreachable at once, a network partition is likelier than their deaths, so suspects are
// held; they get the whole time to refute again once the hold ends.
func (n *Node) checkSuspects(now time.Time) {
	suspects, size := n.suspects(), n.zoneSize()
	n.holding = n.shouldHold(len(suspects), n.recentDeaths(now), size)
	var due []Claim
	for _, e := range suspects {
		switch {
		case n.holding && now.Sub(e.since) < n.cfg.HoldLimit:
			e.deadline = now.Add(n.cfg.suspicionTimeout(size))
		case !now.Before(e.deadline):
			n.declareDead(e, now)
		case e.deadline.Sub(now) <= n.cfg.ProbeInterval:
			due = append(due, e.claim())
		}
	}
	n.solicitRefutations(due)
}

// solicitRefutations sends a few members the claims about suspects that are about to be
// declared dead. A member that has received a refutation replies with it.
func (n *Node) solicitRefutations(due []Claim) {
	if len(due) == 0 {
		return
	}
	m := n.newMessage(nil)
	s := sizeOf(&m)
	for i := range due {
		if !m.appendRumours(s, &Message{Claims: due[i : i+1]}, n.cfg.MaxMessage) {
			break
		}
	}
	for _, e := range n.sample(n.self.record.Zone, n.cfg.Fanout, isAlive) {
		n.send(e.record.GossipAddress, m)
	}
}

func isAlive(e *entry) bool { return e.status == Alive }

// suspects returns the suspects of the local zone.
func (n *Node) suspects() []*entry {
	var suspects []*entry
	for _, e := range n.table.zones[n.self.record.Zone] {
		if e.status == Suspect {
			suspects = append(suspects, e)
		}
	}
	return suspects
}

// smallZoneSize is the number of members up to which this host's health does not cause a hold:
// in so small a zone one unreachable member may be the only one that is probed.
const smallZoneSize = 3

// recentDeaths counts the members of the local zone that were declared dead within one suspicion
// timeout. They belong to the same event as the present suspects.
func (n *Node) recentDeaths(now time.Time) int {
	window := n.cfg.suspicionTimeout(n.zoneSize())
	count := 0
	for _, e := range n.table.zones[n.self.record.Zone] {
		if e.status == Dead && !e.record.Leaving && now.Sub(e.since) < window {
			count++
		}
	}
	return count
}

// shouldHold reports whether suspects are to be held: more than one member and more than
// Config.HoldShare of the members are unreachable, or this host's own health is poor and the
// zone is not small.
func (n *Node) shouldHold(suspects, recentDeaths, size int) bool {
	unreachable := suspects + recentDeaths
	if unreachable > 1 && float64(unreachable) > n.cfg.HoldShare*float64(size+recentDeaths) {
		return true
	}
	return size > smallZoneSize && n.health.poor()
}

// clearReachable clears the suspicion of a member from which a message arrived while suspects
// are held: the partition may be over. The member is asked for its own suspicions, so that the
// others need not each be probed and refute.
func (n *Node) clearReachable(now time.Time, m *Message) {
	e := n.table.hosts[m.From.Host]
	if !n.holding || e == nil || e.status != Suspect {
		return
	}
	n.clearSuspicion(e, now)
	n.send(m.From.Address, n.newMessage(SuspicionsRequest{}))
}

// clearSuspicion marks a suspect as alive and drops the claim about it.
func (n *Node) clearSuspicion(e *entry, now time.Time) {
	n.table.setStatus(e, Alive, now)
	n.rumours.drop(rumourKey{kind: rumourClaim, host: e.record.Host})
	n.markChanged(e.record.Host)
}

// minHeardFrom is the number of other members from which a host in touch hears: the silence of fewer
// may be their own.
const minHeardFrom = 3

// Isolated reports whether this host has received no message for a while, though several members
// are not dead. Since it probes a member in each probe interval, and is probed as often, the fault is
// then its own or that of its network, before it suspects the others one by one.
func (n *Node) Isolated(now time.Time) bool {
	if now.Sub(n.lastHeard) < n.cfg.isolationTimeout() {
		return false
	}
	others := 0
	for _, e := range n.table.all {
		if e != n.self && !e.deadOrLeaving() {
			others++
		}
	}
	return others >= minHeardFrom
}

func (n *Node) handleSuspicionsRequest(m *Message) {
	var suspicions Suspicions
	for _, e := range n.table.zones[n.self.record.Zone] {
		if e.status != Alive {
			suspicions.Keys = append(suspicions.Keys, e.key)
		}
	}
	n.send(m.From.Address, n.newMessage(suspicions))
}

// handleSuspicions clears the suspicion of the members that the other side of a partition does
// not suspect.
func (n *Node) handleSuspicions(now time.Time, body Suspicions) {
	if !n.holding {
		return
	}
	for _, e := range n.suspects() {
		if !slices.Contains(body.Keys, e.key) {
			n.clearSuspicion(e, now)
		}
	}
}

// compensateStall drops the outstanding probes and relays after a pause of this host, as their
// timeouts passed during it, and moves the deadlines of suspects and zones by the length of the
// pause.
func (n *Node) compensateStall(now time.Time) {
	gap := now.Sub(n.lastTick)
	if gap < n.cfg.stallLimit() {
		return
	}
	clear(n.probes)
	clear(n.relays)
	n.lastHeard = n.lastHeard.Add(gap)
	for _, e := range n.suspects() {
		e.deadline = e.deadline.Add(gap)
	}
	for zone, received := range n.links.lastReceived {
		n.links.lastReceived[zone] = received.Add(gap)
	}
}
