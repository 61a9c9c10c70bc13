// Package integration tests the system with real processes behind a
// fault-injecting proxy.
package integration

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// convergence is the time within which an accepted ticket is in force
// everywhere.
const convergence = 12 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	cluster.RemoveBinaries()
	os.Exit(code)
}

// setUp is the first ticket of every test: a service with two versions and an
// idempotent and a single-run route.
func setUp(number uint64) ticket.Ticket {
	return ticket.Ticket{
		Number:   number,
		Services: []revision.Service{{Name: "counter", LatencyBound: revision.Duration(200 * time.Millisecond)}},
		Versions: []revision.Version{{Service: "counter", Name: "v1"}, {Service: "counter", Name: "v2"}},
		Splits:   []revision.Split{{Service: "counter", Shares: []revision.Share{{Version: "v1", Weight: revision.FullShare}}}},
		Routes: []revision.Route{
			{Name: "lookups", Service: "counter", Prefix: "/counter/lookups", Repeat: revision.RepeatIdempotent},
			{Name: "orders", Service: "counter", Prefix: "/counter/orders", Repeat: revision.RepeatNever},
		},
	}
}

// move asks for the counter's traffic to go to v2.
func move(number uint64, within time.Duration) ticket.Ticket {
	return ticket.Ticket{
		Number:   number,
		Rollouts: []ticket.RolloutRequest{{Service: "counter", To: "v2", By: time.Now().Add(within)}},
	}
}

// mixture is what callers of the counter send.
func mixture(c *cluster.Cluster, rate float64, duration time.Duration) load.Config {
	return load.Config{
		Entries:     c.Entries(),
		Rate:        rate,
		Concurrency: 64,
		Duration:    revision.Duration(duration),
		Timeout:     revision.Duration(5 * time.Second),
		Seed:        1,
		Routes: []load.Route{
			{Method: "GET", Path: "/counter/lookups/1", Weight: 3},
			{Method: "POST", Path: "/counter/orders", Weight: 1, BodyBytes: 200},
		},
	}
}

func TestWholePath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := cluster.Start(t, cluster.Options{Zones: 3, HostsPerZone: 2})
	for _, daemon := range c.Daemons {
		c.StartTarget(daemon, "counter", "v1", nil)
		c.StartTarget(daemon, "counter", "v2", nil)
	}
	accepted := c.Daemons[0].MustSubmit(setUp(1))
	took := cluster.WaitRevision(t, convergence, accepted.Revision, c.Daemons...)
	t.Logf("convergence: revision %d in force on %d daemons after %v", accepted.Revision, len(c.Daemons), took)
	c.WaitTargets("counter", "v1", len(c.Daemons))
	c.WaitTargets("counter", "v2", len(c.Daemons))

	calls := startLoad(t, mixture(c, 800, 90*time.Second))
	c.Daemons[1].MustSubmit(move(2, 35*time.Second))
	good := c.Daemons[2].WaitVerdict(2)
	is.Equal(good.Verdict, ticket.Completed)
	report := calls.stop()
	t.Logf("move to v2: %s; %d calls, latency p50 %v p99 %v", good.Verdict, report.Summary.Attempts,
		report.Summary.P50.Std(), report.Summary.P99.Std())
	checkMetrics(t, c.Daemons[0])
	is.Equal(report.Summary.Mismatched, uint64(0))
	for _, answer := range report.Results {
		if answer.Outcome != load.OutcomeResponded || answer.Status != 200 {
			t.Fatalf("call %s to %s: %s, status %d, %s", answer.RequestID, answer.Path, answer.Outcome, answer.Status, answer.Error)
		}
	}
}

func TestBadVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := cluster.Start(t, cluster.Options{Zones: 3, HostsPerZone: 2})
	fails := func(config *targetserver.Config) {
		config.Behaviours = []targetserver.Behaviour{{FailStatus: 500}}
	}
	for _, daemon := range c.Daemons {
		c.StartTarget(daemon, "counter", "v1", nil)
		c.StartTarget(daemon, "counter", "v2", fails)
	}
	c.Daemons[0].MustSubmit(setUp(1))
	c.WaitTargets("counter", "v1", len(c.Daemons))
	c.WaitTargets("counter", "v2", len(c.Daemons))
	calls := startLoad(t, mixture(c, 400, 60*time.Second))
	c.Daemons[1].MustSubmit(move(2, 30*time.Second))
	bad := c.Daemons[2].WaitVerdict(2)
	is.Equal(bad.Verdict, ticket.RolledBack)
	report := calls.stop()
	failed := 0
	for _, answer := range report.Results {
		if answer.Status == 500 {
			failed++
		}
	}
	t.Logf("taken back: %s; %d of %d calls met the bad version", bad.Reason, failed, len(report.Results))
	is.True(failed*20 < len(report.Results)) // under 5 in 100
}
