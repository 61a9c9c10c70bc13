// Package outcomes sends the counts of calls that a move is judged by from the
// daemons that saw them to the hosts that decide.
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
	interval       = time.Second
	sendTimeout    = 500 * time.Millisecond
	zoneCollectors = 2 // hosts of the zone that watch a move locally
)

// Source counts the calls by service, version, route and zone since the last
// time it was asked.
type Source interface {
	Outcomes() []*peerpb.OutcomeCount
}

// Members is the membership view.
type Members interface{ Members() []gossip.Member }

// Moves lists the running moves of the configuration in force.
type Moves interface{ RunningMoves() []controller.Move }

// Controllers names the hosts that decide on a move, and the trips
// that are known here.
type Controllers interface {
	Hosts(move controller.Move) []string
	Trips() []*peerpb.Trip
	// Learn takes in the trips that a host answered a report with.
	Learn(trips []*peerpb.Trip)
}

// Peers exchanges control messages with other daemons.
type Peers interface {
	Control(ctx context.Context, host, address string, request *peerpb.ControlRequest) (*peerpb.ControlReply, error)
}

// Config holds what a reporter depends on.
type Config struct {
	Host, Zone  string
	Incarnation uint64
	Sources     []Source
	Members     Members
	Moves       Moves
	Controllers Controllers
	Peers       Peers
	Logger      *zap.Logger
}

// Reporter sends one report a second for each moving service.
type Reporter struct {
	config   Config
	sequence uint64
}

// New returns a reporter that adds up the sources.
func New(config Config) *Reporter { return &Reporter{config: config} }

// Run reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
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

// report sends what was counted since the last report. Counts of services that
// do not move are dropped.
func (r *Reporter) report(ctx context.Context) {
	moves := r.config.Moves.RunningMoves()
	byService := make(map[string][]*peerpb.OutcomeCount, len(moves))
	for _, move := range moves {
		byService[move.Service] = nil
	}
	for _, source := range r.config.Sources {
		for _, count := range source.Outcomes() {
			if _, moving := byService[count.Service]; moving {
				byService[count.Service] = append(byService[count.Service], count)
			}
		}
	}
	trips := r.config.Controllers.Trips()
	for _, move := range moves {
		counts := byService[move.Service]
		if len(counts) > 0 || hasTrip(trips, move.Service) {
			r.reportMove(ctx, move, counts, trips)
		}
	}
}

func hasTrip(trips []*peerpb.Trip, service string) bool {
	return slices.ContainsFunc(trips, func(trip *peerpb.Trip) bool { return trip.Service == service })
}

func (r *Reporter) reportMove(ctx context.Context, move controller.Move, counts []*peerpb.OutcomeCount, trips []*peerpb.Trip) {
	r.sequence++
	report := &peerpb.OutcomeReport{
		Host:        r.config.Host,
		Incarnation: r.config.Incarnation,
		Sequence:    r.sequence,
		Counts:      counts,
		Trips:       trips,
	}
	for _, member := range r.receivers(move) {
		go r.send(ctx, member, report)
	}
}

// receivers returns the zone's collectors and the hosts that control the move
// or would take it over.
func (r *Reporter) receivers(move controller.Move) []gossip.Member {
	byHost := make(map[string]gossip.Member)
	var zone []string
	for _, member := range r.config.Members.Members() {
		byHost[member.Host] = member
		if member.Zone == r.config.Zone && member.Status != gossip.Dead && !member.Leaving {
			zone = append(zone, member.Host)
		}
	}
	hosts := append(r.config.Controllers.Hosts(move), rendezvous.Top("collector/"+move.Service, zone, zoneCollectors)...)
	slices.Sort(hosts)
	var receivers []gossip.Member
	for _, host := range slices.Compact(hosts) {
		if member, known := byHost[host]; known {
			receivers = append(receivers, member)
		}
	}
	return receivers
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
	r.config.Controllers.Learn(reply.GetOutcomes().GetTrips())
}
