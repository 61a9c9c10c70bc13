package rollout

import (
	"math"

	"sassafrasnotch.example/coord/revision"
)

// Hosts counts the hosts with ready targets of the old version (From) and the new one (To). The
// fields named Hosts of Level, State and SetShare are limits on a number of hosts instead.
type Hosts struct {
	From, To int
	// FromSlots and ToSlots are the numbers of requests that their targets run at once, fewer where a
	// target names a rate; 0 if unknown.
	FromSlots, ToSlots int
}

// loadTolerance is the fraction by which the load of a host may exceed the regular load.
const loadTolerance = 0.1

// sharePerHost returns the share, in basis points, that puts the regular load on one host: the
// load of an old host before the rollout, or that of a new host after it if there are fewer of
// them.
func (h Hosts) sharePerHost() float64 {
	return revision.FullShare / float64(max(1, min(h.From, h.To)))
}

// shareFor returns the share, in basis points, that puts the regular load on a number of hosts.
func (h Hosts) shareFor(hosts int) int { return int(float64(hosts) * h.sharePerHost()) }

// hostsFor returns the number of hosts that receive a share, such that each carries about its
// regular load even if the share is small. It returns 0, meaning all hosts, if the share is too
// small to load even one host; it then exposes the version in every zone instead.
func (h Hosts) hostsFor(share int) int {
	loads := float64(share) / h.sharePerHost()
	if loads < 1-loadTolerance {
		return 0
	}
	hosts := int(loads)
	if loads-float64(hosts) > loadTolerance*float64(hosts) {
		hosts++
	}
	if hosts >= h.To {
		return 0
	}
	return hosts
}

// nearestShare returns the share nearest to the given one that puts the regular load on a whole
// number of hosts, or the given share if it is too small for one host.
func (h Hosts) nearestShare(share int) int {
	hosts := int(float64(share)/h.sharePerHost() + 0.5)
	if hosts == 0 {
		return share
	}
	return h.shareFor(hosts)
}

// minHostRatio is the minimum ratio of the new version's ready hosts to the old version's before
// the old hosts stop: services use about 0.6 of their slots (docs/CAPACITY.md), and three
// quarters of the hosts still carry that load.
const minHostRatio = 0.75

// canTakeOver reports whether the new version's hosts can carry all requests.
func (h Hosts) canTakeOver() bool {
	return float64(h.To) >= minHostRatio*float64(h.From) && float64(h.ToSlots) >= minHostRatio*float64(h.FromSlots)
}

// MaxHosts returns the maximum number of hosts of the new version that may receive requests under
// a rollout in force: none before the first share, and math.MaxInt for all.
func MaxHosts(rollout revision.Rollout) int {
	switch {
	case rollout.Step == chart.Initial():
		return 0
	case rollout.Hosts == 0:
		return math.MaxInt
	}
	return rollout.Hosts
}
