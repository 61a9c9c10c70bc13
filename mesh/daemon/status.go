package daemon

import (
	"net/http"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/zap"

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
	newViewer,
	newAdminHandler,
	newReadiness,
))

// adminHandler is the handler of the admin port.
type adminHandler http.Handler

func newAdminHandler(s settings.Settings, a adapter.Adapter, r *registrar.Registrar, calls *exit.Exit, v *viewer, ready *readiness, level zap.AtomicLevel, metrics *telemetry.Metrics, keys *keyring, logger *zap.Logger) adminHandler {
	targets := announcements{Exit: calls, ttl: s.Exit.AnnounceTTL}
	server := adminserver.NewServer(r, targets, v, level, metrics.Handler())
	if s.Configuration.Source == settings.SourceOperator {
		server.AddRoutes(func(engine *gin.Engine) { a.Routes(engine, calls, ready.Ready, logger.Named("targets")) })
	}
	if keys.admin != nil && keys.admin.Mutual() {
		server.UseCertificates(keys)
	}
	return server.Handler()
}

// announcements adds the time for which an announcement holds.
type announcements struct {
	*exit.Exit
	ttl revision.Duration
}

// TTL implements adminserver.Targets.
func (a announcements) TTL() string { return a.ttl.Std().String() }

// viewer reports this daemon's view of the system.
type viewer struct {
	identity      peer.Identity
	members       *membership.Membership
	configuration configuration
	calls         *exit.Exit
	pool          *peer.Pool
	server        *peer.Server
	controller    *controller.Controller
	platform      adapter.Usage
	recorder      *report.Recorder
}

func newViewer(identity peer.Identity, members *membership.Membership, applied configuration, calls *exit.Exit, pool *peer.Pool, server *peer.Server, c *controller.Controller, recorder *report.Recorder, a adapter.Adapter) *viewer {
	return &viewer{identity: identity, members: members, configuration: applied, calls: calls, pool: pool, server: server, controller: c, recorder: recorder, platform: a.Usage}
}

// Status implements adminserver.Viewer.
func (v *viewer) Status() admin.Status {
	status := admin.Status{
		Host:              v.identity.Host,
		Zone:              v.identity.Zone,
		Head:              v.configuration.Head(),
		AppliedAt:         v.configuration.AppliedAt(),
		PlatformReachable: v.configuration.PlatformReachable(),
		LastRejection:     v.configuration.LastRejection(),
		ControlBytes:      v.controlBytes(),
		Targets:           v.calls.TargetStatus(),
		Controllers:       v.holding(),
	}
	view := v.members.Members()
	for i := range view {
		status.Members = append(status.Members, memberStatus(&view[i]))
		if view[i].Host != v.identity.Host {
			status.Targets = append(status.Targets, targetStatuses(&view[i])...)
		}
	}
	if snapshot := v.configuration.Snapshot(); snapshot != nil {
		status.Applied = snapshot.Revision()
		status.Moves = runningMoves(snapshot)
		for _, problem := range snapshot.Check() {
			status.Dangling = append(status.Dangling, problem.Error())
		}
	}
	return status
}

// Report implements adminserver.Viewer.
func (v *viewer) Report() admin.Report {
	told := v.recorder.Report()
	told.Zone = v.identity.Zone
	told.ControlBytes = v.controlBytes()
	return told
}

// holding maps the moves that this host controls to its name.
func (v *viewer) holding() map[string]string {
	holders := make(map[string]string)
	for _, service := range v.controller.Holding() {
		holders[service] = v.identity.Host
	}
	return holders
}

func (v *viewer) controlBytes() admin.ControlBytes {
	var total admin.ControlBytes
	for _, source := range []interface{ Bytes() (uint64, uint64) }{v.members, v.pool, v.server, v.platform} {
		sent, received := source.Bytes()
		total.Sent += sent
		total.Received += received
	}
	return total
}

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

// runningMoves lists the moves in the snapshot.
func runningMoves(snapshot *revision.Snapshot) []ticket.MoveStatus {
	var moves []ticket.MoveStatus
	for _, split := range snapshot.Moving() {
		move := split.Move
		moves = append(moves, ticket.MoveStatus{
			Service: split.Service,
			From:    move.From,
			To:      move.To,
			Verdict: ticket.Running,
			Step:    move.Step,
			Share:   split.Weight(move.To),
			By:      move.By,
		})
	}
	return moves
}
