package distribution

import (
	"slices"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
	"sassafrasnotch.example/mesh/readers"
)

// isActive reports whether a member can be sent requests: it is neither dead nor leaving.
func isActive(member *gossip.Member) bool {
	return member.Status != gossip.Dead && !member.Leaving
}

// localZoneHosts returns the active hosts of the local zone in rendezvous order, this host
// included.
func (d *Distributor) localZoneHosts() []string {
	hosts := []string{d.self.Host}
	for _, member := range d.membership.Members() {
		if member.Zone == d.self.Zone && member.Host != d.self.Host && isActive(&member) {
			hosts = append(hosts, member.Host)
		}
	}
	return rendezvous.Rank("reader/"+d.self.Zone, hosts)
}

// IsZoneReader reports whether this host reads the store for its zone.
func (d *Distributor) IsZoneReader() bool {
	ranked := readers.Rank(d.self.Host, d.self.Zone, d.membership.Members())
	return slices.Contains(ranked[:min(readersPerZone, len(ranked))], d.self.Host)
}

// remoteZoneHosts returns the active hosts of each remote zone in rendezvous order, the zone
// readers first.
func (d *Distributor) remoteZoneHosts() [][]string {
	zones := make(map[string][]string)
	for _, member := range d.membership.Members() {
		if member.Zone != d.self.Zone && isActive(&member) {
			zones[member.Zone] = append(zones[member.Zone], member.Host)
		}
	}
	ranked := make([][]string, 0, len(zones))
	for zone, hosts := range zones {
		ranked = append(ranked, rendezvous.Rank("reader/"+zone, hosts))
	}
	return ranked
}

// otherHosts returns the active hosts other than this one: those of the local zone, then those of
// the remote zones, each in rendezvous order.
func (d *Distributor) otherHosts() []string {
	local := slices.DeleteFunc(d.localZoneHosts(), func(host string) bool { return host == d.self.Host })
	var remote []string
	for _, member := range d.membership.Members() {
		if member.Zone != d.self.Zone && isActive(&member) {
			remote = append(remote, member.Host)
		}
	}
	return append(local, rendezvous.Rank("reader/"+d.self.Host, remote)...)
}

// peerAddress returns the peer address of a host, or "" if the host is unknown.
func (d *Distributor) peerAddress(host string) string { return d.member(host).PeerAddress }

// zoneOf returns the zone of a host, or "" if it is unknown.
func (d *Distributor) zoneOf(host string) string { return d.member(host).Zone }

// member returns the host's entry in the member list, or an empty one if the host is unknown.
func (d *Distributor) member(host string) gossip.Member {
	for _, member := range d.membership.Members() {
		if member.Host == host {
			return member
		}
	}
	return gossip.Member{}
}

// relayBranches splits the hosts into at most relayFanout groups of nearly equal size. The first
// host of a group is a child in the relay tree and relays to the others.
func relayBranches(hosts []string) [][]string {
	count := min(relayFanout, len(hosts))
	groups := make([][]string, count)
	for i, host := range hosts {
		groups[i%count] = append(groups[i%count], host)
	}
	return groups
}
