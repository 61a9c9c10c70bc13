package rollout

import (
	"slices"
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
)

// Policy holds what a service's preference changes: error rates, exposure and
// the time left for the watch.
type Policy struct {
	Detect detect.Config
	// CanaryShare is the first share, in basis points. It is larger, up to MaxCanaryShare,
	// if the service has too little traffic to show anything at CanaryShare.
	CanaryShare, MaxCanaryShare int
	// MaxHarm bounds the share of all calls that may fail on account of the new
	// version: a share may grow up to MaxHarm divided by the excess of failures
	// that the evidence cannot rule out.
	MaxHarm float64
	// ControlShare is the share that the old version keeps until the verdict, so
	// that both are observed over the same window, in basis points.
	ControlShare int
	// PlanFraction is the part of the time up to the deadline that the plan uses.
	PlanFraction float64
	// RampFractions are the planned shares between the first and the whole one, in parts.
	RampFractions []float64
	// CanaryFraction and BakeFraction are the parts of the plan for the first share and for
	// the watch over the whole share.
	CanaryFraction, BakeFraction float64
	// DeferFullShare puts the whole share off until the watch over it would begin, so that
	// a bad version receives little before it shows.
	DeferFullShare bool
}

// PolicyFor returns the policy of a preference; safety is the default.
func PolicyFor(preference revision.Preference) Policy {
	switch preference {
	case revision.PreferBounded:
		return Policy{
			Detect:      detect.Config{Alpha: 0.02, Beta: 0.05, Margin: 0.01, Effect: 0.1, WindowLimit: 4},
			CanaryShare: 500, MaxCanaryShare: 500, MaxHarm: 0.1,
			PlanFraction: 0.9, RampFractions: []float64{0.1}, CanaryFraction: 0.2, BakeFraction: 0.2, DeferFullShare: true,
		}
	case revision.PreferDeadline:
		return Policy{
			Detect:      detect.Config{Alpha: 0.01, Beta: 0.05, Margin: 0.005, Effect: 0.05, WindowLimit: 2.5},
			CanaryShare: 200, MaxCanaryShare: 1000, MaxHarm: 0.05, ControlShare: 2000,
			PlanFraction: 0.75, RampFractions: defaultRamp, CanaryFraction: 0.3, BakeFraction: 0.25,
		}
	}
	return Policy{
		Detect:      detect.Config{Alpha: 0.02, Beta: 0.01, Margin: 0.005, Effect: 0.03, WindowLimit: 3},
		CanaryShare: 100, MaxCanaryShare: 500, MaxHarm: 0.03, ControlShare: 2000,
		PlanFraction: 0.85, RampFractions: defaultRamp, CanaryFraction: 0.35, BakeFraction: 0.35,
	}
}

// Bounds of the times that a plan derives from the time up to the deadline.
const (
	// verdictReserveFraction of the time is kept for writing the verdict.
	verdictReserveFraction = 0.05
	verdictReserveMin  = 1500 * time.Millisecond
	verdictReserveMax  = 30 * time.Second
	// dwellFraction is the least time at a level.
	dwellFraction = 0.04
	dwellMin  = time.Second
	dwellMax  = time.Minute
	// minBakeFraction is the part of the planned watch without which no move is done.
	minBakeFraction = 0.5
)

func (s *State) timeBudget() time.Duration { return s.Deadline.Sub(s.AcceptedAt) }

func clampedFraction(window time.Duration, fraction float64, low, high time.Duration) time.Duration {
	return min(max(time.Duration(float64(window)*fraction), low), high)
}

// decisionDeadline is the last moment to decide: what follows it is the time to settle
// and to write the verdict.
func (s *State) decisionDeadline() time.Time { return s.verdictWriteDeadline().Add(-s.Settle.Std()) }

// verdictWriteDeadline is the last moment to begin to write a verdict.
func (s *State) verdictWriteDeadline() time.Time {
	return s.Deadline.Add(-clampedFraction(s.timeBudget(), verdictReserveFraction, verdictReserveMin, verdictReserveMax))
}

func (s *State) dwell() time.Duration {
	return clampedFraction(s.timeBudget(), dwellFraction, dwellMin, dwellMax)
}

// defaultRamp are the usual shares between the first and the whole one, in parts.
var defaultRamp = []float64{0.05, 0.25, 0.5}

// minLevelInterval is the least planned time between two levels: two windows of
// reports, the first of which may hold calls from before the change.
const minLevelInterval = 2 * time.Second

// plan lays the levels out backwards from the deadline. Each share goes to so
// few hosts that each of them carries at least the load of an old one.
func (s *State) plan(policy Policy, e Evidence, now time.Time) {
	hosts := e.Hosts
	span := time.Duration(float64(s.Deadline.Sub(now)-s.Settle.Std()) * policy.PlanFraction)
	canaried := time.Duration(float64(span) * policy.CanaryFraction)
	bake := time.Duration(float64(span) * policy.BakeFraction)
	canary := policy.firstShare(e.Rate * canaried.Seconds())
	if canary > policy.CanaryShare {
		canaried /= 2
		bake /= 2
	}
	between := span - canaried - bake
	shares := s.shares(policy, hosts, canary)
	shares = thinnedShares(shares, 2+int(between/minLevelInterval))
	gap := between / time.Duration(len(shares)-1)
	if policy.DeferFullShare && len(shares) > 2 {
		gap = between / time.Duration(len(shares)-2)
	}
	s.Bake = revision.Duration(bake)
	s.Levels = []Level{{Share: shares[0], Hosts: hosts.carrying(shares[0]), StartAt: now}}
	for i, share := range shares[1:] {
		at := now.Add(canaried + gap*time.Duration(i))
		s.Levels = append(s.Levels, Level{Share: share, Hosts: hosts.carrying(share), StartAt: at})
	}
}

// thinnedShares keeps the first and the last share and, evenly, as many of those between
// as most allows.
func thinnedShares(shares []int, most int) []int {
	most = max(most, 2)
	if len(shares) <= most {
		return shares
	}
	kept := make([]int, 0, most)
	for i := range most {
		kept = append(kept, shares[i*(len(shares)-1)/(most-1)])
	}
	return kept
}

// shares returns the levels of the share, growing: the first, those between and
// the whole one.
func (s *State) shares(policy Policy, hosts Hosts, canary int) []int {
	full := min(s.TargetShare, revision.FullShare-policy.ControlShare)
	canary = min(canary, full)
	between := []int{hosts.loading(1)}
	for _, fraction := range policy.RampFractions {
		between = append(between, hosts.near(int(float64(full)*fraction)))
	}
	slices.Sort(between)
	shares := []int{canary}
	for _, share := range between {
		far := float64(share) >= growthLeast*float64(shares[len(shares)-1])
		if far && growthLeast*float64(share) <= float64(full) {
			shares = append(shares, share)
		}
	}
	return append(shares, full)
}

// canaryRequests is the number of calls that the first share is to show.
const canaryRequests = 20

// firstShare returns the first share for a number of calls of the service in the
// time planned for it.
func (p Policy) firstShare(calls float64) int {
	needed := canaryRequests / max(calls, 1) * revision.FullShare
	return min(max(p.CanaryShare, int(needed)), p.MaxCanaryShare)
}

// growthLeast is the least factor by which a share grows.
const growthLeast = 1.2
