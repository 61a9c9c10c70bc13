package revision

import (
	"slices"
	"time"
)

const (
	// quorum is the number of other hosts that must hold a change before this
	// host applies it, so that its restart can't lose the newest revision.
	quorum = 2
	// recentChanges is the number of applied changes kept for other replicas.
	recentChanges = 128
)

// Replica is the state of one host's copy of the configuration: the applied
// snapshot and the changes staged after it. It is a pure state machine; the
// caller serialises its calls.
//
// The applied revision never falls. A change is staged only if it applies
// cleanly to the one before it, and is applied once two other hosts hold it or
// it has waited for maxWait.
type Replica struct {
	self    string
	maxWait time.Duration
	applied *Snapshot
	staged  []staged
	recent  []EncodedChange
}

// staged is a change that applies cleanly but is not in force yet.
type staged struct {
	encoded EncodedChange
	result  *Snapshot
	holders []string
	since   time.Time
}

// NewReplica returns an empty replica. maxWait bounds the time that a change
// waits for other holders.
func NewReplica(self string, maxWait time.Duration) *Replica {
	return &Replica{self: self, maxWait: maxWait, applied: Empty()}
}

// Applied returns the snapshot in force.
func (r *Replica) Applied() *Snapshot { return r.applied }

// Latest returns the newest snapshot that is staged, or the applied one.
func (r *Replica) Latest() *Snapshot {
	if len(r.staged) == 0 {
		return r.applied
	}
	return r.staged[len(r.staged)-1].result
}

// Stage adds a change with the hosts known to hold it. A change that is known
// already only adds its holders. The error wraps ErrGap if the change does not
// follow the tip, or states why the change was rejected.
func (r *Replica) Stage(encoded EncodedChange, holders []string, now time.Time) error {
	if encoded.Revision <= r.applied.revision {
		return nil
	}
	if i := int(encoded.Revision-r.applied.revision) - 1; i < len(r.staged) {
		r.staged[i].addHolders(r.self, holders)
		return nil
	}
	change, err := DecodeChange(encoded.Value)
	if err != nil {
		return err
	}
	result, err := r.Latest().Apply(change)
	if err != nil {
		return err
	}
	entry := staged{encoded: encoded, result: result, since: now}
	entry.addHolders(r.self, holders)
	r.staged = append(r.staged, entry)
	return nil
}

func (s *staged) addHolders(self string, holders []string) {
	for _, holder := range holders {
		if holder != self && !slices.Contains(s.holders, holder) {
			s.holders = append(s.holders, holder)
		}
	}
}

// Confirm records that hosts hold the revision and all before it.
func (r *Replica) Confirm(revision uint64, holders []string) {
	for i := range r.staged {
		if r.staged[i].encoded.Revision <= revision {
			r.staged[i].addHolders(r.self, holders)
		}
	}
}

// Advance applies every staged change up to the last one that has enough
// holders or has waited long enough. It reports whether the applied snapshot
// changed. A holder of a change holds all changes before it.
func (r *Replica) Advance(now time.Time) bool {
	ready := -1
	for i := range r.staged {
		if len(r.staged[i].holders) >= quorum || now.Sub(r.staged[i].since) >= r.maxWait {
			ready = i
		}
	}
	if ready < 0 {
		return false
	}
	r.applyThrough(ready)
	return true
}

// applyThrough moves the staged changes up to index i into force.
func (r *Replica) applyThrough(i int) {
	for _, entry := range r.staged[:i+1] {
		r.applied = entry.result
		r.recent = append(r.recent, entry.encoded)
	}
	r.staged = slices.Clone(r.staged[i+1:])
	if excess := len(r.recent) - recentChanges; excess > 0 {
		r.recent = slices.Clone(r.recent[excess:])
	}
}

// ApplyThrough applies the staged changes up to the revision, which another
// host has in force already. It reports whether the applied snapshot changed.
func (r *Replica) ApplyThrough(revision uint64) bool {
	if revision <= r.applied.revision || len(r.staged) == 0 {
		return false
	}
	i := min(int(revision-r.applied.revision), len(r.staged)) - 1
	r.applyThrough(i)
	return true
}

// Install puts a verified snapshot in force if it is newer than the applied
// one, and drops the changes that it covers.
func (r *Replica) Install(snapshot *Snapshot) bool {
	if snapshot.revision <= r.applied.revision {
		return false
	}
	covered := int(snapshot.revision - r.applied.revision)
	r.applied = snapshot
	r.recent = nil
	if covered >= len(r.staged) {
		r.staged = nil
		return true
	}
	r.staged = slices.Clone(r.staged[covered:])
	return true
}

// ChangesAfter returns the applied changes after the revision. It reports false if
// they are no longer kept, so that the reader needs the snapshot.
func (r *Replica) ChangesAfter(revision uint64) ([]EncodedChange, bool) {
	if revision >= r.applied.revision {
		return nil, true
	}
	for i, encoded := range r.recent {
		if encoded.Revision == revision+1 {
			return slices.Clone(r.recent[i:]), true
		}
	}
	return nil, false
}

// Pending returns the revision of the newest staged change and since when the
// oldest one has waited; ok is false if none is staged.
func (r *Replica) Pending() (newest uint64, since time.Time, ok bool) {
	if len(r.staged) == 0 {
		return 0, time.Time{}, false
	}
	return r.staged[len(r.staged)-1].encoded.Revision, r.staged[0].since, true
}

// Staged returns the staged changes.
func (r *Replica) Staged() []EncodedChange {
	changes := make([]EncodedChange, 0, len(r.staged))
	for _, entry := range r.staged {
		changes = append(changes, entry.encoded)
	}
	return changes
}
