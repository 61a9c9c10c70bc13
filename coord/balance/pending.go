package balance

import (
	"time"

	"sassafrasnotch.example/coord/gossip"
)

// PendingVersions holds back versions that have just appeared at a service which others
// serve already. A share for AnyVersion would take them for as good as the rest,
// while the order that moves traffic to them step by step may still be on its way. The
// load that it answers: a bad version whose targets are known here before its order is.
// It is not safe for concurrent use.
type PendingVersions struct {
	hold  time.Duration
	began time.Duration
	seen  map[VersionKey]time.Duration // when each version appeared
}

// NewPendingVersions returns a record that holds versions back for the time that an order
// may take to come into force. What appears within that time of the first view is
// taken for known: this daemon is the newcomer then.
func NewPendingVersions(hold, now time.Duration) *PendingVersions {
	return &PendingVersions{hold: hold, began: now, seen: make(map[VersionKey]time.Duration)}
}

// Update takes in a view of the members. It returns the versions that are held back, and
// how long until the first of them no longer is.
func (n *PendingVersions) Update(members []gossip.Member, now time.Duration) (held []VersionKey, next time.Duration) {
	present := make(map[VersionKey]bool)
	for i := range members {
		if !accepts(&members[i]) {
			continue
		}
		for _, target := range members[i].Targets {
			if target.State != gossip.TargetLeaving {
				present[VersionKey{target.Service, target.Version}] = true
			}
		}
	}
	settled := make(map[string]bool) // services with a version that is not held back
	for key := range present {
		since, known := n.seen[key]
		if !known {
			since = now
			n.seen[key] = since
		}
		settled[key.Service] = settled[key.Service] || n.passed(since, now)
	}
	for key := range present {
		since := n.seen[key]
		if n.passed(since, now) || !settled[key.Service] {
			continue
		}
		held = append(held, key)
		if left := since + n.hold - now; next == 0 || left < next {
			next = left
		}
	}
	return held, next
}

// passed reports whether a version that appeared at a time is held back no more.
func (n *PendingVersions) passed(since, now time.Duration) bool {
	return since < n.began+n.hold || now >= since+n.hold
}
