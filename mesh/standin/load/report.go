package load

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasnotch.example/coord/revision"
)

// Latencies are kept in microseconds from 1 to a minute, to three digits.
const (
	lowestLatency  = 1
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Counts are the attempts by outcome.
type Counts struct {
	Responded  uint64 `json:"answered"`
	Refused    uint64 `json:"refused"`
	Unknown    uint64 `json:"unknown"`
	Unsent     uint64 `json:"unsent"`
	Incomplete uint64 `json:"cut"`
	Unstated   uint64 `json:"unstated"`
}

// VersionCounts are the answers of one version.
type VersionCounts struct {
	Version   string `json:"version"`
	Responses uint64 `json:"answers"`
	// Failures are the answers with a status of 500 and above.
	Failures uint64 `json:"failures"`
}

// Summary are the figures of a run. Latencies count only whole answers.
type Summary struct {
	Attempts   uint64            `json:"attempts"`
	Skipped    uint64            `json:"skipped"`
	Mismatched uint64            `json:"crossed"`
	Outcomes   Counts            `json:"outcomes"`
	Versions   []VersionCounts   `json:"versions"`
	P50        revision.Duration `json:"p50"`
	P99        revision.Duration `json:"p99"`
	Max        revision.Duration `json:"max"`
}

// Report is the result of a run.
type Report struct {
	Summary Summary         `json:"summary"`
	Results []AttemptResult `json:"answers"`
}

// log collects answers. It is safe for concurrent use.
type log struct {
	mu        sync.Mutex
	answers   []AttemptResult
	skipped   uint64
	figures   Summary
	histogram *hdrhistogram.Histogram
}

func newLog() *log {
	return &log{histogram: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

func (l *log) skip() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipped++
}

func (l *log) add(a AttemptResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
	l.figures.Attempts++
	l.figures.Outcomes.add(a.Outcome)
	if a.Mismatched {
		l.figures.Mismatched++
	}
	if a.Version != "" {
		l.addVersion(a)
	}
	if a.Outcome == OutcomeResponded || a.Outcome == OutcomeUnstated {
		_ = l.histogram.RecordValue(min(a.Latency.Std().Microseconds(), highestLatency))
	}
}

func (c *Counts) add(o Outcome) {
	switch o {
	case OutcomeResponded:
		c.Responded++
	case OutcomeRefused:
		c.Refused++
	case OutcomeUnknown:
		c.Unknown++
	case OutcomeUnsent:
		c.Unsent++
	case OutcomeIncomplete:
		c.Incomplete++
	case OutcomeUnstated:
		c.Unstated++
	}
}

func (l *log) addVersion(a AttemptResult) {
	counts := l.version(a.Version)
	counts.Responses++
	if a.Status >= http.StatusInternalServerError {
		counts.Failures++
	}
}

// version returns the counts of a version, in order of first appearance.
func (l *log) version(name string) *VersionCounts {
	for i := range l.figures.Versions {
		if l.figures.Versions[i].Version == name {
			return &l.figures.Versions[i]
		}
	}
	l.figures.Versions = append(l.figures.Versions, VersionCounts{Version: name})
	return &l.figures.Versions[len(l.figures.Versions)-1]
}

func (l *log) summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	summary := l.figures
	summary.Skipped = l.skipped
	summary.Versions = append([]VersionCounts{}, l.figures.Versions...)
	summary.P50 = l.quantile(50)
	summary.P99 = l.quantile(99)
	summary.Max = microseconds(l.histogram.Max())
	return summary
}

func (l *log) quantile(percent float64) revision.Duration {
	return microseconds(l.histogram.ValueAtQuantile(percent))
}

func microseconds(value int64) revision.Duration {
	return revision.Duration(time.Duration(value) * time.Microsecond)
}

func (l *log) snapshot() []AttemptResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]AttemptResult{}, l.answers...)
}

func (l *log) report() Report {
	return Report{Summary: l.summary(), Results: l.snapshot()}
}
