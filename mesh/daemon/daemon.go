// Package daemon assembles the components of the daemon that runs on each target host, and starts
// and stops them.
package daemon

import (
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/descriptors"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/acceptor"
	"sassafrasnotch.example/mesh/adapter"
	"sassafrasnotch.example/mesh/clientmemory"
	"sassafrasnotch.example/mesh/distribution"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/limitedconn"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/registrar"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/telemetry"
)

// New returns the daemon as an application that its caller starts and stops. connect provides the
// adapter of the platform. The options replace or add components.
func New(s settings.Settings, connect adapter.Connect, options ...fx.Option) *fx.App {
	all := append([]fx.Option{
		fx.Supply(s, connect),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Exit.DrainTimeout.Std() + stopMargin),
		fx.WithLogger(func(logger *zap.Logger) fxevent.Logger {
			events := &fxevent.ZapLogger{Logger: logger.Named("fx")}
			events.UseLogLevel(zap.DebugLevel)
			return events
		}),
		fx.Provide(newIdentity),
		telemetryModule,
		securityModule,
		platformModule,
		peerModule,
		membershipModule,
		distributionModule,
		configurationModule,
		rolloutsModule,
		requestsModule,
		adminModule,
		hostsModule,
		quotaModule,
		updatesModule,
		fx.Provide(newReloader, newPorts, newBudget, newClientMemory),
		fx.Invoke(setRuntime, registerMetrics, registerNestedMetrics, registerQuotaMetrics, registerMemoryMetrics, registerLifecycle),
	}, options...)
	return fx.New(all...)
}

const (
	startTimeout = 15 * time.Second
	stopMargin   = 10 * time.Second // added to the drain timeout
)

// newIdentity returns the identity of this run of the daemon. The incarnation is the time of the
// start, so that it grows with each start.
func newIdentity(s settings.Settings) peer.Identity {
	return peer.Identity{Host: s.Host, Zone: s.Zone, Incarnation: uint64(time.Now().UnixNano())}
}

func newPorts(budget *descriptors.Budget, logger *zap.Logger) *acceptor.Ports {
	return acceptor.NewPorts(budget, logger.Named("acceptor"))
}

// maxDescriptors bounds the budget where the limit of the process is higher or none.
const maxDescriptors = 1 << 20

// newBudget returns a budget of the descriptors that the process may open.
func newBudget(logger *zap.Logger) *descriptors.Budget {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		logger.Error("limit of descriptors unknown", zap.String("step", "read the limit of descriptors"), zap.Error(err))
		limit.Cur = maxDescriptors
	}
	return descriptors.NewBudget(int(min(limit.Cur, maxDescriptors)))
}

// setRuntime applies the garbage collector settings to the process.
func setRuntime(s settings.Settings) {
	debug.SetGCPercent(s.Runtime.GCPercent)
	debug.SetMemoryLimit(s.Runtime.SoftLimit())
}

var telemetryModule = fx.Module("telemetry", fx.Provide(
	func(s settings.Settings) (*telemetry.Log, error) {
		return telemetry.NewLog(s.Log.Level, s.Host, s.Zone)
	},
	func(log *telemetry.Log) (*zap.Logger, zap.AtomicLevel) { return log.Logger, log.Level },
	telemetry.NewMetrics,
))

var platformModule = fx.Module("platform", fx.Provide(
	func(s settings.Settings, connect adapter.Connect, budget *descriptors.Budget, credentials *tlsCredentials) adapter.Adapter {
		limit := &limitedconn.Limit{Budget: budget, Part: descriptors.Store}
		config := adapter.Config{URL: s.Platform.URL, Timeout: s.Platform.Timeout.Std(), LocalIP: s.Peer.Bind, LimitDial: limit.Dialer}
		if credentials.platform != nil {
			config.WrapTLS = credentials.platform.Dialer
		}
		return connect(config)
	},
	func(a adapter.Adapter) store.Store { return a.Store },
	revision.NewLog,
))

var peerModule = fx.Module("peer", fx.Provide(
	func(identity peer.Identity, s settings.Settings, budget *descriptors.Budget, credentials *tlsCredentials, logger *zap.Logger) *peer.Pool {
		pool := peer.NewPool(identity, s.Peer, logger.Named("peer"))
		pool.UseBudget(budget)
		if credentials.peer != nil {
			pool.UseSecurity(credentials.peer)
		}
		return pool
	},
	func(identity peer.Identity, s settings.Settings, credentials *tlsCredentials, control *controlHandler, x *exit.Exit, held *clientmemory.Memory, logger *zap.Logger) *peer.Server {
		server := peer.NewServer(identity, s.Peer, control, x, logger.Named("peer"))
		server.UseMemory(held)
		if credentials.peer != nil {
			server.UseSecurity(credentials.peer)
		}
		return server
	},
	newControlHandler,
))

var membershipModule = fx.Module("membership", fx.Provide(
	func(identity peer.Identity, s settings.Settings, logger *zap.Logger) (*membership.Membership, error) {
		config := membership.Config{Listen: s.Gossip.Listen, Gossip: gossip.DefaultConfig(s.Gossip.Interval.Std())}
		return membership.New(config, selfRecord(identity, s), logger.Named("membership"))
	},
))

// selfRecord returns the member record of this daemon that gossip sends to the other daemons.
func selfRecord(identity peer.Identity, s settings.Settings) gossip.Record {
	return gossip.Record{
		Host:          identity.Host,
		Zone:          identity.Zone,
		Region:        s.Region,
		Incarnation:   identity.Incarnation,
		PeerAddress:   firstNonEmpty(s.Peer.Advertise, s.Peer.Listen),
		GossipAddress: firstNonEmpty(s.Gossip.Advertise, s.Gossip.Listen),
		AdminAddress:  s.Admin.Listen,
	}
}

// firstNonEmpty returns first, or second if first is empty.
func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

var distributionModule = fx.Module("distribution", fx.Provide(
	func(identity peer.Identity, log *revision.Log, pool *peer.Pool, members *membership.Membership, backing store.Store, logger *zap.Logger) *distribution.Distributor {
		rejections := registrar.NewRejectionReporter(identity.Host, backing, logger.Named("registrar"))
		self := distribution.Identity{Host: identity.Host, Zone: identity.Zone}
		return distribution.New(self, log, pool, members, rejections, logger.Named("distribution"))
	},
	func(identity peer.Identity, backing store.Store, log *revision.Log, distributor *distribution.Distributor, members *membership.Membership, logger *zap.Logger) *registrar.Registrar {
		r := registrar.New(identity.Host, backing, log, distributor, logger.Named("registrar"))
		r.SetZones(func() []string { return knownZones(identity.Zone, members.Members()) })
		return r
	},
))
