package integration

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/rendezvous"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/integration/faultproxy"
	"sassafrasnotch.example/mesh/standin/platformserver"
)

// TestAcceptedTicketIsInForce checks that an accepted ticket is in force on every reachable daemon within
// the time convergence under faults of the platform, of daemons and of connections, and when operators
// submit conflicting tickets.
func TestAcceptedTicketIsInForce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		seed         uint64
		zones, hosts int
		fail         func(s *scenario)
	}{
		{"the response to the accepting write is lost", 1, 3, 2, (*scenario).loseWriteResponses},
		{"the platform is slow", 2, 3, 2, func(s *scenario) {
			s.SetPlatformFaults(platformserver.Faults{Delay: revision.Duration(400 * time.Millisecond)})
			s.mustSubmit(s.Daemons[2])
			s.waitConverged(s.Daemons...)
		}},
		{"two operators use the same number", 3, 3, 2, (*scenario).submitSameNumber},
		{"operators race for the same resource", 4, 3, 2, (*scenario).submitSameResource},
		{"a lower number comes after a higher one", 5, 2, 2, (*scenario).submitLowerNumber},
		{"the accepting daemon is killed at once", 6, 3, 3, func(s *scenario) {
			s.mustSubmit(s.Daemons[4])
			s.Daemons[4].Kill()
			s.waitConverged(append(append([]*cluster.Daemon{}, s.Daemons[:4]...), s.Daemons[5:]...)...)
			s.Daemons[4].Launch()
		}},
		{"the zone readers of every zone are killed during the distribution", 7, 2, 4, func(s *scenario) {
			s.delayLinks(100 * time.Millisecond)
			submitted := make(chan error, 1)
			readers, others := s.zoneReaders(0, 1)
			go func() { submitted <- s.submit(others[0]) }()
			s.sleep(100 * time.Millisecond)
			for _, reader := range readers {
				reader.Kill()
			}
			is.New(s.t).NoErr(<-submitted)
			s.waitConverged(others...)
			for _, reader := range readers {
				reader.Launch()
			}
		}},
		{"the zone readers of a zone are paused", 8, 2, 4, func(s *scenario) {
			readers, others := s.zoneReaders(1)
			for _, reader := range readers {
				reader.Pause()
			}
			inside, _ := s.splitByZone(0)
			s.mustSubmit(inside[0])
			s.waitConverged(others...)
			s.mustSubmit(others[len(others)-1])
			s.waitConverged(others...)
			for _, reader := range readers {
				reader.Resume()
			}
		}},
		{"a host is partitioned from all other hosts but not from the platform", 9, 2, 3, func(s *scenario) {
			isolated := s.Daemons[1]
			rest := append(append([]*cluster.Daemon{}, s.Daemons[:1]...), s.Daemons[2:]...)
			s.Network.Partition(hostNames([]*cluster.Daemon{isolated}), hostNames(rest))
			s.mustSubmit(rest[0])
			s.waitConverged(s.Daemons...)
			s.mustSubmit(isolated)
			s.waitConverged(s.Daemons...)
			s.Network.ClearFaults()
		}},
		{"traffic on every open connection is dropped, also to the platform", 10, 2, 3, func(s *scenario) {
			s.Network.BlackholeOpenConnections(faultproxy.AnyHost, faultproxy.AnyHost)
			wanted := changeTicket(s.lastTicket.Add(1))
			cluster.Eventually(s.t, convergence, "the ticket is accepted", func() error {
				status, err := s.Daemons[0].Submit(wanted)
				s.recordAccepted(status)
				return err
			})
			s.waitConverged(s.Daemons...)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(t, c.seed, c.zones, c.hosts)
			c.fail(s)
			s.waitConverged(s.Daemons...)
			s.checkInvariants()
		})
	}
}

// zoneReaders returns the daemons that read the platform for the zones, two per zone, and all other
// daemons.
func (s *scenario) zoneReaders(zones ...int) (readers, others []*cluster.Daemon) {
	reads := make(map[string]bool)
	for _, zone := range zones {
		inside, _ := s.splitByZone(zone)
		for _, host := range rendezvous.Rank("reader/"+inside[0].Settings.Zone, hostNames(inside))[:2] {
			reads[host] = true
		}
	}
	for _, daemon := range s.Daemons {
		if reads[daemon.Settings.Host] {
			readers = append(readers, daemon)
		} else {
			others = append(others, daemon)
		}
	}
	return readers, others
}

