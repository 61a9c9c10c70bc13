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

// TestNothingDangles checks that no daemon ever has a route to a service or version that is missing
// from its configuration while routes, versions and services are added and deleted and targets are
// replaced, and that every request to a service that stays is answered with a success.
func TestNothingDangles(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		seed  uint64
		fault func(s *scenario)
	}{
		{"without faults", 1, func(*scenario) {}},
		{"updates arrive out of order", 2, func(s *scenario) { s.delayLinks(40 * time.Millisecond) }},
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
			run := startLoad(t, requestMix(s.Cluster, 200, time.Minute))
			s.cycleServices(4)
			report := run.stop()
			checkAllSucceeded(t, report)
			s.waitConverged(s.Daemons...)
			s.checkInvariants()
		})
	}
}

// temporaryService returns a ticket that adds a service with one version and a route, and one that
// deletes them.
func (s *scenario) temporaryService(name string) (add, remove ticket.Ticket) {
	add = ticket.Ticket{
		Number:   s.lastTicket.Add(1),
		Services: []revision.Service{{Name: name}},
		Versions: []revision.Version{{Service: name, Name: "v1"}},
		Splits:   []revision.Split{{Service: name, Shares: []revision.Share{{Version: "v1", Weight: revision.FullShare}}}},
		Routes:   []revision.Route{{Name: name, Service: name, Prefix: "/" + name, Repeat: revision.RepeatIdempotent}},
	}
	remove = ticket.Ticket{
		Number: s.lastTicket.Add(1),
		Delete: []revision.Ref{
			{Kind: revision.KindRoute, Name: name},
			{Kind: revision.KindSplit, Name: name},
			{Kind: revision.KindVersion, Name: revision.VersionName(name, "v1")},
			{Kind: revision.KindService, Name: name},
		},
	}
	return add, remove
}

// cycleServices adds, in each round, a service with a target, sends requests to it through every daemon,
// replaces the target and deletes the service. It also checks that a ticket which would leave the
// route without its service is refused.
func (s *scenario) cycleServices(rounds int) {
	s.t.Helper()
	for round := range rounds {
		name := fmt.Sprintf("guest-%d", round)
		first := s.StartTarget(s.randomDaemon(), name, "v1", nil)
		s.WaitTargets(name, "v1", 1)
		add, remove := s.temporaryService(name)
		s.recordAccepted(s.randomDaemon().MustSubmit(add))
		s.waitConverged(s.Daemons...)
		stop := s.requestContinuously(name)
		s.StartTarget(s.randomDaemon(), name, "v1", nil)
		s.WaitTargets(name, "v1", 2)
		first.Terminate()
		is.New(s.t).NoErr(first.Wait(s.t))
		s.sleep(500 * time.Millisecond)
		stop()
		_, err := s.randomDaemon().Submit(withoutRouteDeletion(remove))
		s.checkRefusal(err, fmt.Sprintf("route/%s: service %q does not exist", name, name))
		s.recordAccepted(s.randomDaemon().MustSubmit(remove))
	}
}

// withoutRouteDeletion returns the ticket without the deletion of the route, under another number.
func withoutRouteDeletion(remove ticket.Ticket) ticket.Ticket {
	remove.Number += 1000
	remove.Delete = remove.Delete[1:]
	return remove
}

func (s *scenario) randomDaemon() *cluster.Daemon { return s.Daemons[s.random.IntN(len(s.Daemons))] }

// requestContinuously sends requests for the service to every daemon until the returned function is
// called. It fails the test for each request without a success, such as one to a daemon that has no
// route or no target.
func (s *scenario) requestContinuously(name string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	var group sync.WaitGroup
	for _, daemon := range s.Daemons {
		group.Go(func() {
			for ctx.Err() == nil {
				if err := s.requestService(daemon, name); err != nil {
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

func (s *scenario) requestService(daemon *cluster.Daemon, name string) error {
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

// TestVersions checks the verdicts on bad versions, and on a good version while daemons are restarted
// and targets replaced. A bad version may get at most a tenth of all requests.
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
			run := startLoad(t, requestMix(s.Cluster, 300, 2*time.Minute))
			s.recordAccepted(s.Daemons[1].MustSubmit(rolloutTicket(2, 40*time.Second)))
			if c.churn {
				s.churn()
			}
			verdict := s.Daemons[2].WaitVerdict(2)
			is.New(t).Equal(verdict.Verdict, c.verdict)
			is.New(t).True(!verdict.At.After(verdict.By)) // by the deadline
			report := run.stop()
			t.Logf("%s: %s; %s", verdict.Verdict, verdict.Reason, versionSummary(report))
			s.checkBadVersionShare(report, c.verdict)
			s.checkInvariants()
		})
	}
}

// churn restarts a daemon and starts and stops targets while a rollout runs.
func (s *scenario) churn() {
	s.t.Helper()
	s.waitShare(s.Daemons[0], 1)
	for range 2 {
		extra := s.StartTarget(s.randomDaemon(), "counter", "v1", nil)
		s.sleep(2 * time.Second)
		extra.Terminate()
		s.Daemons[5].Terminate()
		is.New(s.t).NoErr(s.Daemons[5].Wait(s.t))
		s.Daemons[5].Launch()
		s.Daemons[5].WaitReady()
	}
}

// versionSummary returns the numbers of responses and failures of each version.
func versionSummary(report load.Report) string {
	var parts []string
	for _, version := range report.Summary.Versions {
		parts = append(parts, fmt.Sprintf("%s: %d responses, %d failures", version.Version, version.Responses, version.Failures))
	}
	return strings.Join(parts, "; ")
}

// checkBadVersionShare checks that a version which was rolled back answered at most a tenth of all
// requests. It does nothing for other verdicts.
func (s *scenario) checkBadVersionShare(report load.Report, verdict ticket.Verdict) {
	s.t.Helper()
	if verdict != ticket.RolledBack {
		return
	}
	for _, version := range report.Summary.Versions {
		if version.Version == "v2" && version.Responses*10 > uint64(len(report.Results)) {
			s.t.Errorf("the bad version answered %d of %d requests, want at most a tenth", version.Responses, len(report.Results))
		}
	}
}
