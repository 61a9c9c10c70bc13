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

// evidence aggregates the outcome reports of one rollout. Hosts that do not control the rollout
// maintain it too, so that a takeover does not start without evidence. It is safe for concurrent
// use.
type evidence struct {
	controller *Controller
	rollout    Rollout

	mu           sync.Mutex
	detector     *detect.Detector      // of all reports received here
	zoneDetector *rollout.ZoneDetector // of the reports of the local zone
	meter        rateMeter
	reportedAt   time.Time // end of the last window with a report
	setting      trafficSetting
	reach        int  // largest rollout.MaxHosts so far
	halted       bool // this host halted the version in all zones
}

// trafficSetting is the traffic of the new version at one step: its share in basis points and the
// bound on its hosts. A change of either begins new evidence.
type trafficSetting struct {
	share, hosts int
}

func (c *Controller) newEvidence(m Rollout) *evidence {
	remaining := m.By.Sub(c.config.Now())
	return &evidence{
		controller:   c,
		rollout:      m,
		detector:     rollout.NewDetector(m.Preference, remaining),
		zoneDetector: rollout.NewZoneDetector(c.config.Zone, m.Preference, remaining),
	}
}

// closeWindow evaluates the samples that arrived since the last call, while inForce was the state
// of the rollout, and halts the new version where the evidence shows that it is bad.
func (e *evidence) closeWindow(now time.Time, inForce revision.Rollout) {
	samples, reported := e.controller.inbox.drain(e.rollout.Service)
	e.mu.Lock()
	defer e.mu.Unlock()
	if reach := rollout.MaxHosts(inForce); reach > e.reach {
		e.reach = reach
		e.detector.StartWarmUp()
		e.zoneDetector.StartWarmUp()
	}
	e.meter.add(samples, now)
	if reported {
		e.reportedAt = now
	}
	for _, s := range samples {
		e.detector.Observe(s)
		e.zoneDetector.Observe(s)
	}
	e.detector.EndWindow()
	if reason, halted := e.zoneDetector.EndWindow(); halted {
		e.halt(e.controller.config.Zone, reason)
	}
	if verdict := e.detector.Verdict(); verdict.Kind == detect.Bad && !e.halted && e.isCandidate(inForce) {
		e.halted = true
		e.halt(AllZones, verdict.Reason.String())
	}
}

// AllZones is the zone of a halt that applies to all zones.
const AllZones = ""

// isCandidate reports whether this host receives all reports of the rollout. Such a host halts a
// bad version in all zones even without the lease, because it can acquire the lease of a lost
// holder only after the lease term.
func (e *evidence) isCandidate(inForce revision.Rollout) bool {
	candidateRollout := Rollout{Service: e.rollout.Service, Preference: e.rollout.Preference, Rollout: inForce}
	return slices.Contains(e.controller.CandidateHosts(candidateRollout), e.controller.config.Host)
}

// halt halts requests to the new version from a zone, or from all zones.
func (e *evidence) halt(zone, reason string) {
	e.controller.config.Logger.Warn("halting requests to a version",
		zap.String("service", e.rollout.Service), zap.String("version", e.rollout.To),
		zap.Uint64("ticket", e.rollout.Ticket), zap.String("for_zone", zone), zap.String("reason", reason))
	e.controller.inbox.recordHalt(&peerpb.Trip{
		Service: e.rollout.Service, Version: e.rollout.To, Ticket: e.rollout.Ticket, Zone: zone, Reason: reason,
	})
}

// beginStep starts the evidence of a new step if the traffic setting has changed.
func (e *evidence) beginStep(s trafficSetting) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.setting == s {
		return
	}
	e.setting = s
	e.detector.BeginStep()
}

// current returns the evidence for a decision at now.
func (e *evidence) current(now time.Time) rollout.Evidence {
	members := e.controller.config.serving()
	var hosts rollout.Hosts
	hosts.From, hosts.FromSlots = readyHosts(members, func(t gossip.Target) bool { return t.Service == e.rollout.Service && e.isOldVersion(t.Version) })
	hosts.To, hosts.ToSlots = readyHosts(members, func(t gossip.Target) bool { return t.Service == e.rollout.Service && t.Version == e.rollout.To })
	e.mu.Lock()
	defer e.mu.Unlock()
	return rollout.Evidence{
		Verdict:   e.detector.Verdict(),
		Hosts:     hosts,
		Rate:      e.meter.rate(now),
		Halted:    e.haltedZones(),
		Reporting: !e.reportedAt.IsZero() && now.Sub(e.reportedAt) < reportExpiry,
	}
}

// haltedZones describes the zones in which the new version is halted, with the reasons.
func (e *evidence) haltedZones() []string {
	var zones []string
	for _, halt := range e.controller.inbox.halts() {
		if halt.GetService() == e.rollout.Service {
			zones = append(zones, describeZone(halt.GetZone())+" ("+halt.GetReason()+")")
		}
	}
	return zones
}

// describeZone returns the zone as reasons name it.
func describeZone(zone string) string {
	if zone == AllZones {
		return "every zone"
	}
	return "zone " + zone
}

// isOldVersion reports whether the rollout moves traffic away from the version.
func (e *evidence) isOldVersion(version string) bool {
	if e.rollout.From == revision.AnyVersion {
		return version != e.rollout.To
	}
	return version == e.rollout.From
}

// readyHosts counts the live hosts with a matching target that is ready, and the slots of these targets.
func readyHosts(members []gossip.Member, matches func(gossip.Target) bool) (hosts, slots int) {
	for _, m := range members {
		if m.Status == gossip.Dead || m.Leaving {
			continue
		}
		ready := false
		for _, t := range m.Targets {
			if t.State == gossip.TargetReady && matches(t) {
				ready = true
				slots += t.Slots
			}
		}
		if ready {
			hosts++
		}
	}
	return hosts, slots
}

// rateMeter counts the requests of a service to compute its request rate.
type rateMeter struct {
	since    time.Time // first call of add
	requests uint64    // since then
}

// add counts the requests of the samples; the first call only starts the clock.
func (m *rateMeter) add(samples []detect.Sample, now time.Time) {
	if m.since.IsZero() {
		m.since = now
		return
	}
	for _, s := range samples {
		m.requests += s.Requests
	}
}

// rate returns the requests per second since the first call of add, whose own samples are not
// counted.
func (m *rateMeter) rate(now time.Time) float64 {
	elapsed := now.Sub(m.since).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(m.requests) / elapsed
}
