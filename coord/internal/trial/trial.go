package trial

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/ticket"
)

// Setting is what a decider has in force.
type Setting struct {
	Share   int // basis points
	Hosts   int // 0 means all
	Verdict ticket.Verdict
	Reason  string
}

// hosts returns the number of hosts that receive the share.
func (s Setting) hosts() int {
	switch {
	case s.Share == 0:
		return 0
	case s.Hosts == 0:
		return NewHosts
	}
	return min(s.Hosts, NewHosts)
}

// Decider runs one move.
type Decider interface {
	// Decide takes the samples of the window that ends now.
	Decide(samples []detect.Sample, now time.Time) Setting
}

// Result is what became of one move.
type Result struct {
	Verdict ticket.Verdict
	Reason  string
	// Late is true if there was no verdict by the deadline.
	Late bool
	// Largest is the largest share of the new version, in basis points.
	Largest int
	// Exposed counts the requests that reached the new version after its first
	// spoiled call.
	Exposed uint64
	// Zero is the time from the first spoiled call to a share of zero.
	Zero time.Duration
	// Taken is the time from the start to the verdict.
	Taken time.Duration
}

// delay is the number of windows after which a share is in force everywhere.
const delay = 1

// epoch is the start of every trial.
var epoch = time.Unix(1700000000, 0)

// Run runs one move of a kind up to its deadline. The same seed draws the same
// badness and noise for every decider.
func Run(kind Kind, seed uint64, window time.Duration, start func(now, by time.Time) Decider) Result {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(kind.Name))
	r := rand.New(rand.NewPCG(seed, hash.Sum64()))
	seconds := int(window / time.Second)
	effect, _ := kind.Draw(r, seconds)
	run := runner{kind: kind, effect: effect, rand: r, firstSpoiled: -1}
	decider := start(epoch, epoch.Add(window))
	for second := 1; second <= seconds; second++ {
		if run.second(decider, second) {
			return run.result
		}
	}
	run.result.Late = true
	run.result.Taken = window
	return run.result
}

type runner struct {
	kind         Kind
	effect       func(Conditions) Effect
	rand         *rand.Rand
	inForce      []Setting // the last is the newest
	reached      int       // most hosts that received calls
	since        int       // seconds since reached grew
	firstSpoiled int
	result       Result
}

// second runs one window and reports whether the move has ended.
func (r *runner) second(decider Decider, second int) bool {
	setting := Setting{}
	if len(r.inForce) > delay {
		setting = r.inForce[len(r.inForce)-1-delay]
	}
	r.since++
	if hosts := setting.hosts(); hosts > r.reached {
		r.reached = hosts
		r.since = 0
	}
	drawn := window(r.rand, r.kind, r.effect, second, r.since, setting)
	if r.firstSpoiled >= 0 {
		r.result.Exposed += drawn.reached
	}
	if r.firstSpoiled < 0 && drawn.spoiled > 0 {
		r.firstSpoiled = second
	}
	next := decider.Decide(drawn.samples, epoch.Add(time.Duration(second)*time.Second))
	r.inForce = append(r.inForce, next)
	r.result.Largest = max(r.result.Largest, next.Share)
	if next.Verdict == ticket.Running {
		return false
	}
	r.result.Verdict, r.result.Reason = next.Verdict, next.Reason
	r.result.Taken = time.Duration(second) * time.Second
	if r.firstSpoiled >= 0 {
		r.result.Exposed += uint64(delay) * drawn.reached
		r.result.Zero = time.Duration(second+delay-r.firstSpoiled) * time.Second
	}
	return true
}

// Severity returns the part of the calls that the move of a seed spoils beyond
// the usual once the new version has all of them, in the last second.
func Severity(kind Kind, seed uint64, window time.Duration) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(kind.Name))
	seconds := int(window / time.Second)
	effect, _ := kind.Draw(rand.New(rand.NewPCG(seed, hash.Sum64())), seconds)
	sum := 0.0
	for _, route := range routes {
		for _, zone := range zones {
			e := effect(Conditions{Second: seconds, Version: detect.NewVersion, Route: route.name, Zone: zone, Since: seconds, Load: 1})
			sum += route.part * (e.Failures + e.Slow) / float64(len(zones))
		}
	}
	return sum
}

// Summary adds up the results of one kind.
type Summary struct {
	Moves, Done, TakenBack, Late int
	Largest                      int
	Exposed                      []uint64
	Zero                         []time.Duration
}

// Add adds a result.
func (s *Summary) Add(r Result) {
	s.Moves++
	switch {
	case r.Late:
		s.Late++
	case r.Verdict == ticket.Completed:
		s.Done++
	default:
		s.TakenBack++
	}
	s.Largest = max(s.Largest, r.Largest)
	s.Exposed = append(s.Exposed, r.Exposed)
	s.Zero = append(s.Zero, r.Zero)
}
