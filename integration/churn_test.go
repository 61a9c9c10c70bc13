package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/standin/load"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// TestNothingDangles checks that no daemon ever has a route to something that it
// lacks while routes, versions and services come and go and targets churn, and
// that calls of the service that stays are always answered.
func TestNothingDangles(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		seed  uint64
		fault func(s *scenario)
	}{
		{"without faults", 1, func(*scenario) {}},
		{"updates cross", 2, func(s *scenario) { s.disorder(40 * time.Millisecond) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(t, c.seed, 2, 3)
			for _, daemon := range s.Daemons {
				s.StartTarget(daemon, "counter", "v1", nil)
			}
			s.WaitTargets("counter", "v1", len(s.Daemons))
			c.fault(s)
			calls := startLoad(t, mixture(s.Cluster, 200, time.Minute))
			s.comeAndGo(4)
			report := calls.stop()
			allAnswered(t, report)
			s.converge(s.Daemons...)
			s.noViolation()
		})
	}
}

// guest returns a ticket that adds a service with a route, and one that takes
// both away.
func (s *scenario) guest(name string) (add, remove ticket.Ticket) {
	add = ticket.Ticket{
		Number:   s.number.Add(1),
		Services: []revision.Service{{Name: name}},
		Versions: []revision.Version{{Service: name, Name: "v1"}},
		Splits:   []revision.Split{{Service: name, Shares: []revision.Share{{Version: "v1", Weight: revision.FullShare}}}},
		Routes:   []revision.Route{{Name: name, Service: name, Prefix: "/" + name, Repeat: revision.RepeatIdempotent}},
	}
	remove = ticket.Ticket{
		Number: s.number.Add(1),
		Delete: []revision.Ref{
			{Kind: revision.KindRoute, Name: name},
			{Kind: revision.KindSplit, Name: name},
			{Kind: revision.KindVersion, Name: revision.VersionName(name, "v1")},
			{Kind: revision.KindService, Name: name},
		},
	}
	return add, remove
}

// comeAndGo adds services with targets, calls them on every daemon, replaces the
// targets and takes the services away, for a number of rounds.
func (s *scenario) comeAndGo(rounds int) {
	s.t.Helper()
	for round := range rounds {
		name := fmt.Sprintf("guest-%d", round)
		first := s.StartTarget(s.pick(), name, "v1", nil)
		s.WaitTargets(name, "v1", 1)
		add, remove := s.guest(name)
		s.accepted(s.pick().MustSubmit(add))
		s.converge(s.Daemons...)
		stop := s.callGuest(name)
		s.StartTarget(s.pick(), name, "v1", nil)
		s.WaitTargets(name, "v1", 2)
		first.Terminate()
		is.New(s.t).NoErr(first.Wait(s.t))
		s.pass(500 * time.Millisecond)
		stop()
		_, err := s.pick().Submit(dangling(remove))
		s.refused(err, fmt.Sprintf("route/%s: service %q does not exist", name, name))
		s.accepted(s.pick().MustSubmit(remove))
	}
}

// dangling returns the removal without that of the route.
func dangling(remove ticket.Ticket) ticket.Ticket {
	remove.Number += 1000
	remove.Delete = remove.Delete[1:]
	return remove
}

func (s *scenario) pick() *cluster.Daemon { return s.Daemons[s.random.IntN(len(s.Daemons))] }

