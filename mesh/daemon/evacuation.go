package daemon

import (
	"slices"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
)

// evacuations provides the evacuated zones of the configuration in force.
type evacuations struct{ configuration configuration }

func (e evacuations) evacuated(zone string) bool {
	snapshot := e.configuration.Snapshot()
	return snapshot != nil && snapshot.Evacuated(zone)
}

// evacuationLog logs changes of the evacuated zones, and orders that have no effect or leave no zone. The configuration
// calls it for one snapshot after the other.
type evacuationLog struct {
	logger *zap.Logger
	zones  []string
}

func (l *evacuationLog) logChange(zones, known []string) {
	if slices.Equal(zones, l.zones) {
		return
	}
	l.zones = zones
	l.logger.Info("evacuated zones changed", zap.Strings("evacuated", zones))
	for _, zone := range zones {
		if !slices.Contains(known, zone) {
			l.logger.Warn("no known daemon is in an evacuated zone", zap.String("for_zone", zone), zap.Strings("known", known))
		}
	}
	left := slices.ContainsFunc(known, func(zone string) bool { return !slices.Contains(zones, zone) })
	if !left {
		l.logger.Error("every known zone is evacuated; all requests are refused", zap.Strings("evacuated", zones))
	}
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
