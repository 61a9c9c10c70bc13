package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/platformserver"
)

const (
	fleetSeed     = 1
	fleetTickets  = 30
	ticketSpacing = 500 * time.Millisecond
	idleWindow    = 20 * time.Second
	settleWait    = 15 * time.Second // until gossip on the membership has subsided
)

// fleet is the size of a measured system: the number of zones, and of hosts per zone.
type fleet struct{ zones, hosts int }

func (f fleet) daemons() int { return f.zones * f.hosts }

// BenchmarkFleet measures convergence, control bytes and the load of the platform for several fleet
// sizes, and compares them with hosts that each poll the platform once per second. Run it once per
// size:
//
//	go test -run '^$' -bench 'Fleet/daemons=40$' -benchtime 1x ./integration
func BenchmarkFleet(b *testing.B) {
	for _, f := range []fleet{{2, 5}, {4, 10}, {4, 30}} {
		b.Run(fmt.Sprintf("daemons=%d", f.daemons()), func(b *testing.B) {
			for range b.N {
				measureFleet(b, f)
			}
		})
	}
}

func measureFleet(b *testing.B, f fleet) {
	c := cluster.Start(b, cluster.Options{Zones: f.zones, HostsPerZone: f.hosts})
	accepted := c.Daemons[0].MustSubmit(setupTicket(1))
	cluster.WaitRevision(b, convergence, accepted.Revision, c.Daemons...)
	wait(b.Context(), settleWait)

	idle := measureUsage(b, c, func() { wait(b.Context(), idleWindow) })
	var samples []time.Duration
	changing := measureUsage(b, c, func() { samples = measureConvergence(b, c) })
	baseline, reads := measurePolling(b, c, f.daemons())

	b.Logf("seed %d, %d daemons in %d zones, %d tickets every %v", fleetSeed, f.daemons(), f.zones, fleetTickets, ticketSpacing)
	b.Logf("convergence: p50 %v, p99 %v, max %v; polling by every host: p50 %v, p99 %v, max %v",
		quantile(samples, 50), quantile(samples, 99), quantile(samples, 100),
		quantile(baseline, 50), quantile(baseline, 99), quantile(baseline, 100))
	b.Logf("idle: %v", idle)
	b.Logf("changing: %v; polling by every host: %.1f reads/s", changing, reads)
	b.ReportMetric(quantile(samples, 99).Seconds(), "s-p99")
	b.ReportMetric(idle.mean, "idle-B/s")
}

// usage is the consumption of a system during a measurement.
type usage struct {
	mean, peak    float64 // control bytes per second and daemon, sent and received
	reads, writes float64 // operations of the platform per second
	cpuShare      float64 // share of a core per daemon
	resident      float64 // bytes of memory per daemon
}

func (u usage) String() string {
	return fmt.Sprintf("%.0f control bytes/s per daemon (highest %.0f), %.1f reads/s and %.1f writes/s of the platform, %.2f%% of a core and %.1f MB per daemon",
		u.mean, u.peak, u.reads, u.writes, 100*u.cpuShare, u.resident/1e6)
}

// measureUsage runs work and returns the usage of the system meanwhile.
func measureUsage(b *testing.B, c *cluster.Cluster, work func()) usage {
	b.Helper()
	bytesBefore, countersBefore, began := controlBytes(b, c), platformCounters(b, c), time.Now()
	spentBefore := totalUsage(b, c)
	work()
	seconds := time.Since(began).Seconds()
	spentAfter := totalUsage(b, c)
	bytesAfter, countersAfter := controlBytes(b, c), platformCounters(b, c)
	u := usage{
		cpuShare: (spentAfter.CPUTime - spentBefore.CPUTime).Seconds() / seconds / float64(len(c.Daemons)),
		resident: float64(spentAfter.Resident) / float64(len(c.Daemons)),
		reads:    float64(countersAfter.Reads()-countersBefore.Reads()) / seconds,
		writes:   float64(countersAfter.Writes()-countersBefore.Writes()) / seconds,
	}
	for i := range bytesAfter {
		rate := float64(bytesAfter[i]-bytesBefore[i]) / seconds
		u.mean += rate / float64(len(bytesAfter))
		u.peak = max(u.peak, rate)
	}
	return u
}

