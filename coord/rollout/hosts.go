package rollout

import (
	"math"

	"sassafrasnotch.example/coord/revision"
)

// Hosts counts the hosts with ready targets of each version.
type Hosts struct {
	From, To int
}

// loadTolerance is the part of a usual load by which a host may be above it.
const loadTolerance = 0.1

// usual returns the share, in basis points, that puts a usual load on one host:
// that of an old host before the move, or that of a new host after it if there
// are fewer of them.
func (h Hosts) usual() float64 {
	return revision.FullShare / float64(max(1, min(h.From, h.To)))
}

// loading returns the share that loads a number of hosts as usual.
func (h Hosts) loading(hosts int) int { return int(float64(hosts) * h.usual()) }

// carrying returns to how many hosts a share goes, so that each carries its
// usual load however small the share is. It returns 0, for all hosts, if the
// share is too small to load even one: then it rather shows the version in every
// zone.
func (h Hosts) carrying(share int) int {
	loads := float64(share) / h.usual()
	if loads < 1-loadTolerance {
		return 0
	}
	carrying := int(loads)
	if loads-float64(carrying) > loadTolerance*float64(carrying) {
		carrying++
	}
	if carrying >= h.To {
		return 0
	}
	return carrying
}

// near returns the share next to a wanted one that loads whole hosts as usual,
// or the wanted one if it is too small for any.
func (h Hosts) near(share int) int {
	hosts := int(float64(share)/h.usual() + 0.5)
	if hosts == 0 {
		return share
	}
	return h.loading(hosts)
}

// carryLeast is the part of the old version's ready hosts that the new version
// needs before the old ones end: services run at about 0.6 of their slots
// (docs/CAPACITY.md), and three quarters of the hosts still carry that.
const carryLeast = 0.75

// carry reports whether the new version's hosts can take over all calls.
func (h Hosts) carry() bool { return float64(h.To) >= carryLeast*float64(h.From) }

// Reach returns the most hosts of the new version that a move's split lets
// receive calls: none before the first share, and math.MaxInt for all.
func Reach(move revision.Rollout) int {
	switch {
	case move.Step == chart.Initial():
		return 0
	case move.Hosts == 0:
		return math.MaxInt
	}
	return move.Hosts
}
