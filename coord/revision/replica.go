package revision

import (
	"slices"
	"time"
)

const (
	// quorum is the number of other hosts that must hold a change before this host applies it,
	// so that a restart of this host can't lose the latest revision.
	quorum = 2
	// maxRecentChanges is the number of applied changes kept to send to other replicas.
	maxRecentChanges = 128
)

// Replica is one host's copy of the configuration: the applied snapshot and the changes staged
// after it. It performs no I/O and is not safe for concurrent use; the caller serializes access.
//
// The applied revision never decreases. A change is staged only if it applies to the result of
// the change before it, and is applied once two other hosts hold it or it has waited for
// maxWait.
type Replica struct {
	self    string // name of this host
	maxWait time.Duration
	applied *Snapshot
	staged  []stagedChange
	recent  []EncodedChange // applied changes, newest last, at most maxRecentChanges
}

// stagedChange is a valid change that is not in force yet.
type stagedChange struct {
	encoded  EncodedChange
	result   *Snapshot // state after the change
	holders  []string  // other hosts that hold the change
	stagedAt time.Time
}

// NewReplica returns an empty replica of the host self. maxWait bounds how long a change waits
// for other hosts to hold it.
func NewReplica(self string, maxWait time.Duration) *Replica {
	return &Replica{self: self, maxWait: maxWait, applied: Empty()}
}

// Applied returns the applied snapshot, which is in force on this host.
func (r *Replica) Applied() *Snapshot { return r.applied }

// Latest returns the result of the newest staged change, or the applied snapshot if none is
// staged.
func (r *Replica) Latest() *Snapshot {
	if len(r.staged) == 0 {
		return r.applied
	}
	return r.staged[len(r.staged)-1].result
}

// Stage adds a change and the hosts known to hold it. If the change is staged already, only the
// holders are added; if it is applied already, nothing happens. The error wraps ErrGap if the
// change does not follow the latest snapshot, or ErrCorrupt, ErrInvalid or ErrHash if the change
// is rejected.
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
	entry := stagedChange{encoded: encoded, result: result, stagedAt: now}
	entry.addHolders(r.self, holders)
	r.staged = append(r.staged, entry)
	return nil
}

// addHolders adds hosts other than self to the holders, each once.
func (s *stagedChange) addHolders(self string, holders []string) {
	for _, holder := range holders {
		if holder != self && !slices.Contains(s.holders, holder) {
			s.holders = append(s.holders, holder)
		}
	}
}

// Confirm records that the hosts hold the staged changes up to the revision.
func (r *Replica) Confirm(revision uint64, holders []string) {
	for i := range r.staged {
		if r.staged[i].encoded.Revision <= revision {
			r.staged[i].addHolders(r.self, holders)
		}
	}
}

// Advance applies the staged changes up to the last one that a quorum of other hosts holds or
// that has waited for maxWait. It reports whether the applied snapshot changed. All changes up to
// that one are applied, because a host that holds a change holds all changes before it.
func (r *Replica) Advance(now time.Time) bool {
	last := -1
	for i := range r.staged {
		if len(r.staged[i].holders) >= quorum || now.Sub(r.staged[i].stagedAt) >= r.maxWait {
			last = i
		}
	}
	if last < 0 {
		return false
	}
	r.applyThrough(last)
	return true
}

// applyThrough applies the staged changes up to and including index i.
func (r *Replica) applyThrough(i int) {
	for _, entry := range r.staged[:i+1] {
		r.applied = entry.result
		r.recent = append(r.recent, entry.encoded)
	}
	r.staged = slices.Clone(r.staged[i+1:])
	if excess := len(r.recent) - maxRecentChanges; excess > 0 {
		r.recent = slices.Clone(r.recent[excess:])
	}
}

// ApplyThrough applies the staged changes up to the revision, which is in force on another host.
// It reports whether the applied snapshot changed.
func (r *Replica) ApplyThrough(revision uint64) bool {
	if revision <= r.applied.revision || len(r.staged) == 0 {
		return false
	}
	i := min(int(revision-r.applied.revision), len(r.staged)) - 1
	r.applyThrough(i)
	return true
}

// Install applies a verified snapshot if it is newer than the applied one, and drops the staged
// changes that it covers. It reports whether the applied snapshot changed.
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

// ChangesAfter returns the applied changes after the revision. It reports false if they are no
// longer kept; the requesting host then needs the whole snapshot.
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

// Pending returns the revision of the newest staged change and the time at which the oldest one
// was staged; ok is false if none is staged.
func (r *Replica) Pending() (newest uint64, since time.Time, ok bool) {
	if len(r.staged) == 0 {
		return 0, time.Time{}, false
	}
	return r.staged[len(r.staged)-1].encoded.Revision, r.staged[0].stagedAt, true
}

// Staged returns the staged changes in the order of their revisions.
func (r *Replica) Staged() []EncodedChange {
	changes := make([]EncodedChange, 0, len(r.staged))
	for _, entry := range r.staged {
		changes = append(changes, entry.encoded)
	}
	return changes
}
