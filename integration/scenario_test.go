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

// scenario is a running system under one row of a table of faults.
type scenario struct {
	t *testing.T
	*cluster.Cluster
	random *rand.Rand
	watch  *cluster.Monitor
	number atomic.Uint64 // of the last ticket
	newest atomic.Uint64 // revision of the newest accepted ticket
}

// newScenario starts a system with the first ticket in force everywhere.
func newScenario(t *testing.T, seed uint64, zones, hostsPerZone int) *scenario {
	t.Helper()
	c := cluster.Start(t, cluster.Options{Zones: zones, HostsPerZone: hostsPerZone})
	s := &scenario{t: t, Cluster: c, random: rand.New(rand.NewPCG(seed, 0)), watch: c.StartMonitor()}
	s.number.Store(1)
	s.accepted(c.Daemons[0].MustSubmit(setUp(1)))
	s.converge(c.Daemons...)
	s.waitMembers(c.Daemons...)
	return s
}

// waitMembers waits until the daemons know all others.
func (s *scenario) waitMembers(daemons ...*cluster.Daemon) {
	s.t.Helper()
	for _, daemon := range daemons {
		cluster.Eventually(s.t, 30*time.Second, daemon.Settings.Host+" knows every host", func() error {
			status, err := daemon.Status()
			if err == nil && len(status.Members) != len(s.Daemons) {
				err = fmt.Errorf("it knows %d", len(status.Members))
			}
			return err
		})
	}
}

// accepted notes the outcome of a ticket.
func (s *scenario) accepted(status ticket.Status) {
	for {
		old := s.newest.Load()
		if status.Revision <= old || s.newest.CompareAndSwap(old, status.Revision) {
			return
		}
	}
}

// change returns a ticket that sets a route of its own.
func change(number uint64) ticket.Ticket {
	return ticket.Ticket{Number: number, Routes: []revision.Route{{
		Name:    fmt.Sprintf("page-%d", number%16),
		Service: "counter",
		Prefix:  fmt.Sprintf("/counter/pages/%d", number%16),
		Timeout: revision.Duration(time.Duration(number) * time.Millisecond),
	}}}
}

// submit hands the next ticket to the daemon. Under faults a ticket may fail.
func (s *scenario) submit(daemon *cluster.Daemon) error {
	status, err := daemon.Submit(change(s.number.Add(1)))
	if err == nil {
		s.accepted(status)
	}
	return err
}

// mustSubmit hands the next ticket to the daemon.
func (s *scenario) mustSubmit(daemon *cluster.Daemon) {
	s.t.Helper()
	s.accepted(daemon.MustSubmit(change(s.number.Add(1))))
}

// operators submit tickets to the daemons one after the other until the
// returned function is called, which waits for them.
func (s *scenario) operators(daemons ...*cluster.Daemon) (stop func()) {
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

func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// pass lets the fault last for a time.
func (s *scenario) pass(duration time.Duration) { wait(s.t.Context(), duration) }

// converge checks that the newest accepted ticket is in force on the daemons
// within the stated target.
func (s *scenario) converge(daemons ...*cluster.Daemon) {
	s.t.Helper()
	newest := s.newest.Load()
	took := cluster.WaitRevision(s.t, convergence, newest, daemons...)
	s.t.Logf("revision %d in force on %d daemons after %v", newest, len(daemons), took.Round(time.Millisecond))
}

// herd returns a third of the daemons.
func (s *scenario) herd() []*cluster.Daemon {
	var herd []*cluster.Daemon
	for _, i := range s.random.Perm(len(s.Daemons))[:len(s.Daemons)/3] {
		herd = append(herd, s.Daemons[i])
	}
	return herd
}

// restart kills the daemons at once and starts them again.
func restart(daemons []*cluster.Daemon) {
	for _, daemon := range daemons {
		daemon.Kill()
	}
	for _, daemon := range daemons {
		daemon.Launch()
	}
}

// zone returns the daemons of a zone, and those of the others.
func (s *scenario) zone(zone int) (inside, outside []*cluster.Daemon) {
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

// cutOff cuts the daemons off from the others and from the platform.
func (s *scenario) cutOff(inside, outside []*cluster.Daemon) {
	s.Network.Partition(hosts(inside), append(hosts(outside), cluster.PlatformName))
}

func hosts(daemons []*cluster.Daemon) []string {
	var names []string
	for _, daemon := range daemons {
		names = append(names, daemon.Settings.Host)
	}
	return names
}

// disorder delays each link by a time of its own, so that updates cross.
func (s *scenario) disorder(most time.Duration) {
	for _, from := range s.Daemons {
		for _, to := range s.Daemons {
			latency := time.Duration(s.random.Int64N(int64(most)))
			s.Network.SetFault(from.Settings.Host, to.Settings.Host, faultproxy.Fault{Latency: latency})
		}
	}
}

// noViolation checks what every daemon said of itself all the time.
func (s *scenario) noViolation() {
	s.t.Helper()
	violations, polls := s.watch.Stop()
	for _, violation := range violations {
		s.t.Error(violation)
	}
	s.t.Logf("%d views of daemons looked at", polls)
}
