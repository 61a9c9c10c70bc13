package ticket

import (
	"fmt"
	"slices"

	"sassafrasnotch.example/coord/revision"
)

// CheckZones returns an error for each evacuation of a zone that is not among the known ones, and one if the
// ticket would leave no known zone. Without known zones it returns none.
func (t *Ticket) CheckZones(state *revision.Snapshot, known []string) []error {
	if len(t.Evacuations) == 0 || len(known) == 0 {
		return nil
	}
	var problems []error
	for i, evacuation := range t.Evacuations {
		if !slices.Contains(known, evacuation.Zone) {
			problems = append(problems, fmt.Errorf("evacuations[%d].zone: no known daemon is in zone %q", i, evacuation.Zone))
		}
	}
	left := slices.ContainsFunc(known, func(zone string) bool { return !t.evacuatedBehind(state, zone) })
	if !left {
		problems = append(problems, fmt.Errorf("evacuations[%d].zone: no zone would be left; every known one is evacuated", len(t.Evacuations)-1))
	}
	return problems
}

// evacuatedBehind reports whether the zone is evacuated once the ticket is in force.
func (t *Ticket) evacuatedBehind(state *revision.Snapshot, zone string) bool {
	if slices.Contains(t.Evacuations, revision.Evacuation{Zone: zone}) {
		return true
	}
	return state.Evacuated(zone) && !slices.Contains(t.Delete, revision.Ref{Kind: revision.KindEvacuation, Name: zone})
}
