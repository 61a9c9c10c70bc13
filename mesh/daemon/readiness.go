package daemon

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/membership"
)

// viewWait bounds how long a daemon that has a configuration waits to hear of a
// target of each service: a few rounds of gossip. A service may have none.
const viewWait = 4 * time.Second

// readiness tells whether the daemon takes requests: once it has a configuration
// and knows of targets to send them to, and until it is asked to stop.
type readiness struct {
	configuration configuration
	members       interface{ Members() []gossip.Member }
	stopping      atomic.Bool

	mu         sync.Mutex
	reached    bool
	configured time.Time // when the configuration was first seen
}

func newReadiness(c configuration, members *membership.Membership) *readiness {
	return &readiness{configuration: c, members: members}
}

// Ready reports whether the daemon takes requests.
func (r *readiness) Ready() bool { return !r.stopping.Load() && r.ready(time.Now()) }

func (r *readiness) ready(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reached {
		return true
	}
	snapshot := r.configuration.Snapshot()
	if snapshot == nil {
		return false
	}
	if r.configured.IsZero() {
		r.configured = now
	}
	r.reached = now.Sub(r.configured) >= viewWait || knowsTargets(snapshot, r.members.Members())
	return r.reached
}

func (r *readiness) stop() { r.stopping.Store(true) }

// knowsTargets reports whether a target of each service of the configuration is
// known.
func knowsTargets(snapshot *revision.Snapshot, members []gossip.Member) bool {
	for _, entry := range snapshot.Entries() {
		if entry.Service == nil {
			continue
		}
		known := slices.ContainsFunc(members, func(m gossip.Member) bool {
			return slices.ContainsFunc(m.Targets, func(t gossip.Target) bool {
				return t.Service == entry.Service.Name && t.State != gossip.TargetLeaving
			})
		})
		if !known {
			return false
		}
	}
	return true
}
