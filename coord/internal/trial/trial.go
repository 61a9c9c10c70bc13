package trial

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/ticket"
)

// Decision is the state that a decider sets: the share of the new version, and the verdict with
// its reason.
type Decision struct {
	Share   int // basis points
	Hosts   int // 0 means all
	Verdict ticket.Verdict
	Reason  string
}

// hosts returns the number of hosts that receive the share.
func (d Decision) hosts() int {
	switch {
	case d.Share == 0:
		return 0
	case d.Hosts == 0:
		return NewHosts
	}
	return min(d.Hosts, NewHosts)
}

// Decider decides the course of one rollout.
type Decider interface {
	// Decide returns the decision for the samples of the window that ends now.
	Decide(samples []detect.Sample, now time.Time) Decision
}

// Result is the outcome of one rollout.
type Result struct {
	Verdict ticket.Verdict
	Reason  string
	// MissedDeadline is true if there was no verdict by the deadline.
	MissedDeadline bool
	// MaxShare is the largest share of the new version, in basis points.
	MaxShare int
	// ExposedRequests counts the requests that reached the new version after its first spoiled
	// request.
	ExposedRequests uint64
	// TimeToZero is the time from the first spoiled request to a share of zero.
	TimeToZero time.Duration
	// BadRequests counts the spoiled requests. TimeFromBad is the time from the one that made it
	// badAnswers to a share of zero.
	BadRequests uint64
	TimeFromBad time.Duration
	// Elapsed is the time from the start to the verdict.
	Elapsed time.Duration
}

// badAnswers is the number of spoiled requests after which a version is to get no further requests
// within a bounded time.
const badAnswers = 50

// applyDelay is the number of windows until a decision is in force on all hosts.
const applyDelay = 1

// startTime is the start of every simulated rollout.
var startTime = time.Unix(1700000000, 0)

// Run simulates one rollout of a scenario up to its deadline. The same seed draws the same
// effects and noise for every decider.
func Run(scenario Scenario, seed uint64, window time.Duration, start func(now, by time.Time) Decider) Result {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(scenario.Name))
	r := rand.New(rand.NewPCG(seed, hash.Sum64()))
	seconds := int(window / time.Second)
	effect, _ := scenario.Draw(r, seconds)
	run := runner{scenario: scenario, effect: effect, rand: r, firstSpoiled: -1, badSince: -1}
	decider := start(startTime, startTime.Add(window))
	for second := 1; second <= seconds; second++ {
		if run.runSecond(decider, second) {
			return run.result
		}
	}
	run.result.MissedDeadline = true
	run.result.Elapsed = window
	return run.result
}

// runner is the state of one simulated rollout.
type runner struct {
	scenario      Scenario
	effect        func(Conditions) Effect
	rand          *rand.Rand
	decisions     []Decision // from the oldest to the latest
	maxHosts      int        // maximum number of hosts of the new version that received requests
	sinceNewHosts int        // seconds since maxHosts increased
	firstSpoiled  int        // second of the first spoiled request, or -1
	badSince      int        // second in which the spoiled requests reached badAnswers, or -1
	result        Result
}

// runSecond simulates one window and reports whether the rollout has ended.
func (r *runner) runSecond(decider Decider, second int) bool {
	decision := Decision{}
	if len(r.decisions) > applyDelay {
		decision = r.decisions[len(r.decisions)-1-applyDelay]
	}
	r.sinceNewHosts++
	if hosts := decision.hosts(); hosts > r.maxHosts {
		r.maxHosts = hosts
		r.sinceNewHosts = 0
	}
	drawn := drawWindow(r.rand, r.scenario, r.effect, second, r.sinceNewHosts, decision)
	if r.firstSpoiled >= 0 {
		r.result.ExposedRequests += drawn.newRequests
	}
	if r.firstSpoiled < 0 && drawn.spoiled > 0 {
		r.firstSpoiled = second
	}
	r.result.BadRequests += drawn.spoiled
	if r.badSince < 0 && r.result.BadRequests >= badAnswers {
		r.badSince = second
	}
	next := decider.Decide(drawn.samples, startTime.Add(time.Duration(second)*time.Second))
	r.decisions = append(r.decisions, next)
	r.result.MaxShare = max(r.result.MaxShare, next.Share)
	if next.Verdict == ticket.Running {
		return false
	}
	r.result.Verdict, r.result.Reason = next.Verdict, next.Reason
	r.result.Elapsed = time.Duration(second) * time.Second
	if r.firstSpoiled >= 0 {
		r.result.ExposedRequests += uint64(applyDelay) * drawn.newRequests
		r.result.TimeToZero = time.Duration(second+applyDelay-r.firstSpoiled) * time.Second
	}
	if r.badSince >= 0 {
		startOfWindow := r.badSince - 1
		r.result.TimeFromBad = time.Duration(second+applyDelay-startOfWindow) * time.Second
	}
	return true
}

// Severity returns the expected fraction of requests that the rollout of a seed spoils in its
// last second, if the new version receives all requests.
func Severity(scenario Scenario, seed uint64, window time.Duration) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(scenario.Name))
	seconds := int(window / time.Second)
	effect, _ := scenario.Draw(rand.New(rand.NewPCG(seed, hash.Sum64())), seconds)
	sum := 0.0
	for _, route := range routes {
		for _, zone := range zones {
			e := effect(Conditions{Second: seconds, Version: detect.NewVersion, Route: route.name, Zone: zone, SinceNewHosts: seconds, Load: 1, Share: 1})
			sum += route.fraction * (e.Failures + e.Slow) / float64(len(zones))
		}
	}
	return sum
}

// Summary aggregates the results of one scenario. Rollouts, Done, TakenBack and MissedDeadline
// count rollouts; MaxShare is the largest share of any; ExposedRequests and TimeToZero hold one
// value for each.
type Summary struct {
	Rollouts, Done, TakenBack, MissedDeadline int
	MaxShare                                  int
	ExposedRequests                           []uint64
	TimeToZero                                []time.Duration
}

// Add adds a result to the summary.
func (s *Summary) Add(r Result) {
	s.Rollouts++
	switch {
	case r.MissedDeadline:
		s.MissedDeadline++
	case r.Verdict == ticket.Completed:
		s.Done++
	default:
		s.TakenBack++
	}
	s.MaxShare = max(s.MaxShare, r.MaxShare)
	s.ExposedRequests = append(s.ExposedRequests, r.ExposedRequests)
	s.TimeToZero = append(s.TimeToZero, r.TimeToZero)
}
