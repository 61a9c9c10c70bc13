package daemon

import (
	"math"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/freshness"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/adapter"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/adminserver"
	"sassafrasnotch.example/mesh/controller"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/membership"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/registrar"
	"sassafrasnotch.example/mesh/report"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/telemetry"
)

var adminModule = fx.Module("admin", fx.Provide(
	newStatusProvider,
	newAdminHandler,
	newReadiness,
))

// adminHandler serves the admin port. It is a type of its own for the dependency injection.
type adminHandler http.Handler

// newAdminHandler returns the handler of the admin port. It adds the routes of the platform if the
// configuration comes from the operator, and allows certificate replacement if the admin port uses
// mutual TLS.
func newAdminHandler(s settings.Settings, a adapter.Adapter, r *registrar.Registrar, x *exit.Exit, p *statusProvider, ready *readiness, level zap.AtomicLevel, metrics *telemetry.Metrics, credentials *tlsCredentials, logger *zap.Logger) adminHandler {
	targets := targetRegistry{Exit: x, ttl: s.Exit.AnnounceTTL}
	server := adminserver.NewServer(r, targets, p, level, metrics.Handler())
	if s.Configuration.Source == settings.SourceOperator {
		server.AddRoutes(func(engine *gin.Engine) { a.RegisterRoutes(engine, x, ready.Ready, logger.Named("targets")) })
	}
	if credentials.admin != nil && credentials.admin.Mutual() {
		server.SetCertificateReplacer(credentials)
	}
	return server.Handler()
}

// targetRegistry implements adminserver.TargetRegistry with the exit and the TTL of announcements.
type targetRegistry struct {
	*exit.Exit
	ttl revision.Duration
}

// TTL implements adminserver.TargetRegistry.
func (t targetRegistry) TTL() string { return t.ttl.Std().String() }

// statusProvider collects the status and the report of this daemon.
type statusProvider struct {
	identity      peer.Identity
	members       *membership.Membership
	configuration configuration
	exit          *exit.Exit
	pool          *peer.Pool
	server        *peer.Server
	controller    *controller.Controller
	storeUsage    adapter.Usage
	recorder      *report.Recorder
}

func newStatusProvider(identity peer.Identity, members *membership.Membership, c configuration, x *exit.Exit, pool *peer.Pool, server *peer.Server, rollouts *controller.Controller, recorder *report.Recorder, a adapter.Adapter) *statusProvider {
	return &statusProvider{identity: identity, members: members, configuration: c, exit: x, pool: pool, server: server, controller: rollouts, recorder: recorder, storeUsage: a.Usage}
}

// Status implements adminserver.StatusProvider.
func (p *statusProvider) Status() admin.Status {
	status := admin.Status{
		Host:              p.identity.Host,
		Zone:              p.identity.Zone,
		LatestRevision:    p.configuration.LatestRevision(),
		AppliedAt:         p.configuration.AppliedAt(),
		PlatformReachable: p.configuration.StoreReachable(),
		LastRejection:     p.configuration.LastRejection(),
		ControlBytes:      p.controlBytes(),
		Targets:           p.exit.TargetStatus(),
		Controllers:       p.controllers(),
	}
	members := p.members.Members()
	for i := range members {
		status.Members = append(status.Members, memberStatus(&members[i]))
		if members[i].Host != p.identity.Host {
			status.Targets = append(status.Targets, targetStatuses(&members[i])...)
		}
	}
	if snapshot := p.configuration.Snapshot(); snapshot != nil {
		status.Applied = snapshot.Revision()
		status.Rollouts = runningRollouts(snapshot)
		status.Evacuated = snapshot.EvacuatedZones()
		for _, problem := range snapshot.Check() {
			status.Dangling = append(status.Dangling, problem.Error())
		}
	}
	return status
}

// confirmedAge returns the time since the store confirmed the configuration held here, in seconds. It is
// infinite if the store never did, or if the configuration comes from tickets.
func (p *statusProvider) confirmedAge() float64 {
	copied, ok := p.configuration.(interface{ Age() time.Duration })
	if !ok {
		return math.Inf(1)
	}
	if age := copied.Age(); age != freshness.Never {
		return age.Seconds()
	}
	return math.Inf(1)
}

// Report implements adminserver.StatusProvider.
func (p *statusProvider) Report() admin.Report {
	counts := p.recorder.Report()
	counts.Zone = p.identity.Zone
	counts.ControlBytes = p.controlBytes()
	return counts
}

// controllers maps the services whose rollouts this host controls to the name of this host.
func (p *statusProvider) controllers() map[string]string {
	holders := make(map[string]string)
	for _, service := range p.controller.ControlledServices() {
		holders[service] = p.identity.Host
	}
	return holders
}

// controlBytes sums up the control traffic of all components.
func (p *statusProvider) controlBytes() admin.ControlBytes {
	var total admin.ControlBytes
	for _, source := range []interface{ Bytes() (uint64, uint64) }{p.members, p.pool, p.server, p.storeUsage} {
		sent, received := source.Bytes()
		total.Sent += sent
		total.Received += received
	}
	return total
}

// memberStatus returns the status of a member.
func memberStatus(member *gossip.Member) admin.MemberStatus {
	return admin.MemberStatus{
		Host:     member.Host,
		Zone:     member.Zone,
		Status:   member.Status.String(),
		Revision: member.Revision,
		Leaving:  member.Leaving,

		AdminAddress: member.AdminAddress,
	}
}

// targetStatuses returns the status of the targets that a member reports.
func targetStatuses(member *gossip.Member) []admin.TargetStatus {
	var statuses []admin.TargetStatus
	for _, target := range member.Targets {
		statuses = append(statuses, admin.TargetStatus{
			Host:    member.Host,
			Zone:    member.Zone,
			Service: target.Service,
			Version: target.Version,
			State:   string(target.State),
			Slots:   target.Slots,
		})
	}
	return statuses
}

// runningRollouts returns the status of the running rollouts in the snapshot.
func runningRollouts(snapshot *revision.Snapshot) []ticket.RolloutStatus {
	var rollouts []ticket.RolloutStatus
	for _, split := range snapshot.RunningRollouts() {
		current := split.Rollout
		rollouts = append(rollouts, ticket.RolloutStatus{
			Service: split.Service,
			From:    current.From,
			To:      current.To,
			Verdict: ticket.Running,
			Step:    current.Step,
			Share:   split.Weight(current.To),
			By:      current.By,
		})
	}
	return rollouts
}
