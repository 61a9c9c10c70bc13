// Package departure keeps the departures of a host's targets beyond a restart of the process that
// acknowledged them. It decides when a departure may be acknowledged and when an announcement may open
// a target. It answers for the time after a restart, in which announcements that were delayed cannot be
// told from those of targets that stay, also while the store is out:
//
//   - A departure is acknowledged only once the store holds it.
//   - An announcement opens a target only once the process knows the departures that earlier processes
//     acknowledged, or has evidence that the target stays.
package departure

import (
	"cmp"
	"slices"
	"time"
)

// Departure records that an incarnation of a target, and each earlier one, left: it announced that it is
// leaving, or was withdrawn.
type Departure struct {
	Instance    string    `json:"instance"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
}

// Policy holds the times of a Ledger.
type Policy struct {
	// Retention is the time for which a departure is kept: longer than an announcement may be delayed.
	Retention time.Duration
	// Evidence is the time over which a target has to go on announcing itself to show that it stays. A
	// target sends nothing after its departure, so it is the longest delay of an announcement.
	Evidence time.Duration
}

// Ledger holds the departures of one host. It is not safe for concurrent use.
// Invariants:
//
//   - A departure is stored if its change number is at most that of the last change stored. Change 0 is
//     that of the departures that were read from the store.
//   - While the ledger is known, nothing is held.
type Ledger struct {
	policy Policy
	known  bool
	// entries are the departures, holds the announced targets that are not opened; both by instance.
	entries map[string]entry
	holds   map[string]hold
	// changes is the number of the last change, stored that of the last one which the store holds.
	changes, stored uint64
}

type entry struct {
	Departure
	change uint64
}

// hold is a target that has announced itself while the departures are unknown.
type hold struct {
	incarnation uint64
	sequence    uint64 // of the first announcement
	since       time.Time
}

// NewLedger returns a ledger without departures. If known is unset, those of earlier processes are unknown
// until Restore.
func NewLedger(policy Policy, known bool) *Ledger {
	return &Ledger{policy: policy, known: known, entries: make(map[string]entry), holds: make(map[string]hold)}
}

// Known reports whether the departures of earlier processes are known.
func (l *Ledger) Known() bool { return l.known }

// Record adds a departure and reports whether it is a new one. Incarnation 0 stands for a target that
// states none, whose departures are not kept.
func (l *Ledger) Record(instance string, incarnation uint64, now time.Time) bool {
	delete(l.holds, instance)
	if incarnation == 0 || l.entries[instance].Incarnation >= incarnation {
		return false
	}
	l.changes++
	l.entries[instance] = entry{Departure{instance, incarnation, now}, l.changes}
	return true
}

// Departed reports whether the incarnation of the target has left.
func (l *Ledger) Departed(instance string, incarnation uint64) bool {
	return incarnation != 0 && incarnation <= l.entries[instance].Incarnation
}

// Departures returns all departures, ordered by instance, and the number of the last change of them.
func (l *Ledger) Departures() (departures []Departure, change uint64) {
	departures = make([]Departure, 0, len(l.entries))
	for _, e := range l.entries {
		departures = append(departures, e.Departure)
	}
	slices.SortFunc(departures, func(a, b Departure) int { return cmp.Compare(a.Instance, b.Instance) })
	return departures, l.changes
}

// Stored records that the store holds all departures up to a change.
func (l *Ledger) Stored(change uint64) { l.stored = max(l.stored, change) }

// MayAcknowledge reports whether the departure of the target may be acknowledged.
func (l *Ledger) MayAcknowledge(instance string) bool { return l.entries[instance].change <= l.stored }

// HasUnstored reports whether the store lacks a departure.
func (l *Ledger) HasUnstored() bool { return l.changes > l.stored }

// Restore adds the departures that the store holds from earlier processes, after which they are known. It
// returns those that were not recorded yet. They count from now on, whatever the clock said when they were
// recorded.
func (l *Ledger) Restore(departures []Departure, now time.Time) []Departure {
	var added []Departure
	for _, d := range departures {
		if now.Sub(d.At) > l.policy.Retention || l.Departed(d.Instance, d.Incarnation) {
			continue
		}
		d.At = now
		l.entries[d.Instance] = entry{Departure: d}
		added = append(added, d)
	}
	l.known = true
	clear(l.holds)
	return added
}

// MayOpen reports whether an announcement may open its target. Otherwise the announcement counts as
// evidence that the target stays. A target that states no incarnation is opened.
func (l *Ledger) MayOpen(instance string, incarnation, sequence uint64, now time.Time) bool {
	if l.Departed(instance, incarnation) {
		return false
	}
	if l.known || incarnation == 0 {
		return true
	}
	held, ok := l.holds[instance]
	if !ok || held.incarnation != incarnation {
		l.holds[instance] = hold{incarnation, sequence, now}
		return false
	}
	return sequence > held.sequence && now.Sub(held.since) >= l.policy.Evidence
}

// Expire forgets departures after the retention, and targets that have been held for as long.
func (l *Ledger) Expire(now time.Time) {
	for instance, e := range l.entries {
		if now.Sub(e.At) > l.policy.Retention {
			delete(l.entries, instance)
		}
	}
	for instance, h := range l.holds {
		if now.Sub(h.since) > l.policy.Retention {
			delete(l.holds, instance)
		}
	}
}
