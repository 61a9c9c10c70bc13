package balance

import (
	"time"

	"sassafrasnotch.example/coord/gossip"
)

// PendingVersions records when versions are first observed, and keeps pending those that
// appear at a service which other versions serve already. A share for revision.AnyVersion would
// otherwise send requests to such a version as to the others, before the ticket that rolls it
// out step by step is in force on this daemon. It guards against a bad version whose targets
// are known here before its ticket is. A version is released holdTime after it was first
// observed, and stays released: versions are never forgotten. PendingVersions is not safe for
// concurrent use.
type PendingVersions struct {
	holdTime      time.Duration
	started       time.Duration
	firstObserved map[VersionKey]time.Duration
}

// NewPendingVersions returns a tracker that keeps versions pending for holdTime: the time that
// a ticket may take to come into force. Versions first observed within holdTime after now are
// released at once, since a daemon that has just started can't tell new versions from old ones.
func NewPendingVersions(holdTime, now time.Duration) *PendingVersions {
	return &PendingVersions{holdTime: holdTime, started: now, firstObserved: make(map[VersionKey]time.Duration)}
}

// Update applies a member list. It returns the pending versions, and the time until the first
// of them is released; 0 if none is pending.
func (p *PendingVersions) Update(members []gossip.Member, now time.Duration) (pending []VersionKey, next time.Duration) {
	present := make(map[VersionKey]bool)
	for i := range members {
		if !acceptsWork(&members[i]) {
			continue
		}
		for _, target := range members[i].Targets {
			if target.State != gossip.TargetLeaving {
				present[VersionKey{target.Service, target.Version}] = true
			}
		}
	}
	established := make(map[string]bool) // services with a released version
	for key := range present {
		since, known := p.firstObserved[key]
		if !known {
			since = now
			p.firstObserved[key] = since
		}
		established[key.Service] = established[key.Service] || p.released(since, now)
	}
	for key := range present {
		since := p.firstObserved[key]
		if p.released(since, now) || !established[key.Service] {
			continue
		}
		pending = append(pending, key)
		if remaining := since + p.holdTime - now; next == 0 || remaining < next {
			next = remaining
		}
	}
	return pending, next
}

// released reports whether a version first observed at since can't be pending at now.
func (p *PendingVersions) released(since, now time.Duration) bool {
	return since < p.started+p.holdTime || now >= since+p.holdTime
}
