package entry

import (
	"slices"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
)

// SetEvacuated sets the availability zones whose targets receive no requests. Their hosts are left out
// before any other choice is made, so that a request that finds no room elsewhere is not sent there either.
func (e *Entry) SetEvacuated(zones []string) { e.routing.setEvacuated(zones) }

// maxEvacuations bounds how often a request begins its search again because the zone of the host that had queued it is
// evacuated.
const maxEvacuations = 3

// leftEvacuation reports whether a refusal ended the wait in the queue of a host whose zone is evacuated. The search
// for a host begins again then, since it ended with that queue.
func (c *callerRequest) leftEvacuation(failed *failure, offer balance.Offer) bool {
	if failed.reason != ReasonLeaving || offer.Bounded || c.evacuations >= maxEvacuations {
		return false
	}
	c.evacuations++
	return true
}

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
