package integration

import (
	"testing"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/integration/faultproxy"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// dropDatagrams drops every datagram between the daemons, and so all gossip. Peer sessions, which use
// TCP, are not affected.
func (r *requestTest) dropDatagrams() {
	r.Network.SetFault(faultproxy.AnyHost, faultproxy.AnyHost, faultproxy.Fault{DropDatagrams: true})
}

// checkCleanExit checks that the process ends without an error.
func checkCleanExit(t *testing.T, p *cluster.Process) {
	t.Helper()
	if err := p.Wait(t); err != nil {
		t.Errorf("%s: %v", p.Name, err)
	}
}

// remainingDaemons returns the daemons outside the group.
func (r *requestTest) remainingDaemons(group map[*cluster.Daemon]bool) []*cluster.Daemon {
	var rest []*cluster.Daemon
	for _, daemon := range r.Daemons {
		if !group[daemon] {
			rest = append(rest, daemon)
		}
	}
	return rest
}

// TestPlannedStops checks that no request fails while daemons, targets or both are stopped gracefully, one
// or several at once.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		seed         uint64
		zones, hosts int
		daemons      int  // that stop at once
		targets      int  // on other hosts, that stop at once
		restart      bool // whether the stopped daemons start again
	}{
		{"a daemon", 1, 1, 3, 1, 0, true},
		{"a target", 2, 1, 3, 0, 1, false},
		{"a third of the daemons", 3, 3, 2, 2, 0, true},
		{"a third of the targets", 4, 3, 2, 0, 2, false},
		{"daemons and targets together", 5, 3, 2, 2, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRequestTest(t, requestTestOptions{seed: c.seed, zones: c.zones, hosts: c.hosts})
			order := r.random.Perm(len(r.Daemons))
			stopping := make(map[*cluster.Daemon]bool)
			for _, i := range order[:c.daemons] {
				stopping[r.Daemons[i]] = true
			}
			r.startLoad(r.mixedLoad(300, r.remainingDaemons(stopping)...))
			begin := time.Now()
			for daemon := range stopping {
				daemon.Terminate()
			}
			leaving := order[c.daemons : c.daemons+c.targets]
			for _, i := range leaving {
				r.targets[i].Terminate()
			}
			for daemon := range stopping {
				checkCleanExit(t, daemon.Process)
				if c.restart {
					daemon.Launch()
				}
			}
			for _, i := range leaving {
				checkCleanExit(t, r.targets[i].Process)
			}
			r.sleep(recovery + steadyTraffic)
			r.stopLoad()
			r.audit()
			r.checkSucceeded(begin.Add(-steadyTraffic), time.Time{})
		})
	}
}

// TestStoppingEntryAnswersItsCallers checks that a stopping daemon finishes the requests that it accepted
// as entry.
func TestStoppingEntryAnswersItsCallers(t *testing.T) {
	t.Parallel()
	r := newRequestTest(t, requestTestOptions{seed: 1, zones: 1, hosts: 3, target: func(config *targetserver.Config) {
		config.WorkDuration = revision.Duration(300 * time.Millisecond)
		config.Slots = 200
	}})
	r.startLoad(r.mixedLoad(200, r.Daemons[0]))
	r.Daemons[0].Terminate()
	checkCleanExit(t, r.Daemons[0].Process)
	r.stopLoad()
	r.audit()
	for _, a := range r.responses {
		if a.Outcome == load.OutcomeIncomplete || a.Outcome == load.OutcomeUnknown {
			t.Fatalf("%s: %s, status %d, %s", a.Path, a.Outcome, a.Status, a.Error)
		}
	}
}

// TestLeavingTargetGetsNoNewWork checks that a leaving target gets no new requests after leavingGrace,
// even if gossip is lost and no host receives the update.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	r := newRequestTest(t, requestTestOptions{seed: 1, zones: 1, hosts: 3,
		target: func(config *targetserver.Config) {
			config.Linger = revision.Duration(6 * time.Second)
		},
		settings: func(s *settings.Settings) { s.Exit.DrainTimeout = revision.Duration(10 * time.Second) },
	})
	r.startLoad(r.mixedLoad(300, r.Daemons...))
	r.dropDatagrams()
	begin := time.Now()
	r.targets[2].Terminate()
	r.sleep(leavingGrace + steadyTraffic)
	r.stopLoad()
	r.audit()
	r.checkSucceeded(begin.Add(-steadyTraffic), time.Time{})
	checkCleanExit(t, r.targets[2].Process)
}

// TestStopEndsWithinTheDrainTimeout checks that a daemon whose requests outlast the drain timeout
// ends by itself before that time: whoever supervises it kills it then, with what it still had to
// close and to log.
func TestStopEndsWithinTheDrainTimeout(t *testing.T) {
	t.Parallel()
	const drainTimeout = 4 * time.Second
	r := newRequestTest(t, requestTestOptions{seed: 1, zones: 1, hosts: 2,
		target:   func(config *targetserver.Config) { config.WorkDuration = revision.Duration(30 * time.Second) },
		settings: func(s *settings.Settings) { s.Exit.DrainTimeout = revision.Duration(drainTimeout) },
	})
	r.startLoad(r.mixedLoad(20, r.Daemons[1]))
	r.sleep(time.Second)
	began := time.Now()
	r.Daemons[0].Terminate()
	_ = r.Daemons[0].Wait(t) // the requests in flight are an error
	if took := time.Since(began); took >= drainTimeout {
		t.Errorf("the daemon took %v to stop", took)
	}
	r.Daemons[1].Kill()
	r.stopLoad()
}
