// Package gossip maintains cluster membership within and between availability zones. It is a
// pure state machine: packets and ticks are the input, packets and membership changes the
// output. Members are probed after SWIM (Das, Gupta and Motivala, 2002). State is spread by
// rumour mongering, mostly piggybacked on the probes, and repaired by comparing hashes
// (anti-entropy).
//
// Each zone decides the liveness of its own members. A few members of a zone, its bridges,
// exchange changes with each remote zone and report whether it is reachable. A host that stops
// being reachable becomes a suspect and is declared dead after a timeout, unless it refutes the
// suspicion by raising the sequence of its record. While many hosts are unreachable at once, a
// network partition is assumed and suspects are held: none is declared dead for up to
// Config.HoldLimit.
package gossip

// TargetState is the readiness of a target.
type TargetState string

// MaxSlots is the largest number of slots of a target that a message may carry.
const MaxSlots = 1 << 20

// The states of a target: not yet ready, ready for requests, and about to stop.
const (
	TargetCold    TargetState = "cold"
	TargetReady   TargetState = "ready"
	TargetLeaving TargetState = "leaving"
)

// Target is a process behind a host's daemon that runs a version of a service.
type Target struct {
	Service string
	Version string
	// Slots is the maximum number of requests that it runs at once.
	Slots int
	State TargetState
}

// Record is the replicated state of one host. Only the host itself raises Incarnation (with
// each start) and Sequence (with each change). In this package, the version of a record is the pair
// of Incarnation and Sequence, ordered by Incarnation first; Target.Version is that of a service.
type Record struct {
	Host          string
	Zone          string
	Region        string
	Incarnation   uint64
	Sequence      uint64
	PeerAddress   string // TCP; for requests and control messages of other daemons
	GossipAddress string // UDP; for the messages of this package
	AdminAddress  string // HTTP; the host's admin port
	Leaving       bool
	Targets       []Target
}

// NewerThan reports whether r is a later version than other.
func (r *Record) NewerThan(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Status is the liveness of a member as recorded at this host. Leaving is not a status: see
// Record.Leaving.
type Status int

// The liveness states.
const (
	Alive Status = iota
	Suspect
	Dead
)

// Member is a record with the liveness that this host has recorded for it.
type Member struct {
	Record
	// Status shows a member of a remote zone that is alive as Suspect while the zone is
	// unreachable.
	Status Status
	// Revision is the configuration revision that the member last reported.
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
