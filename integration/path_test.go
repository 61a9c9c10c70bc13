// Package integration tests the system as real processes whose connections pass through
// fault-injecting proxies.
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

// convergence is the time within which an accepted ticket is in force on every daemon.
const convergence = 12 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	cluster.RemoveBinaries()
	os.Exit(code)
}

// setupTicket returns the first ticket of a test: the service counter with two versions, of which v1
// gets all traffic, an idempotent route and a route that is never repeated.
func setupTicket(number uint64) ticket.Ticket {
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

// rolloutTicket returns a ticket that requests the rollout of the service counter to v2 within a time
// from now.
func rolloutTicket(number uint64, within time.Duration) ticket.Ticket {
	return ticket.Ticket{
		Number:   number,
		Rollouts: []ticket.RolloutRequest{{Service: "counter", To: "v2", By: time.Now().Add(within)}},
	}
}

// requestMix returns the load of the callers of the service counter: three lookups per order.
func requestMix(c *cluster.Cluster, rate float64, duration time.Duration) load.Config {
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

// TestWholePath checks a rollout of a good version from the ticket to the verdict: it completes, every
// request is answered with a success, and the daemon serves the documented metrics.
func TestWholePath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := cluster.Start(t, cluster.Options{Zones: 3, HostsPerZone: 2})
	for _, daemon := range c.Daemons {
		c.StartTarget(daemon, "counter", "v1", nil)
		c.StartTarget(daemon, "counter", "v2", nil)
	}
	accepted := c.Daemons[0].MustSubmit(setupTicket(1))
	elapsed := cluster.WaitRevision(t, convergence, accepted.Revision, c.Daemons...)
	t.Logf("convergence: revision %d in force on %d daemons after %v", accepted.Revision, len(c.Daemons), elapsed)
	c.WaitTargets("counter", "v1", len(c.Daemons))
	c.WaitTargets("counter", "v2", len(c.Daemons))

	run := startLoad(t, requestMix(c, 800, 90*time.Second))
	c.Daemons[1].MustSubmit(rolloutTicket(2, 35*time.Second))
	good := c.Daemons[2].WaitVerdict(2)
	is.Equal(good.Verdict, ticket.Completed)
	report := run.stop()
	t.Logf("rollout to v2: %s; %d requests, latency p50 %v p99 %v", good.Verdict, report.Summary.Attempts,
		report.Summary.P50.Std(), report.Summary.P99.Std())
	checkMetrics(t, c.Daemons[0])
	is.Equal(report.Summary.Mismatched, uint64(0))
	for _, answer := range report.Results {
		if answer.Outcome != load.OutcomeResponded || answer.Status != 200 {
			t.Fatalf("request %s to %s: %s, status %d, %s", answer.RequestID, answer.Path, answer.Outcome, answer.Status, answer.Error)
		}
	}
}

// TestBadVersionIsTakenBack checks that a version which answers every request with 500 is rolled back,
// and that fewer than 5% of all requests get such a response.
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
	c.Daemons[0].MustSubmit(setupTicket(1))
	c.WaitTargets("counter", "v1", len(c.Daemons))
	c.WaitTargets("counter", "v2", len(c.Daemons))
	run := startLoad(t, requestMix(c, 400, 60*time.Second))
	c.Daemons[1].MustSubmit(rolloutTicket(2, 30*time.Second))
	bad := c.Daemons[2].WaitVerdict(2)
	is.Equal(bad.Verdict, ticket.RolledBack)
	report := run.stop()
	failed := 0
	for _, answer := range report.Results {
		if answer.Status == 500 {
			failed++
		}
	}
	t.Logf("rolled back: %s; the bad version answered %d of %d requests", bad.Reason, failed, len(report.Results))
	is.True(failed*20 < len(report.Results)) // under 5%
}
