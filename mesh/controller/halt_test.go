package controller

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// TestTrip takes a move back everywhere on the word of a zone.
func TestTrip(t *testing.T) {
	is := is.New(t)
	b := newBench(is, time.Minute)
	all := b.all()
	for range 10 {
		b.second(0, all...)
	}
	trip := &peerpb.Trip{Service: "orders", Version: "v2", Ticket: testTicket, Zone: "c", Reason: "failures"}
	stale := &peerpb.Trip{Service: "orders", Version: "v2", Ticket: testTicket - 1, Zone: "b"}
	for _, c := range all {
		c.HandleReport(&peerpb.OutcomeReport{Host: "h9", Sequence: 1, Trips: []*peerpb.Trip{stale}})
	}
	b.second(0, all...)
	is.True(b.split.Rollout != nil) // another ticket's trip
	for _, c := range all {
		c.HandleReport(&peerpb.OutcomeReport{Host: "h9", Sequence: 2, Trips: []*peerpb.Trip{trip}})
	}
	b.second(0, all...)
	is.Equal(b.status(is).Verdict, ticket.RolledBack)
	is.Equal(b.status(is).Reason, "stopped in zone c (failures)")
}

// tripped returns the zones of the trips that a host knows of.
func tripped(c *Controller) (zones []string) {
	for _, trip := range c.Halts() {
		zones = append(zones, trip.GetZone())
	}
	return zones
}

// TestLocalTrip finds a bad version in the own zone without the platform.
func TestLocalTrip(t *testing.T) {
	is := is.New(t)
	b := newBench(is, time.Minute)
	all := b.all()
	for b.split.Weight("v2") == 0 {
		b.second(0, all...)
	}
	b.outage = store.ErrUnavailable
	for range 20 {
		b.second(2, all...)
	}
	is.True(b.split.Rollout != nil)
	in := all[0].CandidateHosts(b.RunningRollouts()[0])
	for _, c := range all {
		want := []string{"a"} // found by the zone itself
		if slices.Contains(in, c.config.Host) {
			want = []string{AllZones, "a"}
		}
		is.Equal(tripped(c), want)
		is.Equal(c.HandleReport(&peerpb.OutcomeReport{}).GetTrips(), c.Halts())
	}
	b.outage = nil
	b.run(10*time.Second, 2, all...)
	is.Equal(b.status(is).Verdict, ticket.RolledBack)
}

// TestSlowPlatform trips a zone while the platform answers nothing.
func TestSlowPlatform(t *testing.T) {
	is := is.New(t)
	b := newBench(is, time.Minute)
	all := b.all()
	for b.split.Weight("v2") == 0 {
		b.second(0, all...)
	}
	c := all[holder(is, all)]
	b.hang = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	var advancing sync.WaitGroup
	for range 20 {
		b.now = b.now.Add(time.Second)
		c.HandleReport(b.report(400, 2))
		c.start(ctx, &advancing)
	}
	is.Equal(tripped(c), []string{AllZones, "a"})
	close(b.hang)
	advancing.Wait()
	cancel()
}

// TestHostInLineStopsABadVersion loses the holder of a move as a version turns bad.
// The next host in line stops it everywhere before it can take over the lease, and
// tells each zone that reports.
func TestHostInLineStopsABadVersion(t *testing.T) {
	is := is.New(t)
	b := newBench(is, 20*time.Second)
	b.preference = revision.PreferBounded
	all := b.all()
	for b.split.Weight("v2") == 0 {
		b.secondOfReports(0, all...)
	}
	lost := holder(is, all)
	holderName := all[lost].config.Host
	left := append(append([]*Controller(nil), all[:lost]...), all[lost+1:]...)
	turned := b.now
	stopped := func() bool {
		for _, c := range left {
			if slices.Contains(tripped(c), AllZones) {
				return true
			}
		}
		return false
	}
	for !stopped() && b.now.Sub(turned) < 2*leaseTerm {
		b.secondOf(10*400, 1, left...) // every call fails
	}
	is.True(stopped())
	is.True(b.now.Sub(turned) < leaseTerm)
	is.True(b.split.Rollout != nil) // nobody has taken over yet

	elsewhere := b.controller("h-elsewhere")
	elsewhere.Tick(t.Context())
	for _, c := range left {
		elsewhere.AddHalts(c.HandleReport(b.report(400, 2)).GetTrips())
	}
	is.True(slices.Contains(tripped(elsewhere), AllZones))
	t.Logf("%s was lost; stopped after %s", holderName, b.now.Sub(turned))
}

// A host that receives only what its zone tells it stops no other zone.
func TestOnlyHostsInLineStopEveryZone(t *testing.T) {
	is := is.New(t)
	b := newBench(is, 20*time.Second)
	all := b.all()
	for b.split.Weight("v2") == 0 {
		b.secondOfReports(0, all...)
	}
	in := all[0].CandidateHosts(b.RunningRollouts()[0])
	for _, c := range all {
		if slices.Contains(in, c.config.Host) {
			continue
		}
		for range 20 {
			c.HandleReport(b.report(400, 2))
			c.weigh(b.now)
		}
		is.Equal(tripped(c), []string{"a"}) // the trip of its own zone
	}
}