// loseWriteResponses submits tickets while the platform drops the responses to one, two and three
// writes, any of which may be the one that accepts the ticket. It checks that each ticket is accepted
// exactly once, also when it is submitted again.
func (s *scenario) loseWriteResponses() {
	is := is.New(s.t)
	for lost := 1; lost <= 3; lost++ {
		before := s.lastAccepted.Load()
		s.SetPlatformFaults(platformserver.Faults{DropWriteResponses: lost})
		wanted := changeTicket(s.lastTicket.Add(1))
		status := s.Daemons[lost].MustSubmit(wanted)
		is.Equal(status.Revision, before+1) // accepted exactly once
		again := s.Daemons[0].MustSubmit(wanted)
		is.Equal(again.Revision, status.Revision) // the second submission makes no revision
		s.recordAccepted(status)
		s.waitConverged(s.Daemons...)
	}
}

// submitResult is the result of the submission of a ticket.
type submitResult struct {
	status ticket.Status
	err    error
}

// submitConcurrently submits each ticket to the daemon with the same index, all at the same time.
func (s *scenario) submitConcurrently(tickets []ticket.Ticket) []submitResult {
	results := make([]submitResult, len(tickets))
	var group sync.WaitGroup
	for i := range tickets {
		group.Go(func() {
			results[i].status, results[i].err = s.Daemons[i].Submit(tickets[i])
		})
	}
	group.Wait()
	return results
}

// checkRefusal checks that an error is a response with status 422 and a reason that contains the text.
func (s *scenario) checkRefusal(err error, reason string) {
	s.t.Helper()
	var refusal *cluster.AdminError
	if !errors.As(err, &refusal) || refusal.Status != 422 || !strings.Contains(strings.Join(refusal.Body.Reasons, "\n"), reason) {
		s.t.Fatalf("got error %v, want a refusal with the reason %q", err, reason)
	}
}

// submitSameNumber submits tickets with one number and different content concurrently, in five rounds,
// and checks that exactly one is accepted in each round.
func (s *scenario) submitSameNumber() {
	is := is.New(s.t)
	for range 5 {
		number := s.lastTicket.Add(1)
		var tickets []ticket.Ticket
		for i := range s.Daemons {
			wanted := changeTicket(number)
			wanted.Comment = fmt.Sprintf("operator %d", i)
			tickets = append(tickets, wanted)
		}
		before := s.lastAccepted.Load()
		accepted := 0
		for _, r := range s.submitConcurrently(tickets) {
			if r.err != nil {
				s.checkRefusal(r.err, "number was used with other content")
				continue
			}
			accepted++
			s.recordAccepted(r.status)
		}
		is.Equal(accepted, 1)
		is.Equal(s.lastAccepted.Load(), before+1)
		s.waitConverged(s.Daemons...)
	}
}

// submitSameResource submits tickets for one route concurrently, in five rounds, and checks that the
// route of the highest number is in force after each round.
func (s *scenario) submitSameResource() {
	is := is.New(s.t)
	for range 5 {
		var tickets []ticket.Ticket
		for range s.Daemons {
			number := s.lastTicket.Add(1)
			wanted := changeTicket(number)
			wanted.Routes[0].Name, wanted.Routes[0].Prefix = "shared", "/counter/shared"
			tickets = append(tickets, wanted)
		}
		for i, r := range s.submitConcurrently(tickets) {
			if r.err != nil {
				is.True(i < len(tickets)-1) // the highest number is never refused
				s.checkRefusal(r.err, "route/shared: superseded by ticket")
				continue
			}
			s.recordAccepted(r.status)
		}
		s.waitConverged(s.Daemons...)
		state, _, err := revision.NewLog(s.PlatformClient()).CatchUp(s.t.Context(), revision.Empty())
		is.NoErr(err)
		entry, _ := state.Entry(revision.Ref{Kind: revision.KindRoute, Name: "shared"})
		is.Equal(entry.Ticket, tickets[len(tickets)-1].Number)
	}
}

// submitLowerNumber checks that a ticket is refused for a route that a ticket with a higher number set.
func (s *scenario) submitLowerNumber() {
	is := is.New(s.t)
	higher, lower := changeTicket(18), changeTicket(2)
	higher.Routes[0].Name = lower.Routes[0].Name
	higher.Routes[0].Prefix = lower.Routes[0].Prefix
	s.recordAccepted(s.Daemons[0].MustSubmit(higher))
	before := s.lastAccepted.Load()
	_, err := s.Daemons[3].Submit(lower)
	s.checkRefusal(err, "route/page-2: superseded by ticket 18")
	status, err := s.Daemons[1].Status()
	is.NoErr(err)
	is.Equal(status.LatestRevision, before) // the refused ticket made no revision
}
