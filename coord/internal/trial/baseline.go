package trial

import (
	"fmt"
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
)

// FixedSteps is a baseline: four fixed shares at equal intervals on all hosts. At each check, the
// new version's rates are compared with fixed thresholds; after three failed checks the rollout
// is rolled back.
type FixedSteps struct {
	start, deadline time.Time
	decision        Decision
	requests        uint64
	failures        uint64
	slow            uint64
	checkedAt       time.Time
	failedChecks    int
}

// Parameters of FixedSteps.
const (
	checkInterval   = 10 * time.Second
	maxFailedChecks = 3
	maxFailureRate  = 0.01
	maxSlowRate     = 0.05
)

// fixedShares are the shares of FixedSteps, in basis points.
var fixedShares = []int{500, 2500, 5000, revision.FullShare}

// NewFixedSteps returns the baseline for a rollout that starts now.
func NewFixedSteps(now, deadline time.Time) Decider {
	return &FixedSteps{start: now, deadline: deadline, checkedAt: now, decision: Decision{Verdict: ticket.Running}}
}

// Decide implements Decider.
func (f *FixedSteps) Decide(samples []detect.Sample, now time.Time) Decision {
	for _, s := range samples {
		if s.Version == detect.NewVersion {
			f.requests += s.Requests
			f.failures += s.Failures
			f.slow += s.Slow
		}
	}
	if now.Sub(f.checkedAt) >= checkInterval {
		f.check(now)
	}
	if f.failedChecks >= maxFailedChecks {
		return Decision{Verdict: ticket.RolledBack, Reason: "thresholds exceeded"}
	}
	elapsed := float64(now.Sub(f.start)) / float64(f.deadline.Sub(f.start))
	if elapsed >= 0.95 {
		return Decision{Share: revision.FullShare, Verdict: ticket.Completed}
	}
	f.decision.Share = fixedShares[int(elapsed*float64(len(fixedShares)))]
	return f.decision
}

// check compares the counts since the last check with the thresholds.
func (f *FixedSteps) check(now time.Time) {
	requests := float64(f.requests)
	if requests > 0 && (float64(f.failures) > maxFailureRate*requests || float64(f.slow) > maxSlowRate*requests) {
		f.failedChecks++
	}
	f.requests, f.failures, f.slow = 0, 0, 0
	f.checkedAt = now
}

// TimedRamp is a baseline: the share grows with time alone on all hosts. A detector may halt it,
// but no evidence is needed to grow or to complete.
type TimedRamp struct {
	start, deadline time.Time
	detector        *detect.Detector
}

// NewTimedRamp returns the baseline for a rollout that starts now, with the detector that may
// halt it.
func NewTimedRamp(now, deadline time.Time, detector *detect.Detector) Decider {
	return &TimedRamp{start: now, deadline: deadline, detector: detector}
}

// Decide implements Decider.
func (p *TimedRamp) Decide(samples []detect.Sample, now time.Time) Decision {
	for _, s := range samples {
		p.detector.Observe(s)
	}
	p.detector.EndWindow()
	if v := p.detector.Verdict(); v.Kind == detect.Bad {
		return Decision{Verdict: ticket.RolledBack, Reason: fmt.Sprint(v.Reason)}
	}
	elapsed := float64(now.Sub(p.start)) / float64(p.deadline.Sub(p.start))
	if elapsed >= 0.95 {
		return Decision{Share: revision.FullShare, Verdict: ticket.Completed}
	}
	return Decision{Share: min(max(100, int(elapsed/0.9*revision.FullShare)), revision.FullShare), Verdict: ticket.Running}
}
