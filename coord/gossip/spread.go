package gossip

import (
	"slices"
	"time"
)

// sendRumours sends the queued rumours to a few random members of the local zone and, on a
// bridge, those about its zone to one member of each zone that it is a bridge to.
func (n *Node) sendRumours(now time.Time) {
	n.sendCrossZone(now)
	if len(n.rumours.queue) == 0 {
		return
	}
	for _, e := range n.sample(n.self.record.Zone, n.cfg.Fanout, notDead) {
		m := n.newMessage(nil)
		n.attachRumours(&m, now)
		if m.hasRumours() {
			n.send(e.record.GossipAddress, m)
		}
	}
}

// sendCrossZone sends the changes of the local zone to the zones that this host is a bridge to.
// With the budget below its reserve, only urgent ones are sent.
func (n *Node) sendCrossZone(now time.Time) {
	keys := n.crossZone
	n.crossZone = nil
	if !n.budget.aboveReserve() {
		keys = slices.DeleteFunc(keys, func(key rumourKey) bool { return !n.isUrgent(key) })
	}
	if len(keys) == 0 {
		return
	}
	for _, zone := range n.bridgedZones() {
		for _, e := range n.sample(zone, 1, isActive) {
			n.sendState(e.record.GossipAddress, keys, now)
		}
	}
}

// sendState sends the current state of the subjects of the keys, in as many messages as are
// needed.
func (n *Node) sendState(to string, keys []rumourKey, now time.Time) {
	var parts []Message
	for _, key := range keys {
		if part, ok := n.currentState(key, now); ok {
			parts = append(parts, part)
		}
	}
	for len(parts) > 0 {
		var m Message
		m, parts = n.pack(nil, parts)
		n.send(to, m)
	}
}

// attachRumours fills a message with rumours. With the budget below its reserve, only urgent
// ones are added.
func (n *Node) attachRumours(m *Message, now time.Time) {
	if len(n.rumours.queue) == 0 {
		return
	}
	n.rumours.sortBySent()
	limit := n.cfg.maxTransmissions(n.zoneSize(), len(n.rumours.queue))
	aboveReserve := n.budget.aboveReserve()
	s := sizeOf(m)
	before := s.total
	for _, r := range n.rumours.queue {
		if !aboveReserve && !n.isUrgent(r.key) {
			continue
		}
		if s.total >= n.cfg.MaxMessage {
			break
		}
		part, ok := n.currentState(r.key, now)
		switch {
		case !ok:
			r.sent = limit
		case m.appendRumours(s, &part, n.cfg.MaxMessage):
			r.sent++
		}
	}
	n.budget.spend(s.total - before)
	n.rumours.expire(limit, now.Add(-n.cfg.RumourMaxAge))
}

// isUrgent reports whether a rumour is sent whatever the budget: updates, this host's own
// record, and records of hosts that are leaving or have a leaving target.
func (n *Node) isUrgent(key rumourKey) bool {
	if key.kind == rumourUpdate || key.host == n.self.record.Host {
		return true
	}
	e := n.table.hosts[key.host]
	return key.kind == rumourRecord && e != nil && e.record.hasLeaving()
}

// hasLeaving reports whether the host or one of its targets is leaving.
func (r *Record) hasLeaving() bool {
	return r.Leaving || slices.ContainsFunc(r.Targets, func(t Target) bool { return t.State == TargetLeaving })
}

// currentState returns a message with the current state of the key's subject, or false if there
// is nothing to send any more.
func (n *Node) currentState(key rumourKey, now time.Time) (Message, bool) {
	if key.kind == rumourUpdate {
		update, ok := n.updates.get(key.update, now)
		return Message{Updates: []Update{update}}, ok
	}
	e := n.table.hosts[key.host]
	if e == nil {
		return Message{}, false
	}
	if key.kind == rumourClaim {
		return Message{Claims: []Claim{e.claim()}}, e.status != Alive
	}
	return Message{Records: []Record{e.record}}, true
}

// pack fills a message with parts, charges the budget for it and returns the parts that did not
// fit.
func (n *Node) pack(body Body, parts []Message) (Message, []Message) {
	m := n.newMessage(body)
	s := sizeOf(&m)
	for len(parts) > 0 && m.appendRumours(s, &parts[0], n.cfg.MaxMessage) {
		parts = parts[1:]
	}
	n.budget.spend(s.total)
	return m, parts
}

// appendRumours appends the rumours of a part if the message stays within limit bytes or had
// none before.
func (m *Message) appendRumours(s *sizer, part *Message, limit int) bool {
	cost := s.cost(part)
	if m.hasRumours() && s.total+cost > limit {
		return false
	}
	s.parts(part)
	m.Records = append(m.Records, part.Records...)
	m.Claims = append(m.Claims, part.Claims...)
	m.Updates = append(m.Updates, part.Updates...)
	return true
}

// hasRumours reports whether the message carries records, claims or updates.
func (m *Message) hasRumours() bool {
	return len(m.Records)+len(m.Claims)+len(m.Updates) > 0
}
