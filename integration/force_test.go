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

// TestAcceptedTicketIsInForce checks that an accepted ticket is in force on every
// reachable daemon within the target, whatever fails meanwhile.
func TestAcceptedTicketIsInForce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		seed         uint64
		zones, hosts int
		fail         func(s *scenario)
	}{
		{"the answer to the accepting write is lost", 1, 3, 2, (*scenario).loseAnswers},
		{"the platform is slow", 2, 3, 2, func(s *scenario) {
			s.SetPlatformFaults(platformserver.Faults{Delay: revision.Duration(400 * time.Millisecond)})
			s.mustSubmit(s.Daemons[2])
			s.converge(s.Daemons...)
		}},
		{"two operators use the same number", 3, 3, 2, (*scenario).raceForNumber},
		{"operators race for the same resource", 4, 3, 2, (*scenario).raceForResource},
		{"a lower number comes after a higher one", 5, 2, 2, (*scenario).lowerAfterHigher},
		{"the accepting daemon dies at once", 6, 3, 3, func(s *scenario) {
			s.mustSubmit(s.Daemons[4])
			s.Daemons[4].Kill()
			s.converge(append(append([]*cluster.Daemon{}, s.Daemons[:4]...), s.Daemons[5:]...)...)
			s.Daemons[4].Launch()
		}},
		{"the readers of every zone die midway", 7, 2, 4, func(s *scenario) {
			s.disorder(100 * time.Millisecond)
			submitted := make(chan error, 1)
			readers, others := s.readers(0, 1)
			go func() { submitted <- s.submit(others[0]) }()
			s.pass(100 * time.Millisecond)
			for _, reader := range readers {
				reader.Kill()
			}
			is.New(s.t).NoErr(<-submitted)
			s.converge(others...)
			for _, reader := range readers {
				reader.Launch()
			}
		}},
		{"the readers of a zone are frozen", 8, 2, 4, func(s *scenario) {
			readers, others := s.readers(1)
			for _, reader := range readers {
				reader.Pause()
			}
			inside, _ := s.zone(0)
			s.mustSubmit(inside[0])
			s.converge(others...)
			s.mustSubmit(others[len(others)-1])
			s.converge(others...)
			for _, reader := range readers {
				reader.Resume()
			}
		}},
		{"a host is cut off from its zone but not from the platform", 9, 2, 3, func(s *scenario) {
			alone := s.Daemons[1]
			rest := append(append([]*cluster.Daemon{}, s.Daemons[:1]...), s.Daemons[2:]...)
			s.Network.Partition(hosts([]*cluster.Daemon{alone}), hosts(rest))
			s.mustSubmit(rest[0])
			s.converge(s.Daemons...)
			s.mustSubmit(alone)
			s.converge(s.Daemons...)
			s.Network.ClearFaults()
		}},
		{"every open connection goes silent, those to the platform too", 10, 2, 3, func(s *scenario) {
			s.Network.BlackholeOpenConnections(faultproxy.AnyHost, faultproxy.AnyHost)
			wanted := change(s.number.Add(1))
			cluster.Eventually(s.t, convergence, "the ticket is accepted", func() error {
				status, err := s.Daemons[0].Submit(wanted)
				s.accepted(status)
				return err
			})
			s.converge(s.Daemons...)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(t, c.seed, c.zones, c.hosts)
			c.fail(s)
			s.converge(s.Daemons...)
			s.noViolation()
		})
	}
}

// readers returns the daemons that read the platform for the zones, and all
// others.
func (s *scenario) readers(zones ...int) (readers, others []*cluster.Daemon) {
	reads := make(map[string]bool)
	for _, zone := range zones {
		inside, _ := s.zone(zone)
		for _, host := range rendezvous.Rank("reader/"+inside[0].Settings.Zone, hosts(inside))[:2] {
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

// loseAnswers drops answers to writes, of which each may be the accepting one.
func (s *scenario) loseAnswers() {
	is := is.New(s.t)
	for lost := 1; lost <= 3; lost++ {
		before := s.newest.Load()
		s.SetPlatformFaults(platformserver.Faults{LoseWriteAnswers: lost})
		wanted := change(s.number.Add(1))
		status := s.Daemons[lost].MustSubmit(wanted)
		is.Equal(status.Revision, before+1) // accepted once
		again := s.Daemons[0].MustSubmit(wanted)
		is.Equal(again.Revision, status.Revision) // and not once more
		s.accepted(status)
		s.converge(s.Daemons...)
	}
}

// result is what a daemon answered to an operator.
type result struct {
	status ticket.Status
	err    error
}

// race submits a ticket to each daemon at the same time.
func (s *scenario) race(tickets []ticket.Ticket) []result {
	results := make([]result, len(tickets))
	var group sync.WaitGroup
	for i := range tickets {
		group.Go(func() {
			results[i].status, results[i].err = s.Daemons[i].Submit(tickets[i])
		})
	}
	group.Wait()
	return results
}

// refused checks that an error is a refusal with the reason.
func (s *scenario) refused(err error, reason string) {
	s.t.Helper()
	var refusal *cluster.AdminError
	if !errors.As(err, &refusal) || refusal.Status != 422 || !strings.Contains(strings.Join(refusal.Body.Reasons, "\n"), reason) {
		s.t.Fatalf("got %v, want a refusal with the reason %q", err, reason)
	}
}

func (s *scenario) raceForNumber() {
	is := is.New(s.t)
	for range 5 {
		number := s.number.Add(1)
		var tickets []ticket.Ticket
		for i := range s.Daemons {
			wanted := change(number)
			wanted.Comment = fmt.Sprintf("operator %d", i)
			tickets = append(tickets, wanted)
		}
		before := s.newest.Load()
		accepted := 0
		for _, r := range s.race(tickets) {
			if r.err != nil {
				s.refused(r.err, "number was used with other content")
				continue
			}
			accepted++
			s.accepted(r.status)
		}
		is.Equal(accepted, 1)
		is.Equal(s.newest.Load(), before+1)
		s.converge(s.Daemons...)
	}
}

func (s *scenario) raceForResource() {
	is := is.New(s.t)
	for range 5 {
		var tickets []ticket.Ticket
		for range s.Daemons {
			number := s.number.Add(1)
			wanted := change(number)
			wanted.Routes[0].Name, wanted.Routes[0].Prefix = "shared", "/counter/shared"
			tickets = append(tickets, wanted)
		}
		for i, r := range s.race(tickets) {
			if r.err != nil {
				is.True(i < len(tickets)-1) // the highest number is never refused
				s.refused(r.err, "route/shared: superseded by ticket")
				continue
			}
			s.accepted(r.status)
		}
		s.converge(s.Daemons...)
		state, _, err := revision.NewLog(s.PlatformClient()).CatchUp(s.t.Context(), revision.Empty())
		is.NoErr(err)
		entry, _ := state.Entry(revision.Ref{Kind: revision.KindRoute, Name: "shared"})
		is.Equal(entry.Ticket, tickets[len(tickets)-1].Number)
	}
}

func (s *scenario) lowerAfterHigher() {
	is := is.New(s.t)
	higher, lower := change(18), change(2)
	higher.Routes[0].Name = lower.Routes[0].Name
	higher.Routes[0].Prefix = lower.Routes[0].Prefix
	s.accepted(s.Daemons[0].MustSubmit(higher))
	before := s.newest.Load()
	_, err := s.Daemons[3].Submit(lower)
	s.refused(err, "route/page-2: superseded by ticket 18")
	status, err := s.Daemons[1].Status()
	is.NoErr(err)
	is.Equal(status.LatestRevision, before) // nothing changed
}
