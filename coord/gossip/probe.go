package gossip

import (
	"slices"
	"time"
)

// probe is an unanswered probe of one member.
type probe struct {
	target string
	sent   time.Time
	// attempts counts the rounds sent so far.
	attempts int
	// remote is set for a probe of a remote zone, which tests only the reachability of the
	// zone.
	remote bool
}

// relay is a probe sent on behalf of another member. The number and the address are those of
// its request.
type relay struct {
	number  uint64
	target  string
	address string
	expires time.Time
}

// maxRelays is the maximum number of unanswered probes sent on behalf of other members.
const maxRelays = 256

// probeRounds is the number of rounds of a probe: a direct one, then two of direct and indirect
// ones.
const probeRounds = 3

// startProbe probes the next member of the local zone. Members are probed in a shuffled round
// robin, which bounds the time to detection (SWIM, section 4.3).
func (n *Node) startProbe(now time.Time) {
	e := n.nextProbeTarget()
	if e == nil {
		return
	}
	n.probeNumber++
	p := &probe{target: e.record.Host, sent: now}
	n.probes[n.probeNumber] = p
	n.sendProbe(n.probeNumber, p, e, now)
}

// nextProbeTarget returns the next member to probe, or nil if there is none. It starts a new
// round when the current one is used up.
func (n *Node) nextProbeTarget() *entry {
	for range 2 {
		for len(n.probeOrder) > 0 {
			host := n.probeOrder[0]
			n.probeOrder = n.probeOrder[1:]
			if e := n.table.hosts[host]; e != nil && notDead(e) && e.record.Zone == n.self.record.Zone {
				return e
			}
		}
		n.shuffleProbeOrder()
	}
	return nil
}

func (n *Node) shuffleProbeOrder() {
	n.probeOrder = n.probeOrder[:0]
	for _, e := range n.sample(n.self.record.Zone, len(n.table.hosts), notDead) {
		n.probeOrder = append(n.probeOrder, e.record.Host)
	}
}

// sendProbe sends a direct probe. It carries the claim about the target if there is one, so
// that the target refutes it in its reply. While suspects are held, the reply alone clears the
// suspicion.
func (n *Node) sendProbe(number uint64, p *probe, e *entry, now time.Time) {
	p.attempts++
	m := n.newMessage(Probe{Number: number, Target: p.target})
	if !n.holding {
		n.attachClaim(&m, e)
	}
	if !p.remote {
		n.attachRumours(&m, now)
	}
	n.send(e.record.GossipAddress, m)
}

// attachClaim adds the claim about a suspect or dead member to a message.
func (n *Node) attachClaim(m *Message, e *entry) {
	if e.status != Alive {
		m.Claims = append(m.Claims, e.claim())
	}
}

// checkProbes sends the next round of the unanswered probes, ends those that timed out and
// removes expired relays.
func (n *Node) checkProbes(now time.Time) {
	for _, number := range sortedKeys(n.probes) {
		n.checkProbe(number, n.probes[number], now)
	}
	for number, r := range n.relays {
		if now.After(r.expires) {
			delete(n.relays, number)
		}
	}
}

func (n *Node) checkProbe(number uint64, p *probe, now time.Time) {
	e := n.table.hosts[p.target]
	age := now.Sub(p.sent)
	switch {
	case e == nil || e.status == Dead:
		delete(n.probes, number)
	case age >= n.cfg.probeTimeout():
		delete(n.probes, number)
		n.probeFailed(p, e, now)
	case age >= n.probeDue(p.attempts) && p.attempts < probeRounds:
		n.sendProbe(number, p, e, now)
		if !p.remote {
			n.requestProbes(number, e)
		}
	}
}

// probeDue returns the age of a probe at which its next round is sent.
func (n *Node) probeDue(attempts int) time.Duration {
	if attempts == 1 {
		return n.cfg.retryAfter()
	}
	return n.cfg.ProbeInterval
}

// requestProbes asks other members to probe the target, so that a fault of the path between two
// hosts alone raises no suspicion (SWIM, section 3.1).
func (n *Node) requestProbes(number uint64, e *entry) {
	other := func(o *entry) bool { return o != e && o.status == Alive && !o.record.Leaving }
	for _, helper := range n.sample(n.self.record.Zone, n.cfg.IndirectProbes, other) {
		request := ProbeRequest{Number: number, Target: e.record.Host, Address: e.record.GossipAddress}
		n.send(helper.record.GossipAddress, n.newMessage(request))
	}
}

// probeFailed counts an unanswered probe against this host's health and makes the target a
// suspect. A leaving target is declared dead at once.
func (n *Node) probeFailed(p *probe, e *entry, now time.Time) {
	if p.remote {
		return
	}
	n.health.add(false)
	switch {
	case e.record.Leaving:
		n.declareDead(e, now)
	case e.status == Alive:
		n.markSuspect(e, now)
	}
}

func (n *Node) handleProbe(now time.Time, m *Message, body Probe) {
	if body.Target != n.self.record.Host {
		return
	}
	reply := n.newMessage(Ack(body))
	if e := n.table.hosts[m.From.Host]; e != nil {
		n.attachClaim(&reply, e)
	}
	if m.From.Zone == n.self.record.Zone {
		n.attachRumours(&reply, now)
	}
	n.send(m.From.Address, reply)
}

func (n *Node) handleAck(body Ack) {
	if p := n.probes[body.Number]; p != nil && p.target == body.Target {
		delete(n.probes, body.Number)
		if !p.remote {
			n.health.add(true)
		}
		return
	}
	r, ok := n.relays[body.Number]
	if !ok || r.target != body.Target {
		return
	}
	delete(n.relays, body.Number)
	n.send(r.address, n.newMessage(Ack{Number: r.number, Target: r.target}))
}

func (n *Node) handleProbeRequest(now time.Time, m *Message, body ProbeRequest) {
	if len(n.relays) >= maxRelays {
		return
	}
	n.probeNumber++
	n.relays[n.probeNumber] = relay{
		number:  body.Number,
		target:  body.Target,
		address: m.From.Address,
		expires: now.Add(n.cfg.probeTimeout()),
	}
	n.send(body.Address, n.newMessage(Probe{Number: n.probeNumber, Target: body.Target}))
}

// probeDead probes one dead member of any zone, so that the two sides of a healed partition
// find each other. The claim in the probe makes the member refute.
func (n *Node) probeDead() {
	var dead []*entry
	for _, zone := range n.table.zoneNames() {
		dead = append(dead, n.sample(zone, 1, isDead)...)
	}
	if len(dead) == 0 {
		return
	}
	e := dead[n.random.IntN(len(dead))]
	n.probeNumber++
	m := n.newMessage(Probe{Number: n.probeNumber, Target: e.record.Host})
	n.attachClaim(&m, e)
	n.send(e.record.GossipAddress, m)
}

func sortedKeys(probes map[uint64]*probe) []uint64 {
	keys := make([]uint64, 0, len(probes))
	for key := range probes {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
