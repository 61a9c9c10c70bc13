package source

import (
	"maps"
	"slices"
	"time"

	"sassafrasnotch.example/coord/store"
)

// EvacuationRow is an operator's order to send nothing more to the targets of an availability zone, or the
// removal of one.
type EvacuationRow struct {
	Zone string `json:"zone"`
	// Position is the position of the store at which the row was written or removed, in the era in which it
	// was read.
	Position store.Position `json:"written"`
	Removed  bool           `json:"removed,omitempty"`
}

// formerEvacuation is the order for a zone, or its absence, in a former era of the store, where the copy that
// the store came back from has the opposite.
type formerEvacuation struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	// ReadAt is the position at which the copy was first read. What was written later is no part of it.
	ReadAt store.Position `json:"readAt"`
}

// evacuationSet holds all orders of one daemon as it sends them to another. Unlike a configuration, an order
// ends by the removal of its row. The set therefore states how far it is complete: an older row that it
// lacks was removed, and no daemon takes that row from another one again.
type evacuationSet struct {
	// AsOf is the position up to which the rows are complete.
	AsOf store.Position `json:"asOf"`
	// Version is the position at which the content was known to have changed last.
	Version store.Position `json:"version"`
	// Revision is the position of the last write or removal of an order.
	Revision store.Position  `json:"revision,omitempty"`
	Rows     []EvacuationRow `json:"rows,omitempty"`
	// Former lists the zones in dispute after the store came back from an older copy.
	Former []formerEvacuation `json:"former,omitempty"`
	// SettledEra is the latest era in which no zone is in dispute any more.
	SettledEra uint64 `json:"settledEra,omitempty"`
}

// evacuations holds the newest known orders to evacuate zones. Sets and rows may be added in any order and
// any number of times. Like rowState it performs no I/O and is not safe for concurrent use.
type evacuations struct {
	asOf, version, revision store.Position
	// rows holds the orders by zone, and the removals that are newer than asOf.
	rows       map[string]EvacuationRow
	former     map[string]heldEvacuation
	settledEra uint64
}

// heldEvacuation is a formerEvacuation that applies up to a time.
type heldEvacuation struct {
	formerEvacuation
	until time.Time
}

func newEvacuations() evacuations {
	return evacuations{rows: make(map[string]EvacuationRow), former: make(map[string]heldEvacuation)}
}

