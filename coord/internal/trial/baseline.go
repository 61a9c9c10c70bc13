package trial

import (
	"fmt"
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
)

// FixedSteps is a baseline: four fixed shares at equal times on all hosts. Each
// interval, the new version's rates are held against fixed thresholds; after
// three failed checks the move is taken back.
type FixedSteps struct {
	start, by time.Time
	setting   Setting
	requests  uint64
	failures  uint64
	slow      uint64
	checked   time.Time
	failed    int
}

// Parameters of FixedSteps.
const (
	checkInterval  = 10 * time.Second
	failedChecks   = 3
	failuresAtMost = 0.01
	slowAtMost     = 0.05
)

var fixedShares = []int{500, 2500, 5000, revision.FullShare}

// NewFixedSteps starts the baseline.
func NewFixedSteps(now, by time.Time) Decider {
	return &FixedSteps{start: now, by: by, checked: now, setting: Setting{Verdict: ticket.Running}}
}

// Decide implements Decider.
func (f *FixedSteps) Decide(samples []detect.Sample, now time.Time) Setting {
	for _, s := range samples {
		if s.Version == detect.NewVersion {
			f.requests += s.Requests
			f.failures += s.Failures
			f.slow += s.Slow
		}
	}
	if now.Sub(f.checked) >= checkInterval {
		f.check(now)
	}
	if f.failed >= failedChecks {
		return Setting{Verdict: ticket.RolledBack, Reason: "thresholds exceeded"}
	}
	passed := float64(now.Sub(f.start)) / float64(f.by.Sub(f.start))
	if passed >= 0.95 {
		return Setting{Share: revision.FullShare, Verdict: ticket.Completed}
	}
	f.setting.Share = fixedShares[int(passed*float64(len(fixedShares)))]
	return f.setting
}

func (f *FixedSteps) check(now time.Time) {
	requests := float64(f.requests)
	if requests > 0 && (float64(f.failures) > failuresAtMost*requests || float64(f.slow) > slowAtMost*requests) {
		f.failed++
	}
	f.requests, f.failures, f.slow = 0, 0, 0
	f.checked = now
}

// PlainRamp is a baseline: the share grows by the clock alone on all hosts. The
// same detector may stop it, but nothing has to be proved.
type PlainRamp struct {
	start, by time.Time
	detector  *detect.Detector
}

// NewPlainRamp starts the baseline with a detector.
func NewPlainRamp(now, by time.Time, detector *detect.Detector) Decider {
	return &PlainRamp{start: now, by: by, detector: detector}
}

// Decide implements Decider.
func (p *PlainRamp) Decide(samples []detect.Sample, now time.Time) Setting {
	for _, s := range samples {
		p.detector.Observe(s)
	}
	p.detector.EndWindow()
	if v := p.detector.Verdict(); v.Kind == detect.Bad {
		return Setting{Verdict: ticket.RolledBack, Reason: fmt.Sprint(v.Reason)}
	}
	passed := float64(now.Sub(p.start)) / float64(p.by.Sub(p.start))
	if passed >= 0.95 {
		return Setting{Share: revision.FullShare, Verdict: ticket.Completed}
	}
	return Setting{Share: min(max(100, int(passed/0.9*revision.FullShare)), revision.FullShare), Verdict: ticket.Running}
}
