package daemon

import (
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/adapter"
	"sassafrasnotch.example/mesh/distribution"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/source"
)

// configuration provides the configuration in force on this daemon, from either of its sources.
type configuration interface {
	// Snapshot returns nil until the daemon has applied a revision.
	Snapshot() *revision.Snapshot
	// AppliedAt returns the time at which the snapshot came into force, or the zero time.
	AppliedAt() time.Time
	// LatestRevision returns the latest revision known to exist.
	LatestRevision() uint64
	// StoreReachable reports whether the store was reachable at the last read of it.
	StoreReachable() bool
	// LastRejection describes the last change that could not be applied.
	LastRejection() string
	// OnApply registers a function that is called with each snapshot that comes into force, in
	// order. It must be called before Start.
	OnApply(func(*revision.Snapshot))
	// ObserveRevision processes the revisions that another daemon reported.
	ObserveRevision(gossip.RevisionReport)
	// Start starts the background work, Stop ends it and waits for it.
	Start()
	Stop()
}

var configurationModule = fx.Module("configuration", fx.Provide(
	func(identity peer.Identity, s settings.Settings, a adapter.Adapter, members *membership.Membership, pool *peer.Pool, logger *zap.Logger) *source.Source {
		self := source.Self{Host: identity.Host, Zone: identity.Zone}
		return source.New(self, a.OperatorReader, a.Rollouts, members, pool, source.Timing{
			ApplyWithin: confirmWithin(&s.Configuration),
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
