package controller

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// evidence is what this host knows of one move from outcome reports. Hosts that
// do not control the move keep it too, so that a takeover need not start from
// nothing. It is safe for concurrent use.
type evidence struct {
	controller *Controller
	move       Move

	mu         sync.Mutex
	detector   *detect.Detector
	zone       *rollout.ZoneDetector
	meter      meter
	reportedAt time.Time
	setting    setting
	reach      int  // of the move in force
	stopped    bool // a trip of every zone was found here
}

// setting tells one step's traffic from the next.
type setting struct {
	share, hosts int
}

func (c *Controller) newEvidence(m Move) *evidence {
	left := m.By.Sub(c.config.Now())
	return &evidence{
		controller: c,
		move:       m,
		detector:   rollout.NewDetector(m.Preference, left),
		zone:       rollout.NewZoneDetector(c.config.Zone, m.Preference, left),
	}
}

// weigh closes the window of the samples that arrived while the move was in
// force as given.
func (e *evidence) weigh(now time.Time, inForce revision.Move) {
	samples, reported := e.controller.inbox.take(e.move.Service)
	e.mu.Lock()
	defer e.mu.Unlock()
	if reach := rollout.MaxHosts(inForce); reach > e.reach {
		e.reach = reach
		e.detector.StartWarmUp()
		e.zone.StartWarmUp()
	}
	e.meter.add(samples, now)
	if reported {
		e.reportedAt = now
	}
	for _, s := range samples {
		e.detector.Observe(s)
		e.zone.Observe(s)
	}
	e.detector.EndWindow()
	if reason, tripped := e.zone.EndWindow(); tripped {
		e.trip(e.controller.config.Zone, reason)
	}
	if verdict := e.detector.Verdict(); verdict.Kind == detect.Bad && !e.stopped && e.inLine(inForce) {
		e.stopped = true
		e.trip(EveryZone, verdict.Reason.String())
	}
}

// EveryZone is the zone of a trip that holds everywhere.
const EveryZone = ""

// inLine reports whether this host receives all reports of the move. Such a host
// stops a bad version everywhere whether or not it holds the lease, which it could
// take over only a term after its holder was lost.
func (e *evidence) inLine(inForce revision.Move) bool {
	move := Move{Service: e.move.Service, Preference: e.move.Preference, Move: inForce}
	return slices.Contains(e.controller.Hosts(move), e.controller.config.Host)
}

// trip stops the traffic of a zone, or of every zone, to the new version.
func (e *evidence) trip(zone, reason string) {
	e.controller.config.Logger.Warn("no more calls to a version",
		zap.String("service", e.move.Service), zap.String("version", e.move.To),
		zap.Uint64("ticket", e.move.Ticket), zap.String("for_zone", zone), zap.String("reason", reason))
	e.controller.inbox.trip(&peerpb.Trip{
		Service: e.move.Service, Version: e.move.To, Ticket: e.move.Ticket, Zone: zone, Reason: reason,
	})
}

// enter starts the evidence of a step when the traffic's setting has changed.
func (e *evidence) enter(s setting) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.setting == s {
		return
	}
	e.setting = s
	e.detector.BeginStep()
}

// at returns what a decision rests on.
func (e *evidence) at(now time.Time) rollout.Evidence {
	members := e.controller.config.Members.Members()
	e.mu.Lock()
	defer e.mu.Unlock()
	return rollout.Evidence{
		Verdict: e.detector.Verdict(),
		Hosts: rollout.Hosts{
			From: readyHosts(members, func(t gossip.Target) bool { return t.Service == e.move.Service && e.isOld(t.Version) }),
			To:   readyHosts(members, func(t gossip.Target) bool { return t.Service == e.move.Service && t.Version == e.move.To }),
		},
		Rate:      e.meter.rate(now),
		Halted:    e.trippedZones(),
		Reporting: !e.reportedAt.IsZero() && now.Sub(e.reportedAt) < reportExpiry,
	}
}

// trippedZones describes the zones that stopped sending to the new version.
func (e *evidence) trippedZones() []string {
	var zones []string
	for _, trip := range e.controller.inbox.trips() {
		if trip.GetService() == e.move.Service {
			zones = append(zones, nameOfZone(trip.GetZone())+" ("+trip.GetReason()+")")
		}
	}
	return zones
}

func nameOfZone(zone string) string {
	if zone == EveryZone {
		return "every zone"
	}
	return "zone " + zone
}

// isOld reports whether traffic moves away from the version.
func (e *evidence) isOld(version string) bool {
	if e.move.From == revision.AnyVersion {
		return version != e.move.To
	}
	return version == e.move.From
}

// readyHosts counts the hosts with a ready target that fits.
func readyHosts(members []gossip.Member, fits func(gossip.Target) bool) int {
	hosts := 0
	for _, m := range members {
		if m.Status != gossip.Dead && !m.Leaving && slices.ContainsFunc(m.Targets, func(t gossip.Target) bool {
			return t.State == gossip.TargetReady && fits(t)
		}) {
			hosts++
		}
	}
	return hosts
}

// meter counts the requests of a service to tell its rate of traffic.
type meter struct {
	since    time.Time
	requests uint64
}

func (m *meter) add(samples []detect.Sample, now time.Time) {
	if m.since.IsZero() {
		m.since = now
		return
	}
	for _, s := range samples {
		m.requests += s.Requests
	}
}

// rate returns the requests a second since the first call of add.
func (m *meter) rate(now time.Time) float64 {
	elapsed := now.Sub(m.since).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(m.requests) / elapsed
}
