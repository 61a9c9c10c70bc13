package load

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasnotch.example/coord/revision"
)

// Latencies are recorded in microseconds, from 1 to a minute, with three significant digits.
const (
	minLatency    = 1
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

// Counts are the numbers of attempts by outcome.
type Counts struct {
	Responded  uint64 `json:"answered"`
	Refused    uint64 `json:"refused"`
	Unknown    uint64 `json:"unknown"`
	Unsent     uint64 `json:"unsent"`
	Incomplete uint64 `json:"cut"`
	Unstated   uint64 `json:"unstated"`
}

// VersionCounts are the numbers of responses from one version.
type VersionCounts struct {
	Version   string `json:"version"`
	Responses uint64 `json:"answers"`
	// Failures counts the responses with a status of 500 and above.
	Failures uint64 `json:"failures"`
}

// Summary holds the figures of a run. Only the latencies of complete responses are recorded.
type Summary struct {
	Attempts uint64 `json:"attempts"`
	// Skipped counts the requests that were not sent because too many were in flight.
	Skipped uint64 `json:"skipped"`
	// Mismatched counts the responses that belong to another request.
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

// resultLog collects the results of attempts. It is safe for concurrent use.
type resultLog struct {
	mu        sync.Mutex
	results   []AttemptResult
	skipped   uint64
	totals    Summary
	histogram *hdrhistogram.Histogram
}

func newResultLog() *resultLog {
	return &resultLog{histogram: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

func (l *resultLog) skip() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipped++
}

func (l *resultLog) add(r AttemptResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
	l.totals.Attempts++
	l.totals.Outcomes.add(r.Outcome)
	if r.Mismatched {
		l.totals.Mismatched++
	}
	if r.Version != "" {
		l.addVersion(r)
	}
	if r.Outcome == OutcomeResponded || r.Outcome == OutcomeUnstated {
		_ = l.histogram.RecordValue(min(r.Latency.Std().Microseconds(), maxLatency))
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

func (l *resultLog) addVersion(r AttemptResult) {
	counts := l.version(r.Version)
	counts.Responses++
	if r.Status >= http.StatusInternalServerError {
		counts.Failures++
	}
}

// version returns the counts of a version; versions are listed in the order of their first
// response.
func (l *resultLog) version(name string) *VersionCounts {
	for i := range l.totals.Versions {
		if l.totals.Versions[i].Version == name {
			return &l.totals.Versions[i]
		}
	}
	l.totals.Versions = append(l.totals.Versions, VersionCounts{Version: name})
	return &l.totals.Versions[len(l.totals.Versions)-1]
}

func (l *resultLog) summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	summary := l.totals
	summary.Skipped = l.skipped
	summary.Versions = append([]VersionCounts{}, l.totals.Versions...)
	summary.P50 = l.quantile(50)
	summary.P99 = l.quantile(99)
	summary.Max = durationOfMicroseconds(l.histogram.Max())
	return summary
}

func (l *resultLog) quantile(percent float64) revision.Duration {
	return durationOfMicroseconds(l.histogram.ValueAtQuantile(percent))
}

func durationOfMicroseconds(value int64) revision.Duration {
	return revision.Duration(time.Duration(value) * time.Microsecond)
}

func (l *resultLog) snapshot() []AttemptResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]AttemptResult{}, l.results...)
}

func (l *resultLog) report() Report {
	return Report{Summary: l.summary(), Results: l.snapshot()}
}
