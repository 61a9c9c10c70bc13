package quota

import (
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
)

// maxRoots is the number of hosts of a zone that others try as root before they turn to the next zone.
const maxRoots = 2

// unknownZoneSize is the number of daemons that a daemon assumes in its zone while it knows no other daemon at
// all, as one that restarts while it is cut off. It is more than the zones of today's deployments have.
const unknownZoneSize = 64

// View is what a member list tells about the coordinators.
type View struct {
	// Candidates are the hosts of the zone that may be its coordinator, the preferred one first.
	Candidates []string
	// Known are the members of the zone that are not leaving, and Alive those of them that are not dead.
	Known, Alive int
	// Alone means that no other daemon is known though the settings list other zones. Known is a guess then.
	Alone bool
	// Coordinators are the hosts that may be the coordinators, by zone, the preferred ones first.
	Coordinators map[string][]string
	// Zones is the number of zones.
	Zones int
}

// NewView returns the view of a host. zones are the zones that the settings list; others may be known from
// members.
func NewView(self, zone string, zones []string, members []gossip.Member) View {
	view := View{Known: 1, Alive: 1, Coordinators: make(map[string][]string)}
	names := map[string]bool{zone: true}
	for _, name := range zones {
		names[name] = true
	}
	others := 0
	available := map[string][]string{zone: {self}}
	for i := range members {
		member := &members[i]
		names[member.Zone] = true
		if member.Leaving || member.Host == self {
			continue
		}
		others++
		if member.Zone == zone {
			view.Known++
			if member.Status != gossip.Dead {
				view.Alive++
			}
		}
		if member.Status == gossip.Alive {
			available[member.Zone] = append(available[member.Zone], member.Host)
		}
	}
	for name, hosts := range available {
		view.Coordinators[name] = rendezvous.Top("quota/"+name, hosts, maxRoots)
	}
	view.Candidates = rendezvous.Top("quota/"+zone, available[zone], maxCandidates)
	view.Zones = len(names)
	if others == 0 && len(names) > 1 {
		view.Alone, view.Known = true, unknownZoneSize
	}
	return view
}
