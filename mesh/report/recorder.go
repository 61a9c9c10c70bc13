// Package report counts what callers of this daemon were told, for the report on
// service-level burn. A host keeps nothing, so its counts begin at its start.
package report

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/coord/burn"
	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/entry"
)

const (
	// flushInterval is how often counts go into the history.
	flushInterval = 5 * time.Second
	// maxAppliedRevisions bounds the revisions whose time of application is kept.
	maxAppliedRevisions = 256
)

// Configuration yields the configuration in force, or nil.
type Configuration interface {
	Snapshot() *revision.Snapshot
}

// Recorder counts calls by service. It is an entry.RequestObserver and is safe for
// concurrent use.
type Recorder struct {
	host          string
	configuration Configuration
	now           func() time.Time
	since         time.Time
	counters      sync.Map // service to *counter

	mu        sync.Mutex
	histories map[string]*serviceHistory
	applied   []admin.AppliedRevision
}

// serviceHistory is what is kept of one service.
type serviceHistory struct {
	history *burn.History
	series  burn.Series
}

// counter counts the calls since the last flush.
type counter struct {
	requests, failures atomic.Uint64
	versions           sync.Map // version to *atomic.Uint64
}

// countResponse counts an answer of a version.
func (c *counter) countResponse(version string) {
	found, ok := c.versions.Load(version)
	if !ok {
		found, _ = c.versions.LoadOrStore(version, new(atomic.Uint64))
	}
	found.(*atomic.Uint64).Add(1)
}

// resetVersions returns the answers of each version and starts again from 0.
func (c *counter) resetVersions() map[string]uint64 {
	taken := make(map[string]uint64)
	c.versions.Range(func(version, found any) bool {
		if calls := found.(*atomic.Uint64).Swap(0); calls > 0 {
			taken[version.(string)] = calls
		}
		return true
	})
	return taken
}

// NewRecorder returns a recorder without calls.
func NewRecorder(host string, configuration Configuration, now func() time.Time) *Recorder {
	return &Recorder{
		host:          host,
		configuration: configuration,
		now:           now,
		since:         now(),
		histories:     make(map[string]*serviceHistory),
	}
}

// ObserveRequest implements entry.RequestObserver. A call whose caller left before the
// latency bound says nothing and is not counted.
func (r *Recorder) ObserveRequest(told entry.Result) {
	late := r.exceedsLatencyBound(told)
	if told.CallerDisconnected && !late {
		return
	}
	found, ok := r.counters.Load(told.Service)
	if !ok {
		found, _ = r.counters.LoadOrStore(told.Service, new(counter))
	}
	c := found.(*counter)
	c.requests.Add(1)
	if told.Version != "" {
		c.countResponse(told.Version)
	}
	if late || told.Outcome != retry.Responded || told.Truncated || told.Status >= http.StatusInternalServerError {
		c.failures.Add(1)
	}
}

// exceedsLatencyBound reports whether the call took longer than its service's latency bound.
func (r *Recorder) exceedsLatencyBound(told entry.Result) bool {
	snapshot := r.configuration.Snapshot()
	if snapshot == nil {
		return false
	}
	service, ok := snapshot.Service(told.Service)
	return ok && service.LatencyBound > 0 && told.Duration > service.LatencyBound.Std()
}

// Run keeps the history up to date until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.flush(r.now())
		}
	}
}

func (r *Recorder) flush(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Range(func(service, found any) bool {
		c := found.(*counter)
		count := burn.Count{Requests: c.requests.Swap(0), Failures: c.failures.Swap(0)}
		kept := r.historyOf(service.(string))
		kept.history.Add(now, count)
		kept.series.Add(now, count, c.resetVersions())
		return true
	})
}

// historyOf returns what is kept of a service. The caller holds the lock.
func (r *Recorder) historyOf(service string) *serviceHistory {
	kept := r.histories[service]
	if kept == nil {
		kept = &serviceHistory{history: burn.NewHistory()}
		r.histories[service] = kept
	}
	return kept
}

// RecordApplied notes that a configuration came into force.
func (r *Recorder) RecordApplied(snapshot *revision.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.applied) == maxAppliedRevisions {
		r.applied = slices.Delete(r.applied, 0, 1)
	}
	r.applied = append(r.applied, admin.AppliedRevision{Revision: snapshot.Revision(), At: r.now().UTC()})
}

// Report returns the counts of every service of the configuration in force that
// has an objective.
func (r *Recorder) Report() admin.Report {
	now := r.now()
	r.flush(now)
	report := admin.Report{Host: r.host, Since: r.since, At: now}
	snapshot := r.configuration.Snapshot()
	if snapshot == nil {
		return report
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Applied = slices.Clone(r.applied)
	for _, held := range snapshot.Entries() {
		service := held.Service
		if service == nil || service.Objective.Success == 0 {
			continue
		}
		kept := r.historyOf(service.Name)
		report.Services = append(report.Services, admin.ServiceCounts{
			Service:   service.Name,
			Objective: service.Objective,
			Spans:     burn.NewSpans(service.Objective, historyAt{kept.history, now}),
			Series:    kept.series.Points(now),
		})
	}
	sort.Slice(report.Services, func(i, j int) bool { return report.Services[i].Service < report.Services[j].Service })
	return report
}

// historyAt is a history as a burn.Source at a time.
type historyAt struct {
	history *burn.History
	now     time.Time
}

// Over implements burn.Source.
func (v historyAt) Over(span time.Duration) burn.Count { return v.history.Over(v.now, span) }
