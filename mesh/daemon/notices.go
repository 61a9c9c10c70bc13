package daemon

import (
	"time"

	"go.uber.org/fx"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/controller"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/peer"
)

const (
	tripTTL  = time.Hour        // a trip holds no longer than its move
	crashTTL = 10 * time.Minute // for which a crash is told to others
)

var noticesModule = fx.Provide(newNotices)

// notices spreads within the zone what every host of it has to know at once:
// the local trips of moves, and the requests that crash targets.
type notices struct {
	zone       string
	controller *controller.Controller
	members    *membership.Membership
	entry      *entry.Entry
	exit       *exit.Exit
	trips      map[gossip.Halt]bool
	crashes    map[exit.CrashFingerprint]time.Time
}

func newNotices(identity peer.Identity, c *controller.Controller, members *membership.Membership, e *entry.Entry, x *exit.Exit) *notices {
	return &notices{
		zone:       identity.Zone,
		controller: c,
		members:    members,
		entry:      e,
		exit:       x,
		trips:      make(map[gossip.Halt]bool),
		crashes:    make(map[exit.CrashFingerprint]time.Time),
	}
}

// publish spreads what this host found since the last call.
func (n *notices) publish(now time.Time) {
	n.publishTrips()
	n.publishCrashes(now)
}

func (n *notices) publishTrips() {
	for _, found := range n.controller.Halts() {
		trip := gossip.Halt{Service: found.Service, Version: found.Version, Ticket: found.Ticket}
		if found.Zone != n.zone && found.Zone != controller.AllZones || n.trips[trip] {
			continue
		}
		n.trips[trip] = true
		n.entry.SetHalted(trip.Service, trip.Version, trip.Ticket)
		n.members.Publish(gossip.Update{TTL: tripTTL, Halt: &trip})
	}
}

func (n *notices) publishCrashes(now time.Time) {
	for crash, until := range n.crashes {
		if now.After(until) {
			delete(n.crashes, crash)
		}
	}
	for _, crash := range n.exit.CrashFingerprints() {
		if _, known := n.crashes[crash]; known {
			continue
		}
		n.crashes[crash] = now.Add(crashTTL)
		n.members.Publish(gossip.Update{
			TTL:   crashTTL,
			Crash: &gossip.Crash{Fingerprint: crash.Hash, Number: crash.CrashNumber},
		})
	}
}

// obey applies what another host of the zone published.
func (n *notices) obey(notice gossip.Update) {
	if notice.Halt != nil {
		n.entry.SetHalted(notice.Halt.Service, notice.Halt.Version, notice.Halt.Ticket)
	}
	if notice.Crash != nil {
		n.exit.AddCrashFingerprint(exit.CrashFingerprint{
			Hash:        notice.Crash.Fingerprint,
			Host:        notice.Host,
			CrashNumber: notice.Crash.Number,
		})
	}
}
