package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

const (
	costSeed     = 1
	costDuration = 15 * time.Second
)

// BenchmarkCallCost measures the CPU time per request at the entry and at the exit, which run on
// different hosts, for several request rates.
func BenchmarkCallCost(b *testing.B) {
	for _, rate := range []float64{200, 1000, 4000} {
		b.Run(fmt.Sprintf("rate=%.0f", rate), func(b *testing.B) {
			for range b.N {
				measureCost(b, rate)
			}
		})
	}
}

func measureCost(b *testing.B, rate float64) {
	is := is.New(b)
	c := cluster.Start(b, cluster.Options{Zones: 1, HostsPerZone: 2, Direct: true})
	entry, exit := c.Daemons[0], c.Daemons[1]
	c.StartTarget(exit, "counter", "v1", func(config *targetserver.Config) {
		config.WorkDuration = 0
		config.Slots = 256
	})
	entry.MustSubmit(setupTicket(1))
	cluster.WaitRevision(b, convergence, 1, c.Daemons...)
	c.WaitTargets("counter", "v1", 1)
	runRate(b, entry, rate, 8*time.Second) // until the target's warm-up is over

	idleEntry, idleExit := daemonUsage(b, entry), daemonUsage(b, exit)
	report := runRate(b, entry, rate, costDuration)
	busyEntry, busyExit := daemonUsage(b, entry), daemonUsage(b, exit)
	answered := float64(report.Summary.Outcomes.Responded)
	is.True(answered > 0)
	b.ReportMetric(float64((busyEntry.CPUTime-idleEntry.CPUTime).Microseconds())/answered, "entry-us/call")
	b.ReportMetric(float64((busyExit.CPUTime-idleExit.CPUTime).Microseconds())/answered, "exit-us/call")
	b.ReportMetric(float64(busyEntry.Resident)/1e6, "entry-MB")
	b.ReportMetric(float64(busyExit.Resident)/1e6, "exit-MB")
	b.ReportMetric(float64(report.Summary.P50.Std().Microseconds()), "p50-us")
	b.ReportMetric(float64(report.Summary.P99.Std().Microseconds()), "p99-us")
	b.Logf("seed %d: %.0f of %d requests answered", costSeed, answered, report.Summary.Attempts)
}

// runRate sends lookups and orders to one entry at a rate, in requests per second, and returns the
// report of the load.
func runRate(b *testing.B, entry *cluster.Daemon, rate float64, duration time.Duration) load.Report {
	b.Helper()
	generator, err := load.New(load.Config{
		Entries:     []string{entry.Settings.Entry.Listen},
		Rate:        rate,
		Concurrency: 128,
		Duration:    revision.Duration(duration),
		Timeout:     revision.Duration(5 * time.Second),
		Seed:        costSeed,
		Routes: []load.Route{
			{Method: "GET", Path: "/counter/lookups/1", Weight: 3},
			{Method: "POST", Path: "/counter/orders", Weight: 1, BodyBytes: 500},
		},
	})
	is.New(b).NoErr(err)
	return generator.Run(b.Context())
}

func daemonUsage(b *testing.B, daemon *cluster.Daemon) cluster.Usage {
	b.Helper()
	usage, err := daemon.Usage()
	is.New(b).NoErr(err)
	return usage
}