// zones returns the evacuated zones, sorted.
func (e *evacuations) zones() []string {
	var zones []string
	for zone := range e.rows {
		if e.evacuated(zone) {
			zones = append(zones, zone)
		}
	}
	for zone, former := range e.former {
		if _, listed := e.rows[zone]; !listed && former.Evacuated {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// evacuationState is what a snapshot has of the evacuations.
type evacuationState struct {
	zones    []string
	revision store.Position
}

func (e *evacuations) state() evacuationState { return evacuationState{e.zones(), e.revision} }

// evacuated reports whether an order for the zone is in force.
func (e *evacuations) evacuated(zone string) bool {
	if former, ok := e.former[zone]; ok {
		return former.Evacuated
	}
	return e.ordered(zone)
}

// ordered reports whether the store has an order for the zone, as far as is known.
func (e *evacuations) ordered(zone string) bool {
	row, ok := e.rows[zone]
	return ok && !row.Removed
}

// set returns all that is held, as it is sent to other daemons.
func (e *evacuations) set() *evacuationSet {
	set := &evacuationSet{AsOf: e.asOf, Version: e.version, Revision: e.revision, SettledEra: e.settledEra}
	for _, zone := range slices.Sorted(maps.Keys(e.rows)) {
		set.Rows = append(set.Rows, e.rows[zone])
	}
	for _, zone := range slices.Sorted(maps.Keys(e.former)) {
		set.Former = append(set.Former, e.former[zone].formerEvacuation)
	}
	return set
}

// addRead adds all rows as of a read of the store, in which a missing row was removed.
func (e *evacuations) addRead(rows []EvacuationRow, through store.Position, now time.Time) (changed bool) {
	return e.merge(&evacuationSet{AsOf: through, Rows: rows}, now)
}

// addChanges adds the rows that the change feed had up to a position of the store. The feed goes on where the
// rows held are complete, so that they are complete up to that position then.
func (e *evacuations) addChanges(rows []EvacuationRow, through store.Position) (changed bool) {
	before := e.state()
	for _, row := range rows {
		if row.Position > e.knownAt(row.Zone) {
			e.rows[row.Zone] = row
		}
	}
	if e.asOf != 0 && through.Era() == e.asOf.Era() {
		e.asOf = max(e.asOf, through)
	}
	return e.finish(before)
}

// knownAt returns the position up to which the state of a zone is known.
func (e *evacuations) knownAt(zone string) store.Position { return max(e.asOf, e.rows[zone].Position) }

// merge adds the set of another daemon, or of a read of the store. For each zone the later knowledge
// applies, whichever of the two it is.
func (e *evacuations) merge(set *evacuationSet, now time.Time) (changed bool) {
	before := e.state()
	other := make(map[string]EvacuationRow, len(set.Rows))
	for _, row := range set.Rows {
		other[row.Zone] = row
	}
	switch {
	case e.asOf != 0 && set.AsOf.Era() > e.asOf.Era():
		e.startEra(other, set.AsOf, now)
	case set.AsOf.Era() >= e.asOf.Era():
		e.mergeRows(other, set.AsOf)
	}
	e.revision = max(e.revision, set.Revision)
	e.version = max(e.version, set.Version)
	e.mergeFormer(set, now)
	return e.finish(before)
}

func (e *evacuations) mergeRows(other map[string]EvacuationRow, asOf store.Position) {
	for zone := range e.rows {
		if _, listed := other[zone]; !listed && asOf > e.knownAt(zone) {
			delete(e.rows, zone)
		}
	}
	for zone, row := range other {
		if max(asOf, row.Position) > e.knownAt(zone) {
			e.rows[zone] = row
		}
	}
	e.asOf = max(e.asOf, asOf)
}

// startEra takes the rows of an older copy that the store came back from. Where they differ from what is in
// force, the order or its removal was acknowledged in the former era, so that it stays in force until the
// operator writes either again, for at most outdatedHold.
func (e *evacuations) startEra(rows map[string]EvacuationRow, asOf store.Position, now time.Time) {
	held := e.zones()
	e.rows, e.former, e.asOf = rows, make(map[string]heldEvacuation), asOf
	hold := func(zone string, evacuated bool) {
		e.former[zone] = heldEvacuation{formerEvacuation{zone, evacuated, asOf}, now.Add(outdatedHold)}
	}
	for _, zone := range held {
		if !e.ordered(zone) {
			hold(zone, true)
		}
	}
	for zone := range rows {
		if e.ordered(zone) && !slices.Contains(held, zone) {
			hold(zone, false)
		}
	}
	e.version = max(e.version, asOf)
}

// mergeFormer adds the zones that are in dispute at another daemon.
func (e *evacuations) mergeFormer(set *evacuationSet, now time.Time) {
	e.settledEra = max(e.settledEra, set.SettledEra)
	if e.settledEra >= e.asOf.Era() {
		clear(e.former)
		return
	}
	for _, former := range set.Former {
		if _, held := e.former[former.Zone]; !held && former.ReadAt.Era() == e.asOf.Era() {
			e.former[former.Zone] = heldEvacuation{former, now.Add(outdatedHold)}
		}
	}
}

// expire ends the disputes that are older than outdatedHold, after which the rows of the store apply.
func (e *evacuations) expire(now time.Time) (changed bool) {
	before := e.state()
	for _, former := range e.former {
		if !now.Before(former.until) {
			clear(e.former)
			e.settledEra = e.asOf.Era()
			e.version = max(e.version+1, e.asOf)
			break
		}
	}
	return e.finish(before)
}

// finish drops what is decided, moves the version on if the content has changed, and reports whether the
// state differs from that before.
func (e *evacuations) finish(before evacuationState) (changed bool) {
	for zone, row := range e.rows {
		e.revision = max(e.revision, row.Position)
		if former, ok := e.former[zone]; ok && row.Position > former.ReadAt {
			delete(e.former, zone)
		}
		if row.Removed && row.Position <= e.asOf {
			delete(e.rows, zone)
		}
	}
	for zone, former := range e.former {
		if former.Evacuated == e.ordered(zone) {
			delete(e.former, zone)
		}
	}
	after := e.state()
	zonesChanged := !slices.Equal(before.zones, after.zones)
	if zonesChanged || e.version == 0 {
		e.version = max(e.version, e.asOf, e.revision)
	}
	return zonesChanged || before.revision != after.revision
}
