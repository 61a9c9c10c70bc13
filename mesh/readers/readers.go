// Package readers chooses the hosts of an availability zone that read the
// platform's store for the others, so that the store's load grows with the zones
// and not with the hosts. Every host computes the same choice from its view of
// the members.
package readers

import (
	"slices"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
)

const (
	// MinPerZone is the number of readers of a small zone, so that the loss of one
	// leaves another.
	MinPerZone = 2
	// followersEach bounds the hosts that follow one reader: at two and a half
	// exchanges a second of 100 bytes each they stay under the 5 KB/s that a host
	// may spend on control.
	followersEach = 16
)

// Count returns how many readers a zone of that many hosts has.
func Count(hosts int) int {
	const group = followersEach + 1 // a reader with its followers
	return max(MinPerZone, (hosts+group-1)/group)
}

// Rank returns the hosts of the zone that can read, self among them, in the order
// in which they become readers. Hosts that are only suspected count as gone: one
// that can't hear the readers reads for itself.
func Rank(self, zone string, members []gossip.Member) []string {
	hosts := []string{self}
	for i := range members {
		member := &members[i]
		if member.Zone == zone && member.Host != self && member.Status == gossip.Alive && !member.Leaving {
			hosts = append(hosts, member.Host)
		}
	}
	return rendezvous.Rank("reader/"+zone, hosts)
}

// IsReader reports whether self is a reader of its zone.
func IsReader(self, zone string, members []gossip.Member) bool {
	return slices.Contains(chosen(Rank(self, zone, members)), self)
}

func chosen(ranked []string) []string { return ranked[:min(Count(len(ranked)), len(ranked))] }

// Choose returns the readers that self is to follow, the preferred one first. It
// returns none if self is a reader that reaches the store, which direct tells.
func Choose(self, zone string, members []gossip.Member, direct bool) []string {
	ranked := Rank(self, zone, members)
	readers := chosen(ranked)
	own := slices.Index(ranked, self)
	if own < len(readers) && direct {
		return nil
	}
	// Each host begins elsewhere, so that the readers share the followers.
	first := own % len(readers)
	order := slices.Concat(readers[first:], readers[:first])
	return slices.DeleteFunc(order, func(host string) bool { return host == self })
}
