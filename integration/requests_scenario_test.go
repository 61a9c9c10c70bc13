package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin/audit"
	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

const (
	// recovery is the time after a fault within which requests succeed again.
	recovery = 2 * time.Second
	// leavingGrace is the time for which a leaving target may get new requests.
	leavingGrace = 3 * time.Second
	// steadyTraffic is a duration of traffic without faults.
	steadyTraffic = time.Second

	lookupPath = "/counter/lookups/1"
	orderPath  = "/counter/orders"
	keyedPath  = "/counter/commissions"
)

// requestTestSlots bounds the number of systems of request tests that run concurrently.
var requestTestSlots = make(chan struct{}, 2)

// requestTest is a system whose callers and targets record every request, so that an audit can compare
// the records.
type requestTest struct {
	t *testing.T
	*cluster.Cluster
	random    *rand.Rand
	targets   []*cluster.Target
	client    http.Client
	load      *loadRun
	responses []load.AttemptResult
}

// requestTestOptions describes the system of a request test. The functions target and
// settings, if not nil, change the configuration of each target and the settings of each daemon.
type requestTestOptions struct {
	seed         uint64
	zones, hosts int
	// targetHosts is the number of hosts with a target, from the first one on; 0 means all.
	targetHosts int
	descriptors int // that each daemon may open; 0 leaves the limit of the test
	target      func(*targetserver.Config)
	settings    func(*settings.Settings)
}

// newRequestTest starts a system with one target on each host, or on the first targetHosts, and a route of each repeat mode: idempotent,
// never and keyed.
func newRequestTest(t *testing.T, s requestTestOptions) *requestTest {
	t.Helper()
	requestTestSlots <- struct{}{}
	t.Cleanup(func() { <-requestTestSlots })
	adjust := func(daemon *settings.Settings) {
		daemon.Exit.WarmUp = revision.Duration(200 * time.Millisecond)
		if s.settings != nil {
			s.settings(daemon)
		}
	}
	c := cluster.Start(t, cluster.Options{Zones: s.zones, HostsPerZone: s.hosts, Adjust: adjust, Descriptors: s.descriptors})
	r := &requestTest{t: t, Cluster: c, random: rand.New(rand.NewPCG(s.seed, 0))}
	r.client.Transport = &http.Transport{DisableKeepAlives: true}
	daemons := c.Daemons
	if s.targetHosts > 0 {
		daemons = daemons[:s.targetHosts]
	}
	for _, daemon := range daemons {
		r.targets = append(r.targets, c.StartTarget(daemon, "counter", "v1", func(config *targetserver.Config) {
			config.WorkDuration = revision.Duration(20 * time.Millisecond)
			if s.target != nil {
				s.target(config)
			}
		}))
	}
	first := setupTicket(1)
	first.Routes = append(first.Routes, revision.Route{
		Name: "commissions", Service: "counter", Prefix: keyedPath, Repeat: revision.RepeatKeyed,
	})
	c.Daemons[0].MustSubmit(first)
	cluster.WaitRevision(t, convergence, 1, c.Daemons...)
	c.WaitTargets("counter", "v1", len(r.targets))
	return r
}

// mixedLoad returns a load with requests of every repeat mode to the entries of the daemons, at a rate in
// requests per second.
func (r *requestTest) mixedLoad(rate float64, daemons ...*cluster.Daemon) load.Config {
	config := load.Config{
		Rate:        rate,
		Concurrency: 1024,
		Duration:    revision.Duration(time.Minute),
		Timeout:     revision.Duration(5 * time.Second),
		Seed:        r.random.Uint64(),
		Routes: []load.Route{
			{Method: http.MethodGet, Path: lookupPath, Weight: 2},
			{Method: http.MethodPost, Path: orderPath, Weight: 2, BodyBytes: 200},
			{Method: http.MethodPost, Path: keyedPath, Weight: 1, BodyBytes: 200, Keyed: true, MaxResends: 2},
		},
	}
	for _, daemon := range daemons {
		config.Entries = append(config.Entries, daemon.Settings.Entry.Listen)
	}
	return config
}

// startLoad starts the load and waits for steadyTraffic.
func (r *requestTest) startLoad(config load.Config) {
	r.t.Helper()
	r.load = startLoad(r.t, config)
	r.sleep(steadyTraffic)
}

// stopLoad stops the load and keeps its responses for the audit.
func (r *requestTest) stopLoad() load.Report {
	report := r.load.stop()
	r.responses = append(r.responses, report.Results...)
	r.t.Logf("outcomes %+v, p50 %v, p99 %v", report.Summary.Outcomes, report.Summary.P50.Std(), report.Summary.P99.Std())
	return report
}

// sleep waits for a duration while the present faults and load last, or until the test ends.
func (r *requestTest) sleep(duration time.Duration) { wait(r.t.Context(), duration) }

// audit compares the responses so far with the execution records of all targets, fails the test if they
// contradict each other, and returns the records.
func (r *requestTest) audit() []targetserver.ExecutionRecord {
	r.t.Helper()
	records := r.executionRecords()
	findings := audit.Check(audit.Evidence{
		Results:            r.responses,
		Executions:         records,
		IdempotentPrefixes: []string{"/counter/lookups"},
		Grace:              leavingGrace,
	})
	r.t.Logf("%d responses, %d runs: %s", len(r.responses), len(records), findings)
	if !findings.Empty() {
		r.t.Error(findings)
	}
	return records
}

// executionRecords returns the execution records of all targets, once no request is running.
func (r *requestTest) executionRecords() []targetserver.ExecutionRecord {
	r.t.Helper()
	var all []targetserver.ExecutionRecord
	cluster.Eventually(r.t, 15*time.Second, "the targets are idle", func() error {
		all = nil
		for _, target := range r.targets {
			records, err := target.ExecutionRecords()
			if err != nil {
				return err
			}
			all = append(all, records...)
		}
		for _, record := range all {
			if record.EndedAt.IsZero() {
				return fmt.Errorf("request %s is running on %s", record.RequestID, record.Instance)
			}
		}
		return nil
	})
	return all
}

// checkSucceeded checks that every request that was due between begin and end succeeded, and that there
// was at least one. A zero end means no limit.
func (r *requestTest) checkSucceeded(begin, end time.Time) {
	r.t.Helper()
	good := 0
	for _, a := range r.responses {
		if a.DueAt.Before(begin) || !end.IsZero() && a.DueAt.After(end) {
			continue
		}
		if a.Outcome != load.OutcomeResponded || a.Status != http.StatusOK {
			r.t.Fatalf("%v after %v: %s to %s: %s, status %d, %s", a.DueAt.Sub(begin), begin.Format(time.TimeOnly), a.Path, a.Entry, a.Outcome, a.Status, a.Error)
		}
		good++
	}
	is.New(r.t).True(good > 0)
}
