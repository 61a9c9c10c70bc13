package rollout

import (
	"slices"
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
)

// Policy holds the parameters of rollouts that depend on a service's preference: the detector's
// error probabilities, limits on exposure, and how the time up to the deadline is divided.
//
// The final share is State.TargetShare, in force once the rollout completes. The last planned share
// is the final share, limited so that the old version keeps ControlShare; it is the one that is
// observed before completion ("full" in the chart).
type Policy struct {
	// Detect sets the detector's probabilities of a false alarm (Alpha) and of judging a worse
	// version good (Beta); NewDetector and NewZoneDetector divide Alpha among the detectors of one
	// rollout.
	Detect detect.Config
	// CanaryShare is the first share, in basis points. It is larger, up to MaxCanaryShare, for a
	// service with too little traffic to show a difference at CanaryShare.
	CanaryShare, MaxCanaryShare int
	// MaxHarm bounds the fraction (0 to 1) of all requests that may fail or be slow because of the
	// new version. After the first level the share may grow up to MaxHarm divided by the excess of
	// failures or slow responses that the evidence does not rule out.
	MaxHarm float64
	// ControlShare is the share that the old version keeps while levels are raised and observed, in
	// basis points, so that both versions are observed over the same windows.
	ControlShare int
	// PlanFraction is the fraction of the time up to the deadline, less State.Settle, that the plan
	// uses.
	PlanFraction float64
	// RampFractions are the shares planned between the first and the last one, as fractions of the
	// last planned share.
	RampFractions []float64
	// CanaryFraction and BakeFraction are the fractions of the plan for the first share and for
	// observing the last planned share. Both times are halved if the first share is above
	// CanaryShare.
	CanaryFraction, BakeFraction float64
	// DeferFullShare delays the last planned share until the observation of it is due to begin, so
	// that a bad version receives few requests before it is detected.
	DeferFullShare bool
}

// PolicyFor returns the policy of a preference; any unknown or empty preference gets that of
// revision.PreferSafety.
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

// Durations derived from the time between acceptance and deadline: a fraction of it within
// bounds.
const (
	// verdictReserveFraction of the time is reserved for writing the verdict.
	verdictReserveFraction = 0.05
	verdictReserveMin      = 1500 * time.Millisecond
	verdictReserveMax      = 30 * time.Second
	// dwellFraction of the time is the minimum duration of a share before the next level.
	dwellFraction = 0.04
	dwellMin      = time.Second
	dwellMax      = time.Minute
	// minBakeFraction of the planned observation of the last planned share must have elapsed before
	// a rollout can complete.
	minBakeFraction = 0.5
)

// timeBudget returns the time between the acceptance of the rollout and its deadline.
func (s *State) timeBudget() time.Duration { return s.Deadline.Sub(s.AcceptedAt) }

// clampedFraction returns a fraction of the window, limited to the range from low to high.
func clampedFraction(window time.Duration, fraction float64, low, high time.Duration) time.Duration {
	return min(max(time.Duration(float64(window)*fraction), low), high)
}

// decisionDeadline is the last time to decide on a verdict. It is before the deadline: the time
// after it is needed to settle and to write the verdict.
func (s *State) decisionDeadline() time.Time { return s.verdictWriteDeadline().Add(-s.Settle.Std()) }

// verdictWriteDeadline is the last time to begin writing a verdict.
func (s *State) verdictWriteDeadline() time.Time {
	return s.Deadline.Add(-clampedFraction(s.timeBudget(), verdictReserveFraction, verdictReserveMin, verdictReserveMax))
}

// dwell returns the minimum duration of a share before the next level.
func (s *State) dwell() time.Duration {
	return clampedFraction(s.timeBudget(), dwellFraction, dwellMin, dwellMax)
}

// defaultRamp holds the default shares between the first and the last one, as fractions of the last
// planned share.
var defaultRamp = []float64{0.05, 0.25, 0.5}

