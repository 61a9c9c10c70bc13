package daemon

import (
	"slices"

	"sassafrasnotch.example/coord/gossip"
)

// evacuations provides the evacuated zones of the configuration in force.
type evacuations struct{ configuration configuration }

func (e evacuations) evacuated(zone string) bool {
	snapshot := e.configuration.Snapshot()
	return snapshot != nil && snapshot.Evacuated(zone)
}

// knownZones returns the availability zones of all members, dead ones included, and of this daemon, sorted.
func knownZones(own string, members []gossip.Member) []string {
	zones := []string{own}
	for i := range members {
		zones = append(zones, members[i].Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}
