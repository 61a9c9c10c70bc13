// Package readers chooses the zone readers: the hosts of an availability zone that read the store
// for the other hosts of the zone, which follow them. The load of the store thus grows with the
// number of zones and not with the number of hosts. The choice is by rendezvous hashing; every host
// computes it from its member list, so hosts with equal lists make the same choice.
package readers

import (
	"maps"
	"slices"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
)

const (
	// MinPerZone is the minimum number of zone readers, so that another one remains if one is lost. A
	// zone of one host has one.
	MinPerZone = 2
	// maxFollowersPerReader bounds the number of hosts that follow one zone reader. At 2.5 exchanges
	// per second of 100 bytes each, the followers of one zone reader stay below the 5 KB/s that a
	// host may use for control traffic.
	maxFollowersPerReader = 16
	// fallbackHosts is the number of hosts of its own zone, besides the zone readers, that a zone reader
	// without the store asks.
	fallbackHosts = 2
)

// Count returns the number of zone readers of a zone with the given number of hosts, at least
// MinPerZone even if the zone has fewer hosts.
func Count(hosts int) int {
	const group = maxFollowersPerReader + 1 // a zone reader and its followers
	return max(MinPerZone, (hosts+group-1)/group)
}

// Rank returns self and the alive members of the zone that are not leaving, in the order in which
// they become zone readers. Suspected hosts are left out as if they were gone, so that a host that
// receives nothing from the zone readers reads the store itself.
func Rank(self, zone string, members []gossip.Member) []string {
	hosts := []string{self}
	for i := range members {
		member := &members[i]
		if member.Zone == zone && member.Host != self && isAvailable(member) {
			hosts = append(hosts, member.Host)
		}
	}
	return rendezvous.Rank("reader/"+zone, hosts)
}

// IsReader reports whether self is a zone reader of its zone.
func IsReader(self, zone string, members []gossip.Member) bool {
	return slices.Contains(chosen(Rank(self, zone, members)), self)
}

// HasFollowers reports whether self is a zone reader of its zone and other hosts follow it.
func HasFollowers(self, zone string, members []gossip.Member) bool {
	ranked := Rank(self, zone, members)
	readers := chosen(ranked)
	return len(ranked) > len(readers) && slices.Contains(readers, self)
}

// ChooseFallback returns the hosts that a zone reader asks if it reaches the store neither itself nor
// through the others of its zone: a zone reader of each other zone, and the hosts of its own zone that
// are next in rank, which read the store while they have no current zone reader. The order and the
// choice of the remote ones depend on self, so that the load is spread.
func ChooseFallback(self, zone string, members []gossip.Member) []string {
	zones := make(map[string][]string)
	for i := range members {
		if member := &members[i]; member.Zone != zone && isAvailable(member) {
			zones[member.Zone] = append(zones[member.Zone], member.Host)
		}
	}
	var remote []string
	for _, name := range rendezvous.Rank("remote/"+self, slices.Collect(maps.Keys(zones))) {
		readers := chosen(rendezvous.Rank("reader/"+name, zones[name]))
		remote = append(remote, rendezvous.Top("remote/"+self, readers, 1)...)
	}
	ranked := Rank(self, zone, members)
	next := ranked[len(chosen(ranked)):]
	return append(remote, next[:min(fallbackHosts, len(next))]...)
}

// isAvailable reports whether a member is alive and not leaving.
func isAvailable(member *gossip.Member) bool { return member.Status == gossip.Alive && !member.Leaving }

// chosen returns the zone readers among the ranked hosts of a zone.
func chosen(ranked []string) []string { return ranked[:min(Count(len(ranked)), len(ranked))] }

// Choose returns the zone readers that self should follow, the preferred one first. It returns nil
// if self is a zone reader and followsStore, which states whether self reads the store successfully,
// is true.
func Choose(self, zone string, members []gossip.Member, followsStore bool) []string {
	ranked := Rank(self, zone, members)
	readers := chosen(ranked)
	rank := slices.Index(ranked, self)
	if rank < len(readers) && followsStore {
		return nil
	}
	// The preferred reader depends on the rank, so that the followers are spread over the readers.
	first := rank % len(readers)
	order := slices.Concat(readers[first:], readers[:first])
	return slices.DeleteFunc(order, func(host string) bool { return host == self })
}
