// Package report counts the outcomes that callers of this daemon received and combines the
// counts of all daemons into the report on service-level burn. A host stores no counts, so they
// begin at its start.
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
	// flushInterval is the interval at which counters are added to the histories.
	flushInterval = 5 * time.Second
	// maxAppliedRevisions bounds the revisions whose time of application a host keeps.
	maxAppliedRevisions = 256
)

// Configuration provides the configuration in force.
type Configuration interface {
	// Snapshot returns nil until the daemon has applied a revision.
	Snapshot() *revision.Snapshot
}

// Recorder counts requests by service. It implements entry.RequestObserver and is safe for
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

// serviceHistory holds the counts of one service: totals for the burn and the series of the last
// hour.
type serviceHistory struct {
	totals *burn.History
	series burn.Series
}

// counter counts the requests of one service since the last flush.
type counter struct {
	requests, failures atomic.Uint64
	versions           sync.Map // version to *atomic.Uint64
}

// countResponse counts a response of a version.
func (c *counter) countResponse(version string) {
	found, ok := c.versions.Load(version)
	if !ok {
		found, _ = c.versions.LoadOrStore(version, new(atomic.Uint64))
	}
	found.(*atomic.Uint64).Add(1)
}

// resetVersions returns the number of responses of each version and resets the counts to 0.
func (c *counter) resetVersions() map[string]uint64 {
	counts := make(map[string]uint64)
	c.versions.Range(func(version, found any) bool {
		if responses := found.(*atomic.Uint64).Swap(0); responses > 0 {
			counts[version.(string)] = responses
		}
		return true
	})
	return counts
}

// NewRecorder returns a recorder without counts whose period begins now.
func NewRecorder(host string, configuration Configuration, now func() time.Time) *Recorder {
	return &Recorder{
		host:          host,
		configuration: configuration,
		now:           now,
		since:         now(),
		histories:     make(map[string]*serviceHistory),
	}
}

// ObserveRequest implements entry.RequestObserver. A request whose caller disconnected before the
// latency bound is not counted, because it shows neither success nor failure. Nor is one without a valid API
// key: anyone can send those, and the service has no part in them.
func (r *Recorder) ObserveRequest(result entry.Result) {
	late := r.exceedsLatencyBound(result)
	if result.CallerDisconnected && !late || result.Reason == entry.ReasonUnauthorized {
		return
	}
	found, ok := r.counters.Load(result.Service)
	if !ok {
		found, _ = r.counters.LoadOrStore(result.Service, new(counter))
	}
	c := found.(*counter)
	c.requests.Add(1)
	if result.Version != "" {
		c.countResponse(result.Version)
	}
	if late || result.Outcome != retry.Responded || result.Truncated || result.Status >= http.StatusInternalServerError {
		c.failures.Add(1)
	}
}

// exceedsLatencyBound reports whether the request took longer than the latency bound of its
// service.
func (r *Recorder) exceedsLatencyBound(result entry.Result) bool {
	snapshot := r.configuration.Snapshot()
	if snapshot == nil {
		return false
	}
	service, ok := snapshot.Service(result.Service)
	return ok && service.LatencyBound > 0 && result.Duration > service.LatencyBound.Std()
}

// Run adds the counters to the histories at each flushInterval until the context ends.
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

// flush adds the counters to the histories and resets them.
func (r *Recorder) flush(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Range(func(service, found any) bool {
		c := found.(*counter)
		count := burn.Count{Requests: c.requests.Swap(0), Failures: c.failures.Swap(0)}
		history := r.historyOf(service.(string))
		history.totals.Add(now, count)
		history.series.Add(now, count, c.resetVersions())
		return true
	})
}

// historyOf returns the history of a service and creates it if needed. The caller holds r.mu.
func (r *Recorder) historyOf(service string) *serviceHistory {
	history := r.histories[service]
	if history == nil {
		history = &serviceHistory{totals: burn.NewHistory()}
		r.histories[service] = history
	}
	return history
}

// RecordApplied records when a configuration came into force. At maxAppliedRevisions it drops the
// oldest record.
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
	for _, resource := range snapshot.Entries() {
		service := resource.Service
		if service == nil || service.Objective.Success == 0 {
			continue
		}
		history := r.historyOf(service.Name)
		report.Services = append(report.Services, admin.ServiceCounts{
			Service:   service.Name,
			Objective: service.Objective,
			Spans:     burn.NewSpans(service.Objective, historyAt{history.totals, now}),
			Series:    history.series.Points(now),
		})
	}
	sort.Slice(report.Services, func(i, j int) bool { return report.Services[i].Service < report.Services[j].Service })
	return report
}

// historyAt implements burn.Source for a history at a given time.
type historyAt struct {
	history *burn.History
	now     time.Time
}

// Over implements burn.Source.
func (v historyAt) Over(span time.Duration) burn.Count { return v.history.Over(v.now, span) }
