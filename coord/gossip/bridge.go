package gossip

import (
	"slices"
	"time"

	"sassafrasnotch.example/coord/rendezvous"
)

// links is the state of the connections to the remote zones.
type links struct {
	// lastReceived is when a message last arrived from a zone.
	lastReceived map[string]time.Time
	// lastReported is when this host last reported a zone unreachable.
	lastReported map[string]time.Time
	// unreachable holds the zones that most of their bridges report unreachable.
	unreachable map[string]bool
	// bridges caches the bridges to each zone while bridgesValid is set.
	bridges      map[string][]string
	bridgesValid bool
}

func newLinks() links {
	return links{
		lastReceived: make(map[string]time.Time),
		lastReported: make(map[string]time.Time),
		unreachable:  make(map[string]bool),
	}
}

// bridgesTo returns the members of the local zone that rank highest for the remote zone by
// rendezvous hashing.
func (n *Node) bridgesTo(zone string) []string {
	if !n.links.bridgesValid {
		n.links.bridges = make(map[string][]string)
		n.links.bridgesValid = true
	}
	if cached, ok := n.links.bridges[zone]; ok {
		return cached
	}
	bridges := n.rankBridges(zone)
	n.links.bridges[zone] = bridges
	return bridges
}

// rankBridges ranks the members of the local zone that are alive and not leaving.
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
	for _, zone := range n.remoteZones() {
		if slices.Contains(n.bridgesTo(zone), n.self.record.Host) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// probeRemoteZones probes one member of each zone that this host is a bridge to, and reports
// the zones from which no message arrives.
func (n *Node) probeRemoteZones(now time.Time) {
	bridged := n.bridgedZones()
	n.dropUnbridged(bridged)
	for _, zone := range bridged {
		if _, ok := n.links.lastReceived[zone]; !ok {
			n.links.lastReceived[zone] = now
		}
		for _, e := range n.sample(zone, 1, notDead) {
			n.probeNumber++
			p := &probe{target: e.record.Host, sent: now, remote: true}
			n.probes[n.probeNumber] = p
			n.sendProbe(n.probeNumber, p, e, now)
			n.reportUnreachable(zone, now)
		}
	}
}

// dropUnbridged deletes the reception times of zones that this host is not a bridge to, so that
// a new bridge waits a whole zone timeout before it reports.
func (n *Node) dropUnbridged(bridged []string) {
	for zone := range n.links.lastReceived {
		if !slices.Contains(bridged, zone) {
			delete(n.links.lastReceived, zone)
		}
	}
}

// reportUnreachable publishes that a zone is unreachable, if no message has arrived from it for
// the zone timeout and the last report is due for renewal.
func (n *Node) reportUnreachable(zone string, now time.Time) {
	if now.Sub(n.links.lastReceived[zone]) < n.cfg.zoneTimeout() {
		return
	}
	ttl := n.cfg.unreachableTTL()
	if now.Sub(n.links.lastReported[zone]) < ttl/2 {
		return
	}
	n.links.lastReported[zone] = now
	n.mergeUpdate(Update{Host: n.self.record.Host, TTL: ttl, Unreachable: &Unreachable{Zone: zone}}, now)
}

// checkLinks marks a zone as unreachable while most of the bridges to it report so. Its members
// are then suspect, never dead.
func (n *Node) checkLinks(now time.Time) {
	reporters := make(map[string][]string)
	for _, update := range n.updates.all(now) {
		if update.Unreachable != nil {
			zone := update.Unreachable.Zone
			reporters[zone] = append(reporters[zone], update.Host)
		}
	}
	for _, zone := range n.remoteZones() {
		unreachable := n.majorityReports(n.bridgesTo(zone), reporters[zone])
		if unreachable == n.links.unreachable[zone] {
			continue
		}
		n.links.unreachable[zone] = unreachable
		for _, e := range n.table.zones[zone] {
			n.changed[e.record.Host] = struct{}{}
		}
	}
}

// majorityReports reports whether more than half of the bridges are among the reporters.
func (n *Node) majorityReports(bridges, reporters []string) bool {
	count := 0
	for _, bridge := range bridges {
		if slices.Contains(reporters, bridge) {
			count++
		}
	}
	return 2*count > len(bridges)
}