// callGuest calls the service at every daemon until the returned function is
// called, and checks that no daemon says that it lacks the route or a target.
func (s *scenario) callGuest(name string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	var group sync.WaitGroup
	for _, daemon := range s.Daemons {
		group.Go(func() {
			for ctx.Err() == nil {
				if err := s.callOnce(daemon, name); err != nil {
					s.t.Errorf("%s: %s: %v", daemon.Settings.Host, name, err)
				}
				wait(ctx, 20*time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

func (s *scenario) callOnce(daemon *cluster.Daemon, name string) error {
	response, err := http.Get("http://" + daemon.Settings.Entry.Listen + "/" + name)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}

// TestVersions checks the verdicts on bad versions, and on a good one while
// daemons and targets churn.
func TestVersions(t *testing.T) {
	t.Parallel()
	slow := targetserver.Behaviour{AddedLatency: revision.Duration(400 * time.Millisecond)}
	fails := targetserver.Behaviour{FailStatus: 500}
	cases := []struct {
		name    string
		seed    uint64
		bad     func(zone string) []targetserver.Behaviour
		churn   bool
		verdict ticket.Verdict
	}{
		{"slow rather than failing", 1, func(string) []targetserver.Behaviour {
			return []targetserver.Behaviour{slow}
		}, false, ticket.RolledBack},
		{"bad in one zone", 2, func(zone string) []targetserver.Behaviour {
			if strings.HasSuffix(zone, "b") {
				return []targetserver.Behaviour{fails}
			}
			return []targetserver.Behaviour{}
		}, false, ticket.RolledBack},
		{"bad on one route", 3, func(string) []targetserver.Behaviour {
			return []targetserver.Behaviour{{Prefix: "/counter/orders", FailStatus: 500}}
		}, false, ticket.RolledBack},
		{"good while daemons and targets churn", 4, func(string) []targetserver.Behaviour {
			return []targetserver.Behaviour{}
		}, true, ticket.Completed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(t, c.seed, 3, 2)
			for _, daemon := range s.Daemons {
				s.StartTarget(daemon, "counter", "v1", nil)
				s.StartTarget(daemon, "counter", "v2", func(config *targetserver.Config) {
					config.Behaviours = c.bad(daemon.Settings.Zone)
				})
			}
			s.WaitTargets("counter", "v1", len(s.Daemons))
			s.WaitTargets("counter", "v2", len(s.Daemons))
			calls := startLoad(t, mixture(s.Cluster, 300, 2*time.Minute))
			s.accepted(s.Daemons[1].MustSubmit(move(2, 40*time.Second)))
			if c.churn {
				s.churn()
			}
			verdict := s.Daemons[2].WaitVerdict(2)
			is.New(t).Equal(verdict.Verdict, c.verdict)
			is.New(t).True(!verdict.At.After(verdict.By)) // by the deadline
			report := calls.stop()
			t.Logf("%s: %s; %s", verdict.Verdict, verdict.Reason, exposure(report))
			s.fewMetIt(report, c.verdict)
			s.noViolation()
		})
	}
}

// churn restarts a daemon and replaces targets while a move runs.
func (s *scenario) churn() {
	s.t.Helper()
	s.waitShare(s.Daemons[0], 1)
	for range 2 {
		extra := s.StartTarget(s.pick(), "counter", "v1", nil)
		s.pass(2 * time.Second)
		extra.Terminate()
		s.Daemons[5].Terminate()
		is.New(s.t).NoErr(s.Daemons[5].Wait(s.t))
		s.Daemons[5].Launch()
		s.Daemons[5].WaitReady()
	}
}

// exposure describes how many calls met the new version.
func exposure(report load.Report) string {
	var parts []string
	for _, version := range report.Summary.Versions {
		parts = append(parts, fmt.Sprintf("%s: %d answers, %d failures", version.Version, version.Responses, version.Failures))
	}
	return strings.Join(parts, "; ")
}

// fewMetIt checks that a version which was taken back got a small share of all
// calls.
func (s *scenario) fewMetIt(report load.Report, verdict ticket.Verdict) {
	s.t.Helper()
	if verdict != ticket.RolledBack {
		return
	}
	for _, version := range report.Summary.Versions {
		if version.Version == "v2" && version.Responses*10 > uint64(len(report.Results)) {
			s.t.Errorf("%d of %d calls met the bad version", version.Responses, len(report.Results))
		}
	}
}