// totalUsage returns the sum of the usage of all daemons.
func totalUsage(b *testing.B, c *cluster.Cluster) cluster.Usage {
	b.Helper()
	var total cluster.Usage
	for _, daemon := range c.Daemons {
		one, err := daemon.Usage()
		is.New(b).NoErr(err)
		total.CPUTime += one.CPUTime
		total.Resident += one.Resident
	}
	return total
}

func controlBytes(b *testing.B, c *cluster.Cluster) []uint64 {
	b.Helper()
	var counts []uint64
	for _, daemon := range c.Daemons {
		status, err := daemon.Status()
		is.New(b).NoErr(err)
		counts = append(counts, status.ControlBytes.Sent+status.ControlBytes.Received)
	}
	return counts
}

func platformCounters(b *testing.B, c *cluster.Cluster) platformserver.Counters {
	b.Helper()
	counted, err := c.PlatformCounters()
	is.New(b).NoErr(err)
	return counted
}

// measureConvergence submits tickets one after the other, each to a random daemon, and returns for each
// ticket and daemon the time from the submission until the daemon had it in force.
func measureConvergence(b *testing.B, c *cluster.Cluster) []time.Duration {
	b.Helper()
	random := rand.New(rand.NewPCG(fleetSeed, 0))
	var samples []time.Duration
	for i := range fleetTickets {
		began := time.Now()
		status := c.Daemons[random.IntN(len(c.Daemons))].MustSubmit(changeTicket(uint64(i + 2)))
		cluster.WaitRevision(b, convergence, status.Revision, c.Daemons...)
		for _, daemon := range c.Daemons {
			reported, err := daemon.Status()
			is.New(b).NoErr(err)
			samples = append(samples, reported.AppliedAt.Sub(began))
		}
		wait(b.Context(), ticketSpacing)
	}
	return samples
}

// measurePolling measures the baseline: count clients, each of which reads the log about once per
// second. It returns the convergence times and the reads of the platform per second.
func measurePolling(b *testing.B, c *cluster.Cluster, count int) (samples []time.Duration, reads float64) {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	var submitted sync.Map // revision to time
	var mu sync.Mutex
	var group sync.WaitGroup
	for range count {
		log := revision.NewLog(c.PlatformClient())
		group.Go(func() {
			base, _, _ := log.CatchUp(ctx, revision.Empty())
			for ctx.Err() == nil {
				wait(ctx, time.Duration(float64(time.Second)*(0.8+0.4*rand.Float64())))
				next, _, err := log.CatchUp(ctx, base)
				if began, ok := submitted.Load(next.Revision()); ok && err == nil && next != base {
					mu.Lock()
					samples = append(samples, time.Since(began.(time.Time)))
					mu.Unlock()
				}
				base = next
			}
		})
	}
	u := measureUsage(b, c, func() { submitForPollers(b, c, &submitted) })
	cancel()
	group.Wait()
	return samples, u.reads
}

// submitForPollers submits tickets at an interval longer than that of the polling, so that each client
// observes each of them.
func submitForPollers(b *testing.B, c *cluster.Cluster, submitted *sync.Map) {
	b.Helper()
	for i := range 5 {
		began := time.Now()
		status := c.Daemons[0].MustSubmit(changeTicket(uint64(i + fleetTickets + 2)))
		submitted.Store(status.Revision, began)
		wait(b.Context(), 2*time.Second)
	}
}

// quantile returns a percentile of the samples by the nearest-rank method, or 0 without samples.
func quantile(samples []time.Duration, percent int) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(rank, 1)-1].Round(100 * time.Microsecond)
}
