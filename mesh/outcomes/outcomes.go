// Package outcomes sends the request counts by which a rollout is judged from the daemons
// that observed the requests to the hosts that decide on the rollout.
package outcomes

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/rendezvous"
	"sassafrasnotch.example/mesh/controller"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

const (
	// reportInterval is the time between reports, sendTimeout bounds the delivery of one.
	reportInterval    = time.Second
	sendTimeout       = 500 * time.Millisecond
	collectorsPerZone = 2 // hosts of the zone that watch a rollout locally
)

// Source counts requests by service, version, route and zone. Outcomes returns the counts
// since its previous call and resets them.
type Source interface {
	Outcomes() []*peerpb.OutcomeCount
}

// Members provides the member list.
type Members interface{ Members() []gossip.Member }

// Rollouts lists the running rollouts of the configuration in force.
type Rollouts interface{ RunningRollouts() []controller.Rollout }

// Controllers names the hosts that decide on a rollout, and the halts known to this host.
type Controllers interface {
	// CandidateHosts returns the hosts that control the rollout or would take over its control.
	CandidateHosts(rollout controller.Rollout) []string
	// Halts returns the known halts.
	Halts() []*peerpb.Trip
	// AddHalts adds the halts with which a host replied to a report.
	AddHalts(halts []*peerpb.Trip)
}

// Peers exchanges control messages with other daemons.
type Peers interface {
	// Control sends a request to the daemon at the address and returns its reply.
	Control(ctx context.Context, host, address string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error)
}

// Config holds the dependencies of a reporter.
type Config struct {
	Host, Zone  string
	Incarnation uint64
	Sources     []Source
	Members     Members
	Rollouts    Rollouts
	Controllers Controllers
	Peers       Peers
	Logger      *zap.Logger
}

// Reporter sends one report a second for each service with a running rollout.
type Reporter struct {
	config   Config
	sequence uint64
}

// New returns a reporter that sends the counts of all sources.
func New(config Config) *Reporter { return &Reporter{config: config} }

// Run sends reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.report(ctx)
		}
	}
}

// report sends the counts since the last report. Counts of services without a running
// rollout are dropped.
func (r *Reporter) report(ctx context.Context) {
	rollouts := r.config.Rollouts.RunningRollouts()
	byService := make(map[string][]*peerpb.OutcomeCount, len(rollouts))
	for _, rollout := range rollouts {
		byService[rollout.Service] = nil
	}
	for _, source := range r.config.Sources {
		for _, count := range source.Outcomes() {
			if _, found := byService[count.Service]; found {
				byService[count.Service] = append(byService[count.Service], count)
			}
		}
	}
	halts := r.config.Controllers.Halts()
	members := r.config.Members.Members()
	for _, rollout := range rollouts {
		counts := byService[rollout.Service]
		collectors := r.collectors(rollout.Service, members)
		// The replies tell a zone of halts. A collector asks for them without counts too, because its zone
		// may have no targets of the service.
		if len(counts) > 0 || hasHalt(halts, rollout.Service) || slices.Contains(collectors, r.config.Host) {
			r.reportRollout(ctx, rollout, counts, halts, members, collectors)
		}
	}
}

// collectors returns the hosts of this zone that watch the rollout of a service locally.
func (r *Reporter) collectors(service string, members []gossip.Member) []string {
	var zone []string
	for _, member := range members {
		if member.Zone == r.config.Zone && member.Status != gossip.Dead && !member.Leaving {
			zone = append(zone, member.Host)
		}
	}
	return rendezvous.Top("collector/"+service, zone, collectorsPerZone)
}

func hasHalt(halts []*peerpb.Trip, service string) bool {
	return slices.ContainsFunc(halts, func(halt *peerpb.Trip) bool { return halt.Service == service })
}

// reportRollout sends a report to the collectors of the zone and to the hosts that control the rollout
// or would take over its control.
func (r *Reporter) reportRollout(ctx context.Context, rollout controller.Rollout, counts []*peerpb.OutcomeCount, halts []*peerpb.Trip, members []gossip.Member, collectors []string) {
	r.sequence++
	report := &peerpb.OutcomeReport{
		Host:        r.config.Host,
		Incarnation: r.config.Incarnation,
		Sequence:    r.sequence,
		Counts:      counts,
		Trips:       halts,
	}
	receivers := slices.Concat(r.config.Controllers.CandidateHosts(rollout), collectors)
	for _, member := range members {
		if slices.Contains(receivers, member.Host) {
			go r.send(ctx, member, report)
		}
	}
}

func (r *Reporter) send(ctx context.Context, member gossip.Member, report *peerpb.OutcomeReport) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	request := &peerpb.ControlRequest{From: r.config.Host, Body: &peerpb.ControlRequest_Outcomes{Outcomes: report}}
	reply, err := r.config.Peers.Control(ctx, member.Host, member.PeerAddress, request)
	if err != nil {
		r.config.Logger.Debug("outcome report not delivered", zap.String("peer", member.Host), zap.Error(err))
		return
	}
	r.config.Controllers.AddHalts(reply.GetOutcomes().GetTrips())
}
