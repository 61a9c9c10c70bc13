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
	haltTTL  = time.Hour        // a halt is valid no longer than its rollout
	crashTTL = 10 * time.Minute // how long a crash is distributed to other hosts
)

var updatesModule = fx.Provide(newZoneUpdates)

// zoneUpdates publishes by gossip what every host of the zone must know at once: the halts of
// rollouts in the zone, and the fingerprints of requests that crash targets.
type zoneUpdates struct {
	zone             string
	controller       *controller.Controller
	members          *membership.Membership
	entry            *entry.Entry
	exit             *exit.Exit
	publishedHalts   map[gossip.Halt]bool
	publishedCrashes map[exit.CrashFingerprint]time.Time // time of expiry
}

func newZoneUpdates(identity peer.Identity, c *controller.Controller, members *membership.Membership, e *entry.Entry, x *exit.Exit) *zoneUpdates {
	return &zoneUpdates{
		zone:             identity.Zone,
		controller:       c,
		members:          members,
		entry:            e,
		exit:             x,
		publishedHalts:   make(map[gossip.Halt]bool),
		publishedCrashes: make(map[exit.CrashFingerprint]time.Time),
	}
}

// publish publishes the halts and crashes that became known on this host since the previous call.
func (u *zoneUpdates) publish(now time.Time) {
	u.publishHalts()
	u.publishCrashes(now)
}

// publishHalts applies and publishes the new halts that concern the zone of this host.
func (u *zoneUpdates) publishHalts() {
	for _, candidate := range u.controller.Halts() {
		halt := gossip.Halt{Service: candidate.Service, Version: candidate.Version, Ticket: candidate.Ticket}
		if candidate.Zone != u.zone && candidate.Zone != controller.AllZones || u.publishedHalts[halt] {
			continue
		}
		u.publishedHalts[halt] = true
		u.entry.SetHalted(halt.Service, halt.Version, halt.Ticket)
		u.members.Publish(gossip.Update{TTL: haltTTL, Halt: &halt})
	}
}

// publishCrashes publishes the new crash fingerprints and removes the expired ones.
func (u *zoneUpdates) publishCrashes(now time.Time) {
	for crash, expiry := range u.publishedCrashes {
		if now.After(expiry) {
			delete(u.publishedCrashes, crash)
		}
	}
	for _, crash := range u.exit.CrashFingerprints() {
		if _, known := u.publishedCrashes[crash]; known {
			continue
		}
		u.publishedCrashes[crash] = now.Add(crashTTL)
		u.members.Publish(gossip.Update{
			TTL:   crashTTL,
			Crash: &gossip.Crash{Fingerprint: crash.Fingerprint, Number: crash.CrashNumber},
		})
	}
}

// apply applies an update that another host of the zone published.
func (u *zoneUpdates) apply(update gossip.Update) {
	if update.Halt != nil {
		u.entry.SetHalted(update.Halt.Service, update.Halt.Version, update.Halt.Ticket)
	}
	if update.Crash != nil {
		u.exit.AddCrashFingerprint(exit.CrashFingerprint{
			Fingerprint: update.Crash.Fingerprint,
			Host:        update.Host,
			CrashNumber: update.Crash.Number,
		})
	}
}
