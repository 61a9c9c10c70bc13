package quota

import (
	"slices"
	"time"
)

// IsRoot reports whether this coordinator lends parts of the limits to others.
func (s *Shares) IsRoot(now time.Duration) bool {
	return s.root == len(s.rank) && now >= s.pledgeFrom && now-s.startedAt >= startupSilence
}

// LendFunc takes tokens from the local buckets. See Coordinator.Lend.
type LendFunc func(now time.Duration, tenant string, wanted int) Loan

// Handle answers the report of the coordinator of another zone. part is that of the local reporters.
func (s *Shares) Handle(now time.Duration, report *ShareReport, limits Limits, part float64, lend LendFunc) ShareReply {
	if !s.IsRoot(now) || part <= 0 {
		return ShareReply{NotRoot: true}
	}
	p := s.pledges[report.Host]
	if p != nil && (report.Incarnation < p.incarnation || report.Incarnation == p.incarnation && report.Sequence <= p.sequence) {
		return ShareReply{NotRoot: true}
	}
	if !report.Pledge {
		var reply ShareReply
		for _, wanted := range report.Wanted {
			reply.Loans = append(reply.Loans, lend(now, wanted.Tenant, min(wanted.Tokens, maxWanted)))
		}
		return reply
	}
	if p == nil {
		p = &pledge{lent: make(map[string][]lentShare)}
		s.pledges[report.Host] = p
	}
	p.incarnation, p.sequence, p.part, p.at = report.Incarnation, report.Sequence, min(max(report.Part, 0), 1), now
	p.demand = make(map[string]float64, len(report.Demands))
	for _, d := range report.Demands {
		if _, ok := limits[d.Tenant]; ok {
			p.demand[d.Tenant] = max(d.Offered, 0)
		}
	}
	s.removeExpired(now)
	s.lendingUntil = now + shareTTL
	var reply ShareReply
	for _, d := range report.Demands {
		if limit, ok := limits[d.Tenant]; ok {
			share := s.lend(now, report.Host, p, d.Tenant, limit, part)
			reply.Shares = append(reply.Shares, TenantShare{d.Tenant, share})
		}
	}
	return reply
}

// lend divides the pool by demand and returns the part of one coordinator. It leaves what others may still
// use.
func (s *Shares) lend(now time.Duration, host string, p *pledge, tenant string, limit Limit, part float64) float64 {
	pool := s.pool(now, tenant, part)
	sum := s.demand[tenant]
	for _, other := range s.pledges {
		if now-other.at < shareTTL {
			sum += other.demand[tenant]
		}
	}
	prior := demandPrior + demandPriorRate*limit.Rate
	share := pool * (p.demand[tenant] + prior*s.base(p.part)/pool) / (sum + prior)
	if share*limit.Burst < minBurst && s.base(p.part)*limit.Burst < minBurst {
		share = 0
	}
	share = max(min(share, pool-s.reserved(now, tenant, host)), 0)
	p.lent[tenant] = append(p.lent[tenant], lentShare{now, share})
	return share
}

// removeExpired removes the loans that have expired, and the pledges without any.
func (s *Shares) removeExpired(now time.Duration) {
	for host, p := range s.pledges {
		for tenant, lent := range p.lent {
			lent = slices.DeleteFunc(lent, func(l lentShare) bool { return now-l.at >= shareTTL })
			if len(lent) == 0 {
				delete(p.lent, tenant)
				continue
			}
			p.lent[tenant] = lent
		}
		if now-p.at >= shareTTL && len(p.lent) == 0 {
			delete(s.pledges, host)
		}
	}
}
