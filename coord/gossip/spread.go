package gossip

import (
	"slices"
	"time"
)

// spread sends the queued rumours to a few random members of the zone and, if
// this host is a bridge, those of its zone to one member of each other zone.
func (n *Node) spread(now time.Time) {
	n.cross(now)
	if len(n.rumours.queue) == 0 {
		return
	}
	for _, e := range n.pick(n.self.record.Zone, n.cfg.Fanout, notDead) {
		m := n.message(nil)
		n.attach(&m, now)
		if m.carries() {
			n.send(e.record.GossipAddress, m)
		}
	}
}

// cross passes the news of this zone to the zones that this host bridges to.
func (n *Node) cross(now time.Time) {
	keys := n.crossing
	n.crossing = nil
	if !n.budget.ample() {
		keys = slices.DeleteFunc(keys, func(key rumourKey) bool { return !n.urgent(key) })
	}
	if len(keys) == 0 {
		return
	}
	for _, zone := range n.bridgedZones() {
		for _, e := range n.pick(zone, 1, notEnded) {
			n.sendNews(e.record.GossipAddress, keys, now)
		}
	}
}

// sendNews sends the present state of what the keys name, in as many messages
// as it takes.
func (n *Node) sendNews(to string, keys []rumourKey, now time.Time) {
	var parts []Message
	for _, key := range keys {
		if part, ok := n.part(key, now); ok {
			parts = append(parts, part)
		}
	}
	for len(parts) > 0 {
		var m Message
		m, parts = n.pack(nil, parts)
		n.send(to, m)
	}
}

// attach fills a message with rumours. With the budget spent, only the urgent
// ones go along.
func (n *Node) attach(m *Message, now time.Time) {
	if len(n.rumours.queue) == 0 {
		return
	}
	n.rumours.order()
	limit := n.cfg.retransmits(n.zoneSize(), len(n.rumours.queue))
	ample := n.budget.ample()
	s := sizeOf(m)
	before := s.total
	for _, r := range n.rumours.queue {
		if !ample && !n.urgent(r.key) {
			continue
		}
		if s.total >= n.cfg.MaxMessage {
			break
		}
		part, ok := n.part(r.key, now)
		switch {
		case !ok:
			r.sent = limit
		case m.join(s, &part, n.cfg.MaxMessage):
			r.sent++
		}
	}
	n.budget.spend(s.total - before)
	n.rumours.expire(limit, now.Add(-n.cfg.RumourMaxAge))
}

// urgent reports whether a rumour is sent whatever the budget: notices, this
// host's own record, and what is leaving.
func (n *Node) urgent(key rumourKey) bool {
	if key.kind == rumourNotice || key.host == n.self.record.Host {
		return true
	}
	e := n.table.hosts[key.host]
	return key.kind == rumourRecord && e != nil && e.record.leaves()
}

// leaves reports whether the host or one of its targets is leaving.
func (r *Record) leaves() bool {
	return r.Leaving || slices.ContainsFunc(r.Targets, func(t Target) bool { return t.State == TargetLeaving })
}

// part returns the present state of what the key names, or false if there is
// nothing to state any more.
func (n *Node) part(key rumourKey, now time.Time) (Message, bool) {
	if key.kind == rumourNotice {
		notice, ok := n.notices.get(key.notice, now)
		return Message{Updates: []Update{notice}}, ok
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

// pack fills a message with parts, charges the budget for it and returns the
// parts left over.
func (n *Node) pack(body Body, parts []Message) (Message, []Message) {
	m := n.message(body)
	s := sizeOf(&m)
	for len(parts) > 0 && m.join(s, &parts[0], n.cfg.MaxMessage) {
		parts = parts[1:]
	}
	n.budget.spend(s.total)
	return m, parts
}

// join takes over the rumours of a part if they fit below limit bytes or are
// the only ones.
func (m *Message) join(s *sizer, part *Message, limit int) bool {
	cost := s.cost(part)
	if m.carries() && s.total+cost > limit {
		return false
	}
	s.parts(part)
	m.Records = append(m.Records, part.Records...)
	m.Claims = append(m.Claims, part.Claims...)
	m.Updates = append(m.Updates, part.Updates...)
	return true
}

// carries reports whether the message has rumours.
func (m *Message) carries() bool {
	return len(m.Records)+len(m.Claims)+len(m.Updates) > 0
}
