package gossip

import (
	"slices"
	"time"
)

// healthWindow is the number of probes on which a host judges its own health.
const healthWindow = 8

// health remembers the outcomes of the last probes. A host whose probes mostly
// fail suspects itself first (after Lifeguard; Dadgar, Phillips and Currey,
// 2018).
type health struct {
	outcomes [healthWindow]bool
	count    int
}

func (h *health) add(answered bool) {
	h.outcomes[h.count%healthWindow] = answered
	h.count++
}

// poor reports whether more than half of a full window went unanswered.
func (h *health) poor() bool {
	failed := 0
	for i := range min(h.count, healthWindow) {
		if !h.outcomes[i] {
			failed++
		}
	}
	return 2*failed > healthWindow
}

// suspect gives a member of this zone time to refute.
func (n *Node) suspect(e *entry, now time.Time) {
	n.table.setStatus(e, Suspect, now)
	e.deadline = now.Add(n.cfg.suspicionTimeout(n.zoneSize()))
	n.touch(e.record.Host)
	n.rumours.add(rumourKey{kind: rumourClaim, host: e.record.Host}, now)
}

// bury declares a member dead.
func (n *Node) bury(e *entry, now time.Time) {
	n.table.setStatus(e, Dead, now)
	n.touch(e.record.Host)
	n.announce(rumourKey{kind: rumourClaim, host: e.record.Host}, e.record.Zone, now)
}

// checkSuspects declares the suspects dead whose time has passed. While many
// are unreachable at once, a cut is likelier than their deaths, so they are
// held and get their whole time again once the hold ends.
func (n *Node) checkSuspects(now time.Time) {
	suspects, size := n.suspects(), n.zoneSize()
	n.held = n.holds(len(suspects), n.recentDeaths(now), size)
	var due []Claim
	for _, e := range suspects {
		switch {
		case n.held && now.Sub(e.since) < n.cfg.HoldLimit:
			e.deadline = now.Add(n.cfg.suspicionTimeout(size))
		case !now.Before(e.deadline):
			n.bury(e, now)
		case e.deadline.Sub(now) <= n.cfg.ProbeInterval:
			due = append(due, e.claim())
		}
	}
	n.confirm(due)
}

// confirm tells a few members of the suspects that are about to be declared
// dead. A member that heard the refutation answers with it.
func (n *Node) confirm(due []Claim) {
	if len(due) == 0 {
		return
	}
	m := n.message(nil)
	s := sizeOf(&m)
	for i := range due {
		if !m.join(s, &Message{Claims: due[i : i+1]}, n.cfg.MaxMessage) {
			break
		}
	}
	for _, e := range n.pick(n.self.record.Zone, n.cfg.Fanout, notSuspect) {
		n.send(e.record.GossipAddress, m)
	}
}

func notSuspect(e *entry) bool { return e.status == Alive }

func (n *Node) suspects() []*entry {
	var suspects []*entry
	for _, e := range n.table.zones[n.self.record.Zone] {
		if e.status == Suspect {
			suspects = append(suspects, e)
		}
	}
	return suspects
}

// smallZone is the number of members up to which one silent member may be the
// only one that is probed.
const smallZone = 3

// recentDeaths counts the members that died within one time to refute. They
// belong to the same event as the present suspects.
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

func (n *Node) holds(suspects, recentDeaths, size int) bool {
	unreachable := suspects + recentDeaths
	if unreachable > 1 && float64(unreachable) > n.cfg.HoldShare*float64(size+recentDeaths) {
		return true
	}
	return size > smallZone && n.health.poor()
}

// noteReachable clears the suspicion of a member from which a message came
// while many are held: the cut may be over. The member is asked whom it
// doubts, so that the others need not each be probed and refute.
func (n *Node) noteReachable(now time.Time, m *Message) {
	e := n.table.hosts[m.From.Host]
	if !n.held || e == nil || e.status != Suspect {
		return
	}
	n.clearSuspicion(e, now)
	n.send(m.From.Address, n.message(SuspicionsRequest{}))
}

func (n *Node) clearSuspicion(e *entry, now time.Time) {
	n.table.setStatus(e, Alive, now)
	n.rumours.drop(rumourKey{kind: rumourClaim, host: e.record.Host})
	n.touch(e.record.Host)
}

func (n *Node) handleDoubtsRequest(m *Message) {
	var doubts Suspicions
	for _, e := range n.table.zones[n.self.record.Zone] {
		if e.status != Alive {
			doubts.Keys = append(doubts.Keys, e.key)
		}
	}
	n.send(m.From.Address, n.message(doubts))
}

// handleDoubts clears the suspicion of the members that the other side of a
// cut does not doubt.
func (n *Node) handleDoubts(now time.Time, body Suspicions) {
	if !n.held {
		return
	}
	for _, e := range n.suspects() {
		if !slices.Contains(body.Keys, e.key) {
			n.clearSuspicion(e, now)
		}
	}
}

// forgiveStall drops the verdicts that fell due while this host itself was
// paused, and moves the deadlines of others by the length of the pause.
func (n *Node) forgiveStall(now time.Time) {
	gap := now.Sub(n.lastTick)
	if gap < n.cfg.stallLimit() {
		return
	}
	clear(n.probes)
	clear(n.relays)
	for _, e := range n.suspects() {
		e.deadline = e.deadline.Add(gap)
	}
	for zone, heard := range n.links.heard {
		n.links.heard[zone] = heard.Add(gap)
	}
}
