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

// TestHaltReportedByAnotherZone checks that the controllers roll a rollout back when one zone
// reports a halt, and ignore the halt of another ticket.
func TestHaltReportedByAnotherZone(t *testing.T) {
	is := is.New(t)
	h := newHarness(is, time.Minute)
	all := h.controllers()
	for range 10 {
		h.tickSecond(0, all...)
	}
	halt := &peerpb.Trip{Service: "orders", Version: "v2", Ticket: testTicket, Zone: "c", Reason: "failures"}
	stale := &peerpb.Trip{Service: "orders", Version: "v2", Ticket: testTicket - 1, Zone: "b"}
	for _, c := range all {
		c.HandleReport(&peerpb.OutcomeReport{Host: "h9", Sequence: 1, Trips: []*peerpb.Trip{stale}})
	}
	h.tickSecond(0, all...)
	is.True(h.split.Rollout != nil) // the halt of another ticket is ignored
	for _, c := range all {
		c.HandleReport(&peerpb.OutcomeReport{Host: "h9", Sequence: 2, Trips: []*peerpb.Trip{halt}})
	}
	h.tickSecond(0, all...)
	is.Equal(h.status(is).Verdict, ticket.RolledBack)
	is.Equal(h.status(is).Reason, "stopped in zone c (failures)")
}

// haltedZones returns the zones of the halts that a host knows of.
func haltedZones(c *Controller) (zones []string) {
	for _, halt := range c.Halts() {
		zones = append(zones, halt.GetZone())
	}
	return zones
}

// TestLocalHaltWithoutTheStore checks that a bad version is halted in the local zone while the
// store is unavailable, and rolled back once the store is available again.
func TestLocalHaltWithoutTheStore(t *testing.T) {
	is := is.New(t)
	h := newHarness(is, time.Minute)
	all := h.controllers()
	for h.split.Weight("v2") == 0 {
		h.tickSecond(0, all...)
	}
	h.outage = store.ErrUnavailable
	for range 20 {
		h.tickSecond(2, all...)
	}
	is.True(h.split.Rollout != nil)
	candidates := all[0].CandidateHosts(h.RunningRollouts()[0])
	for _, c := range all {
		want := []string{"a"} // decided on the reports of the local zone
		if slices.Contains(candidates, c.config.Host) {
			want = []string{AllZones, "a"}
		}
		is.Equal(haltedZones(c), want)
		is.Equal(c.HandleReport(&peerpb.OutcomeReport{}).GetTrips(), c.Halts())
	}
	h.outage = nil
	h.run(10*time.Second, 2, all...)
	is.Equal(h.status(is).Verdict, ticket.RolledBack)
}

// TestHaltWhileTheStoreHangs checks that reports are evaluated and a bad version is halted
// while requests to the store hang.
func TestHaltWhileTheStoreHangs(t *testing.T) {
	is := is.New(t)
	h := newHarness(is, time.Minute)
	all := h.controllers()
	for h.split.Weight("v2") == 0 {
		h.tickSecond(0, all...)
	}
	c := all[holderIndex(is, all)]
	h.blockReads = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	var advancing sync.WaitGroup
	for range 20 {
		h.now = h.now.Add(time.Second)
		c.HandleReport(h.report(400, 2))
		c.startTick(ctx, &advancing)
	}
	is.Equal(haltedZones(c), []string{AllZones, "a"})
	close(h.blockReads)
	advancing.Wait()
	cancel()
}

// TestHostInLineStopsABadVersion removes the lease holder at the moment when the new version
// begins to fail. The next candidate must halt the version in all zones before it can acquire the
// lease, and must return the halt to each zone that reports.
func TestHostInLineStopsABadVersion(t *testing.T) {
	is := is.New(t)
	h := newHarness(is, 20*time.Second)
	h.preference = revision.PreferBounded
	all := h.controllers()
	for h.split.Weight("v2") == 0 {
		h.tickCandidatesAtUsualRate(0, all...)
	}
	lost := holderIndex(is, all)
	holderName := all[lost].config.Host
	remaining := append(append([]*Controller(nil), all[:lost]...), all[lost+1:]...)
	badSince := h.now
	halted := func() bool {
		for _, c := range remaining {
			if slices.Contains(haltedZones(c), AllZones) {
				return true
			}
		}
		return false
	}
	for !halted() && h.now.Sub(badSince) < 2*leaseTerm {
		h.tickCandidates(10*400, 1, remaining...) // every request fails
	}
	is.True(halted())
	is.True(h.now.Sub(badSince) < leaseTerm)
	is.True(h.split.Rollout != nil) // the lease has not been taken over yet

	remote := h.controller("h-elsewhere")
	remote.Tick(t.Context())
	for _, c := range remaining {
		remote.AddHalts(c.HandleReport(h.report(400, 2)).GetTrips())
	}
	is.True(slices.Contains(haltedZones(remote), AllZones))
	t.Logf("%s was removed; the version was halted after %s", holderName, h.now.Sub(badSince))
}

// TestOnlyCandidatesHaltAllZones checks that a host that is no candidate, and so receives only
// reports of its own zone, halts no other zone.
func TestOnlyCandidatesHaltAllZones(t *testing.T) {
	is := is.New(t)
	h := newHarness(is, 20*time.Second)
	all := h.controllers()
	for h.split.Weight("v2") == 0 {
		h.tickCandidatesAtUsualRate(0, all...)
	}
	candidates := all[0].CandidateHosts(h.RunningRollouts()[0])
	for _, c := range all {
		if slices.Contains(candidates, c.config.Host) {
			continue
		}
		for range 20 {
			c.HandleReport(h.report(400, 2))
			c.closeWindows(h.now)
		}
		is.Equal(haltedZones(c), []string{"a"}) // the halt of the local zone
	}
}
