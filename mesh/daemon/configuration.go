package daemon

import (
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/adapter"
	"sassafrasnotch.example/mesh/distribution"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/source"
)

// configuration is the accepted state as this daemon holds it.
type configuration interface {
	// Snapshot returns nil until the daemon has applied a revision.
	Snapshot() *revision.Snapshot
	AppliedAt() time.Time
	// Head returns the newest revision known to exist.
	Head() uint64
	PlatformReachable() bool
	LastRejection() string
	OnApply(func(*revision.Snapshot))
	// NoteRevision takes in the newest revision that other daemons reported.
	NoteRevision(newest uint64, host string)
	Start()
	Stop()
}

var configurationModule = fx.Module("configuration", fx.Provide(
	func(identity peer.Identity, s settings.Settings, a adapter.Adapter, members *membership.Membership, pool *peer.Pool, logger *zap.Logger) *source.Source {
		self := source.Self{Host: identity.Host, Zone: identity.Zone}
		return source.New(self, a.OperatorReader, a.Rollouts, members, pool, source.Timing{
			ApplyWithin: s.Configuration.ApplyWithin.Std(),
			Settle:      s.Configuration.Settle.Std(),
		}, logger.Named("source"))
	},
	func(s settings.Settings, d *distribution.Distributor, o *source.Source) configuration {
		if s.Configuration.Source == settings.SourceOperator {
			return o
		}
		return d
	},
))
