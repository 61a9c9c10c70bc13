package daemon

import (
	"slices"

	"sassafrasnotch.example/coord/gossip"
)

// knownZones returns the availability zones of all members, dead ones included, and of this daemon, sorted.
func knownZones(own string, members []gossip.Member) []string {
	zones := []string{own}
	for i := range members {
		zones = append(zones, members[i].Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}
