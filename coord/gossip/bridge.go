package gossip

import (
	"slices"
	"time"

	"sassafrasnotch.example/coord/rendezvous"
)

// links is what the node knows of the other zones.
type links struct {
	// heard is when a message last came from a zone.
	heard map[string]time.Time
	// reported is when this host last reported a zone unreachable.
	reported map[string]time.Time
	// down holds the zones that most bridges report unreachable.
	down map[string]bool
	// bridges caches the bridges to each zone while valid is set.
	bridges map[string][]string
	valid   bool
}

func newLinks() links {
	return links{
		heard:    make(map[string]time.Time),
		reported: make(map[string]time.Time),
		down:     make(map[string]bool),
	}
}

// bridgesTo returns the members of this zone that stand highest in rendezvous
// order for the other one.
func (n *Node) bridgesTo(zone string) []string {
	if !n.links.valid {
		n.links.bridges = make(map[string][]string)
		n.links.valid = true
	}
	if cached, ok := n.links.bridges[zone]; ok {
		return cached
	}
	bridges := n.rankBridges(zone)
	n.links.bridges[zone] = bridges
	return bridges
}

func (n *Node) rankBridges(zone string) []string {
	var hosts []string
	for _, e := range n.table.zones[n.self.record.Zone] {
		if e.status == Alive && !e.record.Leaving {
			hosts = append(hosts, e.record.Host)
		}
	}
	return rendezvous.Top("bridge to "+zone, hosts, n.cfg.Bridges)
}

// bridgedZones returns the zones that this host is a bridge to.
func (n *Node) bridgedZones() []string {
	var zones []string
	for _, zone := range n.otherZones() {
		if slices.Contains(n.bridgesTo(zone), n.self.record.Host) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// probeZones probes one member of each zone that this host bridges to and
// reports the zones from which nothing is heard.
func (n *Node) probeZones(now time.Time) {
	bridged := n.bridgedZones()
	n.resetLinks(bridged)
	for _, zone := range bridged {
		if _, ok := n.links.heard[zone]; !ok {
			n.links.heard[zone] = now
		}
		for _, e := range n.pick(zone, 1, notDead) {
			n.number++
			p := &probe{target: e.record.Host, sent: now, remote: true}
			n.probes[n.number] = p
			n.sendProbe(n.number, p, e, now)
			n.reportSilence(zone, now)
		}
	}
}

// resetLinks drops what was heard of zones that this host does not bridge to,
// so that a new bridge starts to listen afresh.
func (n *Node) resetLinks(bridged []string) {
	for zone := range n.links.heard {
		if !slices.Contains(bridged, zone) {
			delete(n.links.heard, zone)
		}
	}
}

func (n *Node) reportSilence(zone string, now time.Time) {
	if now.Sub(n.links.heard[zone]) < n.cfg.zoneTimeout() {
		return
	}
	ttl := n.cfg.unreachableTTL()
	if now.Sub(n.links.reported[zone]) < ttl/2 {
		return
	}
	n.links.reported[zone] = now
	n.mergeNotice(Update{Host: n.self.record.Host, TTL: ttl, Unreachable: &Unreachable{Zone: zone}}, now)
}

// checkLinks takes a zone for unreachable while most bridges to it say so. Its
// members are then suspect, never dead.
func (n *Node) checkLinks(now time.Time) {
	reporters := make(map[string][]string)
	for _, notice := range n.notices.all(now) {
		if notice.Unreachable != nil {
			zone := notice.Unreachable.Zone
			reporters[zone] = append(reporters[zone], notice.Host)
		}
	}
	for _, zone := range n.otherZones() {
		down := n.mostReport(n.bridgesTo(zone), reporters[zone])
		if down == n.links.down[zone] {
			continue
		}
		n.links.down[zone] = down
		for _, e := range n.table.zones[zone] {
			n.changed[e.record.Host] = struct{}{}
		}
	}
}

func (n *Node) mostReport(bridges, reporters []string) bool {
	count := 0
	for _, bridge := range bridges {
		if slices.Contains(reporters, bridge) {
			count++
		}
	}
	return 2*count > len(bridges)
}
