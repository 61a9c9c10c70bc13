package daemon

import (
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

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
	logger           *zap.Logger
}

func newZoneUpdates(identity peer.Identity, c *controller.Controller, members *membership.Membership, e *entry.Entry, x *exit.Exit, logger *zap.Logger) *zoneUpdates {
	return &zoneUpdates{
		zone:             identity.Zone,
		controller:       c,
		members:          members,
		entry:            e,
		exit:             x,
		publishedHalts:   make(map[gossip.Halt]bool),
		publishedCrashes: make(map[exit.CrashFingerprint]time.Time),
		logger:           logger.Named("updates"),
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
		u.applyHalt(halt, "")
		u.members.Publish(gossip.Update{TTL: haltTTL, Halt: &halt})
	}
}

// applyHalt makes the entry halt a version. The peer is the host that published the halt, or "" if this
// host did.
func (u *zoneUpdates) applyHalt(halt gossip.Halt, peer string) {
	u.logger.Info("halt applied", zap.String("service", halt.Service), zap.String("version", halt.Version),
		zap.Uint64("ticket", halt.Ticket), zap.String("peer", peer))
	u.entry.SetHalted(halt.Service, halt.Version, halt.Ticket)
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
		u.applyHalt(*update.Halt, update.Host)
	}
	if update.Crash != nil {
		u.exit.AddCrashFingerprint(exit.CrashFingerprint{
			Fingerprint: update.Crash.Fingerprint,
			Host:        update.Host,
			CrashNumber: update.Crash.Number,
		})
	}
}
