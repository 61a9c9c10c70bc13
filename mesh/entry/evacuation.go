package entry

import (
	"slices"

	"sassafrasnotch.example/coord/gossip"
)

// SetEvacuated sets the availability zones whose targets receive no requests. Their hosts are left out
// before any other choice is made, so that a request that finds no room elsewhere is not sent there either.
func (e *Entry) SetEvacuated(zones []string) { e.routing.setEvacuated(zones) }

func (r *routing) setEvacuated(zones []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if slices.Equal(r.evacuated, zones) {
		return
	}
	r.evacuated = slices.Clone(zones)
	r.index.Store(r.newIndex())
}

// evacuatedZones returns the zones whose targets receive no requests.
func (r *routing) evacuatedZones() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evacuated
}

// usableMembers returns the members outside evacuated zones. The caller holds mutex.
func (r *routing) usableMembers() []gossip.Member {
	if len(r.evacuated) == 0 {
		return r.members
	}
	var usable []gossip.Member
	for i := range r.members {
		if !slices.Contains(r.evacuated, r.members[i].Zone) {
			usable = append(usable, r.members[i])
		}
	}
	return usable
}
