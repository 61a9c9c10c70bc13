package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/integration/faultproxy"
)

// scenario is a running system of a test of the configuration distribution. Its monitor checks the
// daemons' invariants all the time.
type scenario struct {
	t *testing.T
	*cluster.Cluster
	random       *rand.Rand
	monitor      *cluster.Monitor
	lastTicket   atomic.Uint64 // number of the last ticket
	lastAccepted atomic.Uint64 // highest revision of an accepted ticket
}

// newScenario starts a system and returns once the first ticket is in force on every daemon and every
// daemon knows all others. The seed determines the random choices of the scenario.
func newScenario(t *testing.T, seed uint64, zones, hostsPerZone int) *scenario {
	t.Helper()
	c := cluster.Start(t, cluster.Options{Zones: zones, HostsPerZone: hostsPerZone})
	s := &scenario{t: t, Cluster: c, random: rand.New(rand.NewPCG(seed, 0)), monitor: c.StartMonitor()}
	s.lastTicket.Store(1)
	s.recordAccepted(c.Daemons[0].MustSubmit(setupTicket(1)))
	s.waitConverged(c.Daemons...)
	s.waitFullMembership(c.Daemons...)
	return s
}

// waitFullMembership waits until the member list of each of the daemons contains every host.
func (s *scenario) waitFullMembership(daemons ...*cluster.Daemon) {
	s.t.Helper()
	for _, daemon := range daemons {
		cluster.Eventually(s.t, 30*time.Second, daemon.Settings.Host+" knows every host", func() error {
			status, err := daemon.Status()
			if err == nil && len(status.Members) != len(s.Daemons) {
				err = fmt.Errorf("it knows %d hosts", len(status.Members))
			}
			return err
		})
	}
}

// recordAccepted raises lastAccepted to the revision of an accepted ticket.
func (s *scenario) recordAccepted(status ticket.Status) {
	for {
		old := s.lastAccepted.Load()
		if status.Revision <= old || s.lastAccepted.CompareAndSwap(old, status.Revision) {
			return
		}
	}
}

// changeTicket returns a ticket that sets one of 16 routes, chosen by the ticket's number. The route's
// timeout is the number in milliseconds, so that each ticket changes the configuration.
func changeTicket(number uint64) ticket.Ticket {
	return ticket.Ticket{Number: number, Routes: []revision.Route{{
		Name:    fmt.Sprintf("page-%d", number%16),
		Service: "counter",
		Prefix:  fmt.Sprintf("/counter/pages/%d", number%16),
		Timeout: revision.Duration(time.Duration(number) * time.Millisecond),
	}}}
}

// submit submits the next ticket to the daemon. It returns an error if the ticket fails, which may
// happen under faults.
func (s *scenario) submit(daemon *cluster.Daemon) error {
	status, err := daemon.Submit(changeTicket(s.lastTicket.Add(1)))
	if err == nil {
		s.recordAccepted(status)
	}
	return err
}

// mustSubmit submits the next ticket to the daemon and fails the test if that returns an error.
func (s *scenario) mustSubmit(daemon *cluster.Daemon) {
	s.t.Helper()
	s.recordAccepted(daemon.MustSubmit(changeTicket(s.lastTicket.Add(1))))
}

// submitContinuously submits tickets to each of the daemons, one after the other, until the returned
// function is called, which waits for the submissions in flight. Failed tickets are ignored.
func (s *scenario) submitContinuously(daemons ...*cluster.Daemon) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	var group sync.WaitGroup
	for _, daemon := range daemons {
		group.Go(func() {
			for ctx.Err() == nil {
				_ = s.submit(daemon)
				wait(ctx, 50*time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// wait waits for a duration or until the context ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// sleep waits for a duration while the present faults last, or until the test ends.
func (s *scenario) sleep(duration time.Duration) { wait(s.t.Context(), duration) }

// waitConverged checks that the last accepted ticket is in force on the daemons within the time
// convergence.
func (s *scenario) waitConverged(daemons ...*cluster.Daemon) {
	s.t.Helper()
	newest := s.lastAccepted.Load()
	elapsed := cluster.WaitRevision(s.t, convergence, newest, daemons...)
	s.t.Logf("revision %d in force on %d daemons after %v", newest, len(daemons), elapsed.Round(time.Millisecond))
}

// randomThird returns a random third of the daemons.
func (s *scenario) randomThird() []*cluster.Daemon {
	var third []*cluster.Daemon
	for _, i := range s.random.Perm(len(s.Daemons))[:len(s.Daemons)/3] {
		third = append(third, s.Daemons[i])
	}
	return third
}

// restart kills all of the daemons before it starts them again.
func restart(daemons []*cluster.Daemon) {
	for _, daemon := range daemons {
		daemon.Kill()
	}
	for _, daemon := range daemons {
		daemon.Launch()
	}
}

// splitByZone returns the daemons of the zone with the zero-based index, and those of all other zones.
func (s *scenario) splitByZone(zone int) (inside, outside []*cluster.Daemon) {
	name := s.Daemons[0].Settings.Zone
	name = name[:len(name)-1] + string(rune('a'+zone))
	for _, daemon := range s.Daemons {
		if daemon.Settings.Zone == name {
			inside = append(inside, daemon)
		} else {
			outside = append(outside, daemon)
		}
	}
	return inside, outside
}

// partition drops the traffic between the daemons inside and those outside, and between the daemons
// inside and the platform.
func (s *scenario) partition(inside, outside []*cluster.Daemon) {
	s.Network.Partition(hostNames(inside), append(hostNames(outside), cluster.PlatformName))
}

func hostNames(daemons []*cluster.Daemon) []string {
	var names []string
	for _, daemon := range daemons {
		names = append(names, daemon.Settings.Host)
	}
	return names
}

// delayLinks adds a random latency below the limit to each link, so that updates arrive out of order.
func (s *scenario) delayLinks(most time.Duration) {
	for _, from := range s.Daemons {
		for _, to := range s.Daemons {
			latency := time.Duration(s.random.Int64N(int64(most)))
			s.Network.SetFault(from.Settings.Host, to.Settings.Host, faultproxy.Fault{Latency: latency})
		}
	}
}

// checkInvariants stops the monitor and fails the test for each violation that it recorded.
func (s *scenario) checkInvariants() {
	s.t.Helper()
	violations, polls := s.monitor.Stop()
	for _, violation := range violations {
		s.t.Error(violation)
	}
	s.t.Logf("%d daemon statuses checked", polls)
}
