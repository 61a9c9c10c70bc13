// Package gossip decides cluster membership within and between availability
// zones. It is a pure state machine: packets and ticks go in, packets and
// membership changes come out. Liveness is probed after SWIM (Das, Gupta and
// Motivala, 2002); state is spread as rumours on the probes and repaired by
// comparing hashes.
package gossip

// TargetState is the readiness of a target.
type TargetState string

// The states of a target.
const (
	TargetCold    TargetState = "cold"
	TargetReady   TargetState = "ready"
	TargetLeaving TargetState = "leaving"
)

// Target is a process behind a host's daemon that runs a version of a service.
type Target struct {
	Service string
	Version string
	// Slots is the number of requests it runs at once.
	Slots int
	State TargetState
}

// Record is the replicated state of one host. Only the host itself raises
// Incarnation (one for each start) and Sequence (one for each change).
type Record struct {
	Host          string
	Zone          string
	Region        string
	Incarnation   uint64
	Sequence      uint64
	PeerAddress   string // TCP
	GossipAddress string // UDP
	AdminAddress  string // HTTP
	Leaving       bool
	Targets       []Target
}

// NewerThan reports whether r replaces other.
func (r *Record) NewerThan(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Status is the liveness of a member as this host sees it.
type Status int

// The liveness states.
const (
	Alive Status = iota
	Suspect
	Dead
)

// Member is a record with what this host believes of its liveness.
type Member struct {
	Record
	Status Status
	// Revision is the newest configuration revision that the member reported.
	Revision uint64
}

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}