// minLevelInterval bounds the number of levels: the plan has at most as many as leave about this
// time between two of them. It is two windows of reports, the first of which may contain requests
// from before the change.
const minLevelInterval = 2 * time.Second

// plan sets the levels and their start times, forward from now. The plan uses policy.PlanFraction of
// the time up to the deadline less Settle: first the time of the first share, then the ramp, then the
// observation of the last planned share. Each share goes to few enough hosts that each of them
// carries about its regular load (see Hosts.hostsFor).
func (s *State) plan(policy Policy, e Evidence, now time.Time) {
	hosts := e.Hosts
	if s.Settle > 0 {
		hosts.To = max(hosts.To, hosts.From) // it completes only once about as many hosts are ready
	}
	planned := time.Duration(float64(s.Deadline.Sub(now)-s.Settle.Std()) * policy.PlanFraction)
	canaryTime := time.Duration(float64(planned) * policy.CanaryFraction)
	bakeTime := time.Duration(float64(planned) * policy.BakeFraction)
	canary := policy.firstShare(e.Rate * canaryTime.Seconds())
	if canary > policy.CanaryShare {
		canaryTime /= 2
		bakeTime /= 2
	}
	rampTime := planned - canaryTime - bakeTime
	shares := s.shares(policy, hosts, canary)
	shares = thinnedShares(shares, 2+int(rampTime/minLevelInterval))
	interval := rampTime / time.Duration(len(shares)-1)
	if policy.DeferFullShare && len(shares) > 2 {
		interval = rampTime / time.Duration(len(shares)-2)
	}
	s.Bake = revision.Duration(bakeTime)
	s.Levels = []Level{{Share: shares[0], Hosts: hosts.hostsFor(shares[0]), StartAt: now}}
	for i, share := range shares[1:] {
		startAt := now.Add(canaryTime + interval*time.Duration(i))
		s.Levels = append(s.Levels, Level{Share: share, Hosts: hosts.hostsFor(share), StartAt: startAt})
	}
}

// thinnedShares returns the first and the last share and, evenly spaced, as many of those between
// as limit allows; at least two in total.
func thinnedShares(shares []int, limit int) []int {
	limit = max(limit, 2)
	if len(shares) <= limit {
		return shares
	}
	kept := make([]int, 0, limit)
	for i := range limit {
		kept = append(kept, shares[i*(len(shares)-1)/(limit-1)])
	}
	return kept
}

// shares returns the shares of the levels in increasing order: the first, the intermediate ones
// and the last planned one. An intermediate share is at least minGrowthFactor times the one before
// and leaves at least that factor to the last one.
func (s *State) shares(policy Policy, hosts Hosts, canary int) []int {
	full := min(s.TargetShare, revision.FullShare-policy.ControlShare)
	canary = min(canary, full)
	intermediate := []int{hosts.shareFor(1)}
	for _, fraction := range policy.RampFractions {
		intermediate = append(intermediate, hosts.nearestShare(int(float64(full)*fraction)))
	}
	slices.Sort(intermediate)
	shares := []int{canary}
	for _, share := range intermediate {
		grown := float64(share) >= minGrowthFactor*float64(shares[len(shares)-1])
		if grown && minGrowthFactor*float64(share) <= float64(full) {
			shares = append(shares, share)
		}
	}
	return append(shares, full)
}

// canaryRequests is the number of requests that the new version is to receive at the first share,
// as far as Policy.MaxCanaryShare allows.
const canaryRequests = 20

// firstShare returns the first share, in basis points, for a service that receives the given
// number of requests in the time planned for that share.
func (p Policy) firstShare(requests float64) int {
	needed := canaryRequests / max(requests, 1) * revision.FullShare
	return min(max(p.CanaryShare, int(needed)), p.MaxCanaryShare)
}

// minGrowthFactor is the minimum factor between one share and the next.
const minGrowthFactor = 1.2
