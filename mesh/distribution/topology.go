package distribution

import (
	"slices"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
	"sassafrasnotch.example/mesh/readers"
)

// usable reports whether a member can be asked or told something.
func usable(member *gossip.Member) bool {
	return member.Status != gossip.Dead && !member.Leaving
}

// zoneHosts returns the usable hosts of the zone in rendezvous order, with this
// host among them.
func (d *Distributor) zoneHosts() []string {
	hosts := []string{d.self.Host}
	for _, member := range d.members.Members() {
		if member.Zone == d.self.Zone && member.Host != d.self.Host && usable(&member) {
			hosts = append(hosts, member.Host)
		}
	}
	return rendezvous.Rank("reader/"+d.self.Zone, hosts)
}

// IsZoneReader reports whether this host reads the platform for its zone.
func (d *Distributor) IsZoneReader() bool {
	ranked := readers.Rank(d.self.Host, d.self.Zone, d.members.Members())
	return slices.Contains(ranked[:min(readersPerZone, len(ranked))], d.self.Host)
}

// otherZones returns the usable hosts of each other zone, its readers first.
func (d *Distributor) otherZones() [][]string {
	zones := make(map[string][]string)
	for _, member := range d.members.Members() {
		if member.Zone != d.self.Zone && usable(&member) {
			zones[member.Zone] = append(zones[member.Zone], member.Host)
		}
	}
	ranked := make([][]string, 0, len(zones))
	for zone, hosts := range zones {
		ranked = append(ranked, rendezvous.Rank("reader/"+zone, hosts))
	}
	return ranked
}

// others returns the usable hosts other than this one, those of the own zone
// first and in rendezvous order.
func (d *Distributor) others() []string {
	own := slices.DeleteFunc(d.zoneHosts(), func(host string) bool { return host == d.self.Host })
	var foreign []string
	for _, member := range d.members.Members() {
		if member.Zone != d.self.Zone && usable(&member) {
			foreign = append(foreign, member.Host)
		}
	}
	return append(own, rendezvous.Rank("reader/"+d.self.Host, foreign)...)
}

// address returns the peer address of a host, or "" if it is unknown.
func (d *Distributor) address(host string) string { return d.member(host).PeerAddress }

// zoneOf returns the zone of a host, or "" if it is unknown.
func (d *Distributor) zoneOf(host string) string { return d.member(host).Zone }

// member returns what is known of a host.
func (d *Distributor) member(host string) gossip.Member {
	for _, member := range d.members.Members() {
		if member.Host == host {
			return member
		}
	}
	return gossip.Member{}
}

// branches splits the hosts into at most fanOut groups of nearly equal size.
// The first host of a group is a child, which relays to the rest.
func branches(hosts []string) [][]string {
	count := min(fanOut, len(hosts))
	groups := make([][]string, count)
	for i, host := range hosts {
		groups[i%count] = append(groups[i%count], host)
	}
	return groups
}
