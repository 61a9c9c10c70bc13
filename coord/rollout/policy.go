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
	// Canary is the first share, in basis points. It is larger, up to CanaryMost,
	// if the service has too little traffic to show anything at Canary.
	Canary, CanaryMost int
	// Harm bounds the share of all calls that may fail on account of the new
	// version: a share may grow up to Harm divided by the excess of failures
	// that the evidence cannot rule out.
	Harm float64
	// Control is the share that the old version keeps until the verdict, so
	// that both are observed over the same window, in basis points.
	Control int
	// Plan is the part of the time up to the deadline that the plan uses.
	Plan float64
	// Ramp are the planned shares between the first and the whole one, in parts.
	Ramp []float64
	// Canaried and Baked are the parts of the plan for the first share and for
	// the watch over the whole share.
	Canaried, Baked float64
	// Late puts the whole share off until the watch over it would begin, so that
	// a bad version receives little before it shows.
	Late bool
}

// PolicyFor returns the policy of a preference; safety is the default.
func PolicyFor(preference revision.Preference) Policy {
	switch preference {
	case revision.PreferBounded:
		return Policy{
			Detect: detect.Config{Alpha: 0.02, Beta: 0.05, Margin: 0.01, Effect: 0.1, WindowLimit: 4},
			Canary: 500, CanaryMost: 500, Harm: 0.1,
			Plan: 0.9, Ramp: []float64{0.1}, Canaried: 0.2, Baked: 0.2, Late: true,
		}
	case revision.PreferDeadline:
		return Policy{
			Detect: detect.Config{Alpha: 0.01, Beta: 0.05, Margin: 0.005, Effect: 0.05, WindowLimit: 2.5},
			Canary: 200, CanaryMost: 1000, Harm: 0.05, Control: 2000,
			Plan: 0.75, Ramp: ramp, Canaried: 0.3, Baked: 0.25,
		}
	}
	return Policy{
		Detect: detect.Config{Alpha: 0.02, Beta: 0.01, Margin: 0.005, Effect: 0.03, WindowLimit: 3},
		Canary: 100, CanaryMost: 500, Harm: 0.03, Control: 2000,
		Plan: 0.85, Ramp: ramp, Canaried: 0.35, Baked: 0.35,
	}
}

// Bounds of the times that a plan derives from the time up to the deadline.
const (
	// reservePart of the time is kept for writing the verdict.
	reservePart = 0.05
	reserveMin  = 1500 * time.Millisecond
	reserveMax  = 30 * time.Second
	// dwellPart is the least time at a level.
	dwellPart = 0.04
	dwellMin  = time.Second
	dwellMax  = time.Minute
	// bakeLeast is the part of the planned watch without which no move is done.
	bakeLeast = 0.5
)

func (s *State) window() time.Duration { return s.By.Sub(s.AcceptedAt) }

func part(window time.Duration, fraction float64, low, high time.Duration) time.Duration {
	return min(max(time.Duration(float64(window)*fraction), low), high)
}

// verdictBy is the last moment to decide: what follows it is the time to settle
// and to write the verdict.
func (s *State) verdictBy() time.Time { return s.writeBy().Add(-s.Settle.Std()) }

// writeBy is the last moment to begin to write a verdict.
func (s *State) writeBy() time.Time {
	return s.By.Add(-part(s.window(), reservePart, reserveMin, reserveMax))
}

func (s *State) dwell() time.Duration {
	return part(s.window(), dwellPart, dwellMin, dwellMax)
}

// ramp are the usual shares between the first and the whole one, in parts.
var ramp = []float64{0.05, 0.25, 0.5}

// levelLeast is the least planned time between two levels: two windows of
// reports, the first of which may hold calls from before the change.
const levelLeast = 2 * time.Second

// plan lays the levels out backwards from the deadline. Each share goes to so
// few hosts that each of them carries at least the load of an old one.
func (s *State) plan(policy Policy, e Evidence, now time.Time) {
	hosts := e.Hosts
	span := time.Duration(float64(s.By.Sub(now)-s.Settle.Std()) * policy.Plan)
	canaried := time.Duration(float64(span) * policy.Canaried)
	bake := time.Duration(float64(span) * policy.Baked)
	canary := policy.canary(e.Rate * canaried.Seconds())
	if canary > policy.Canary {
		canaried /= 2
		bake /= 2
	}
	between := span - canaried - bake
	shares := s.shares(policy, hosts, canary)
	shares = thin(shares, 2+int(between/levelLeast))
	gap := between / time.Duration(len(shares)-1)
	if policy.Late && len(shares) > 2 {
		gap = between / time.Duration(len(shares)-2)
	}
	s.Bake = revision.Duration(bake)
	s.Levels = []Level{{Share: shares[0], Hosts: hosts.carrying(shares[0]), At: now}}
	for i, share := range shares[1:] {
		at := now.Add(canaried + gap*time.Duration(i))
		s.Levels = append(s.Levels, Level{Share: share, Hosts: hosts.carrying(share), At: at})
	}
}

// thin keeps the first and the last share and, evenly, as many of those between
// as most allows.
func thin(shares []int, most int) []int {
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
	full := min(s.Target, revision.FullShare-policy.Control)
	canary = min(canary, full)
	between := []int{hosts.loading(1)}
	for _, fraction := range policy.Ramp {
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

// canaryCalls is the number of calls that the first share is to show.
const canaryCalls = 20

// canary returns the first share for a number of calls of the service in the
// time planned for it.
func (p Policy) canary(calls float64) int {
	needed := canaryCalls / max(calls, 1) * revision.FullShare
	return min(max(p.Canary, int(needed)), p.CanaryMost)
}

// growthLeast is the least factor by which a share grows.
const growthLeast = 1.2
