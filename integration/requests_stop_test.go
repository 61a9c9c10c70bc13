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

// cutGossip drops every datagram between the daemons. Peer sessions go on.
func (r *requests) cutGossip() {
	r.Network.SetFault(faultproxy.AnyHost, faultproxy.AnyHost, faultproxy.Fault{DropDatagrams: true})
}

// stopped checks that the process ended by itself and well.
func stopped(t *testing.T, p *cluster.Process) {
	t.Helper()
	if err := p.Wait(t); err != nil {
		t.Errorf("%s: %v", p.Name, err)
	}
}

// survivors returns the daemons that are not in the group.
func (r *requests) survivors(group map[*cluster.Daemon]bool) []*cluster.Daemon {
	var rest []*cluster.Daemon
	for _, daemon := range r.Daemons {
		if !group[daemon] {
			rest = append(rest, daemon)
		}
	}
	return rest
}

// TestPlannedStops checks that planned stops cut no request in flight, whoever
// stops and however many at once.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		seed         uint64
		zones, hosts int
		daemons      int // that stop at once
		targets      int // that stop at once, on other hosts
		back         bool
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
			r := newRequests(t, shape{seed: c.seed, zones: c.zones, hosts: c.hosts})
			order := r.random.Perm(len(r.Daemons))
			stopping := make(map[*cluster.Daemon]bool)
			for _, i := range order[:c.daemons] {
				stopping[r.Daemons[i]] = true
			}
			r.begin(r.mixed(300, r.survivors(stopping)...))
			begin := time.Now()
			for daemon := range stopping {
				daemon.Terminate()
			}
			leaving := order[c.daemons : c.daemons+c.targets]
			for _, i := range leaving {
				r.targets[i].Terminate()
			}
			for daemon := range stopping {
				stopped(t, daemon.Process)
				if c.back {
					daemon.Launch()
				}
			}
			for _, i := range leaving {
				stopped(t, r.targets[i].Process)
			}
			r.pass(recovery + calm)
			r.end()
			r.audit()
			r.answered(begin.Add(-calm), time.Time{})
		})
	}
}

// TestStoppingEntryAnswersItsCallers checks that a daemon that stops finishes the
// calls that it took as entry.
func TestStoppingEntryAnswersItsCallers(t *testing.T) {
	t.Parallel()
	r := newRequests(t, shape{seed: 1, zones: 1, hosts: 3, target: func(config *targetserver.Config) {
		config.Work = revision.Duration(300 * time.Millisecond)
		config.Slots = 200
	}})
	r.begin(r.mixed(200, r.Daemons[0]))
	r.Daemons[0].Terminate()
	stopped(t, r.Daemons[0].Process)
	r.end()
	r.audit()
	for _, a := range r.answers {
		if a.Outcome == load.OutcomeCut || a.Outcome == load.OutcomeUnknown {
			t.Fatalf("%s: %s, status %d, %s", a.Path, a.Outcome, a.Status, a.Error)
		}
	}
}

// TestLeavingTargetGetsNoNewWork checks that a target that leaves gets no work
// after the grace even if no host hears of it.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	r := newRequests(t, shape{seed: 1, zones: 1, hosts: 3,
		target: func(config *targetserver.Config) {
			config.Linger = revision.Duration(6 * time.Second)
		},
		settings: func(s *settings.Settings) { s.Exit.DrainTimeout = revision.Duration(10 * time.Second) },
	})
	r.begin(r.mixed(300, r.Daemons...))
	r.cutGossip()
	begin := time.Now()
	r.targets[2].Terminate()
	r.pass(leavingGrace + calm)
	r.end()
	r.audit()
	r.answered(begin.Add(-calm), time.Time{})
	stopped(t, r.targets[2].Process)
}
