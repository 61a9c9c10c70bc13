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
	// recovery is the time within which calls are answered again after a fault.
	recovery = 2 * time.Second
	// leavingGrace is the time for which a leaving target may get new work.
	leavingGrace = 3 * time.Second
	// calm is a time of traffic without faults.
	calm = time.Second

	lookupPath     = "/counter/lookups/1"
	orderPath      = "/counter/orders"
	commissionPath = "/counter/commissions"
)

// requestScenarios bounds the systems of the request tests that run at once.
var requestScenarios = make(chan struct{}, 2)

// requests is a system whose callers and targets write down every request.
type requests struct {
	t *testing.T
	*cluster.Cluster
	random  *rand.Rand
	targets []*cluster.Target
	client  http.Client
	load    *running
	answers []load.Answer
}

// shape describes the system of a request test.
type shape struct {
	seed         uint64
	zones, hosts int
	target       func(*targetserver.Config)
	settings     func(*settings.Settings)
}

// newRequests starts a system with one target on each host and a route of each
// repeat mode.
func newRequests(t *testing.T, s shape) *requests {
	t.Helper()
	requestScenarios <- struct{}{}
	t.Cleanup(func() { <-requestScenarios })
	adjust := func(daemon *settings.Settings) {
		daemon.Exit.WarmUp = revision.Duration(200 * time.Millisecond)
		if s.settings != nil {
			s.settings(daemon)
		}
	}
	c := cluster.Start(t, cluster.Options{Zones: s.zones, HostsPerZone: s.hosts, Adjust: adjust})
	r := &requests{t: t, Cluster: c, random: rand.New(rand.NewPCG(s.seed, 0))}
	r.client.Transport = &http.Transport{DisableKeepAlives: true}
	for _, daemon := range c.Daemons {
		r.targets = append(r.targets, c.StartTarget(daemon, "counter", "v1", func(config *targetserver.Config) {
			config.Work = revision.Duration(20 * time.Millisecond)
			if s.target != nil {
				s.target(config)
			}
		}))
	}
	first := setUp(1)
	first.Routes = append(first.Routes, revision.Route{
		Name: "commissions", Service: "counter", Prefix: commissionPath, Repeat: revision.RepeatKeyed,
	})
	c.Daemons[0].MustSubmit(first)
	cluster.WaitRevision(t, convergence, 1, c.Daemons...)
	c.WaitTargets("counter", "v1", len(r.targets))
	return r
}

// mixed is a load of every repeat mode on the entries of the daemons.
func (r *requests) mixed(rate float64, daemons ...*cluster.Daemon) load.Config {
	config := load.Config{
		Rate:        rate,
		Concurrency: 1024,
		Duration:    revision.Duration(time.Minute),
		Timeout:     revision.Duration(5 * time.Second),
		Seed:        r.random.Uint64(),
		Routes: []load.Route{
			{Method: http.MethodGet, Path: lookupPath, Weight: 2},
			{Method: http.MethodPost, Path: orderPath, Weight: 2, BodyBytes: 200},
			{Method: http.MethodPost, Path: commissionPath, Weight: 1, BodyBytes: 200, Keyed: true, Resends: 2},
		},
	}
	for _, daemon := range daemons {
		config.Entries = append(config.Entries, daemon.Settings.Entry.Listen)
	}
	return config
}

// begin starts the load and lets it run for a while.
func (r *requests) begin(config load.Config) {
	r.t.Helper()
	r.load = startLoad(r.t, config)
	r.pass(calm)
}

// end stops the load and keeps its answers.
func (r *requests) end() load.Report {
	report := r.load.stop()
	r.answers = append(r.answers, report.Answers...)
	r.t.Logf("outcomes %+v, p50 %v, p99 %v", report.Summary.Outcomes, report.Summary.P50.Std(), report.Summary.P99.Std())
	return report
}

// pass lets the present state last for a time.
func (r *requests) pass(duration time.Duration) { wait(r.t.Context(), duration) }

// audit checks the answers so far against what all targets ran.
func (r *requests) audit() []targetserver.Record {
	r.t.Helper()
	records := r.witness()
	findings := audit.Check(audit.Evidence{
		Answers:    r.answers,
		Records:    records,
		Idempotent: []string{"/counter/lookups"},
		Grace:      leavingGrace,
	})
	r.t.Logf("%d answers, %d runs: %s", len(r.answers), len(records), findings)
	if !findings.Empty() {
		r.t.Error(findings)
	}
	return records
}

// witness returns what all targets ran, once nothing runs any more.
func (r *requests) witness() []targetserver.Record {
	r.t.Helper()
	var all []targetserver.Record
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
			if record.Ended.IsZero() {
				return fmt.Errorf("%s runs on %s", record.RequestID, record.Instance)
			}
		}
		return nil
	})
	return all
}

// answered checks that every call that was due in the span was answered with a
// success. A zero end means no end.
func (r *requests) answered(begin, end time.Time) {
	r.t.Helper()
	good := 0
	for _, a := range r.answers {
		if a.At.Before(begin) || !end.IsZero() && a.At.After(end) {
			continue
		}
		if a.Outcome != load.OutcomeAnswered || a.Status != http.StatusOK {
			r.t.Fatalf("%v after %v: %s to %s: %s, status %d, %s", a.At.Sub(begin), begin.Format(time.TimeOnly), a.Path, a.Entry, a.Outcome, a.Status, a.Error)
		}
		good++
	}
	is.New(r.t).True(good > 0)
}
