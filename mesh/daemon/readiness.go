package daemon

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/acceptor"
	"sassafrasnotch.example/mesh/membership"
)

// targetWait bounds how long a daemon that has a configuration waits until it knows a target of
// each service: a few rounds of gossip. A service may have no targets.
const targetWait = 4 * time.Second

// readiness determines whether the daemon is ready for requests: from the time at which it has a
// configuration and knows targets, until it begins to stop, except while it is isolated or can't accept
// connections: its callers are served better elsewhere.
type readiness struct {
	configuration configuration
	members       memberView
	ports         portView
	logger        *zap.Logger
	stopping      atomic.Bool
	isolated      atomic.Bool // as last observed
	notAccepting  atomic.Bool // as last observed

	mu           sync.Mutex
	becameReady  bool
	configuredAt time.Time // when a configuration was first observed
}

// memberView is what readiness depends on of the membership.
type memberView interface {
	Members() []gossip.Member
	// Isolated reports whether this host receives nothing from the other members.
	Isolated() bool
}

// portView is what readiness depends on of the ports.
type portView interface {
	// Accepting reports whether every port accepts connections.
	Accepting(now time.Time) bool
}

func newReadiness(c configuration, members *membership.Membership, ports *acceptor.Ports, logger *zap.Logger) *readiness {
	return &readiness{configuration: c, members: members, ports: ports, logger: logger}
}

// Ready reports whether the daemon is ready for requests.
func (r *readiness) Ready() bool {
	now := time.Now()
	return !r.stopping.Load() && r.readyAt(now) && !r.observeIsolation() && r.observeAccepting(now)
}

// observeAccepting reports whether the ports accept connections, and logs changes.
func (r *readiness) observeAccepting(now time.Time) bool {
	accepting := r.ports.Accepting(now)
	if r.notAccepting.Swap(!accepting) == accepting {
		if accepting {
			r.logger.Info("all ports accept connections again")
		} else {
			r.logger.Warn("a port does not accept connections, not ready")
		}
	}
	return accepting
}

// observeIsolation reports whether this host is isolated, and logs changes.
func (r *readiness) observeIsolation() bool {
	isolated := r.members.Isolated()
	if r.isolated.Swap(isolated) == isolated {
		return isolated
	}
	if isolated {
		r.logger.Warn("isolated from the other daemons, not ready")
	} else {
		r.logger.Info("other daemons reached again")
	}
	return isolated
}

// readyAt reports whether the daemon has a configuration and knows targets. Once true, it stays true.
func (r *readiness) readyAt(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.becameReady {
		return true
	}
	snapshot := r.configuration.Snapshot()
	if snapshot == nil {
		return false
	}
	if r.configuredAt.IsZero() {
		r.configuredAt = now
	}
	r.becameReady = now.Sub(r.configuredAt) >= targetWait || allServicesHaveTargets(snapshot, r.members.Members())
	return r.becameReady
}

// stop makes the daemon unready.
func (r *readiness) stop() { r.stopping.Store(true) }

// allServicesHaveTargets reports whether a target that is not leaving is known for each service of
// the configuration.
func allServicesHaveTargets(snapshot *revision.Snapshot, members []gossip.Member) bool {
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
