package quota

import (
	"math"
	"slices"
	"strings"
	"time"

	"sassafrasnotch.example/coord/rendezvous"
)

const (
	// ShareInterval is the time between two reports of a coordinator to the root.
	ShareInterval = 250 * time.Millisecond
	// shareTTL is how long a loan may be used, and a pledge counts at the root. With 1 s, what was served
	// after the loss of the root's host fell from 0.914 to 0.900 of what is below the limits.
	shareTTL = 600 * time.Millisecond
	// pledgeTTL is the time after a pledge from which its sender uses its own part again. By then the loans
	// that the root made from the pledge have expired.
	pledgeTTL = 2 * shareTTL
	// rootProbeInterval is the time after which a coordinator tries a preferred root again.
	rootProbeInterval = time.Second
	// sharePeriod is the time constant of the demand by which the root divides a limit. With a shorter one,
	// the share of a tenant with few requests a second varied so much that requests below its limit were
	// refused.
	sharePeriod = 2 * time.Second
	// demandPrior and demandPriorRate are the demand, in requests per second and as a part of the limit's
	// rate, that all zones together are assumed to have beyond what was measured.
	demandPrior     = 1.0
	demandPriorRate = 0.1
	// minBurst is the part of a tenant's burst, in requests, below which the root lends a coordinator no
	// share of the tenant's limit. A bucket of so few tokens is full most of the time, and what it does
	// not hold is lost. Its zone borrows single tokens instead.
	minBurst = 4
)

// Shares divides the limits between the coordinators of all zones. Each has a part of its own: that of its
// reporters in its zone, divided by the number of zones. A coordinator pledges this part to the root and
// gets a loan in return; the root lends no more than what was pledged to it. Therefore the parts in use
// never sum to more than the limit, also with several roots.
type Shares struct {
	host, zone  string
	incarnation uint64
	startedAt   time.Duration
	zones       int      // known
	rank        []string // hosts that are preferred as root to this one
	demand      map[string]float64
	measuredAt  time.Duration

	// As borrower.
	root       int // index in rank of the host that is followed; len(rank) is this one
	confirmed  bool
	pledgedTo  string
	pledgeFrom time.Duration // the first time at which a pledge to another root is allowed
	sequence   uint64
	pending    *shareExchange
	nextReport time.Duration
	nextProbe  time.Duration
	loans      map[string]*loan
	// nextBorrowing is the time from which tokens may be borrowed again.
	nextBorrowing time.Duration

	// As root.
	pledges      map[string]*pledge // by host
	lendingUntil time.Duration
}

type shareExchange struct {
	to       string
	index    int
	sequence uint64
	sentAt   time.Duration
	part     float64
	kind     exchangeKind
}

// exchangeKind tells what a report to the root is for.
type exchangeKind int

const (
	askRoot exchangeKind = iota // whether the host is the root
	pledgePart
	borrowTokens
)

// loan is what a root lent to this coordinator.
type loan struct {
	share, part          float64 // part is that of the pledge
	validUntil, baseFrom time.Duration
}

// pledge is a coordinator that pledged its part to this root.
type pledge struct {
	incarnation, sequence uint64
	part                  float64
	at                    time.Duration
	demand                map[string]float64
	lent                  map[string][]lentShare
}

type lentShare struct {
	at    time.Duration
	share float64
}

// NewShares returns the shares of a coordinator of the zone.
func NewShares(host, zone string, incarnation uint64, now time.Duration) *Shares {
	return &Shares{
		host: host, zone: zone, incarnation: incarnation, startedAt: now, zones: 1, measuredAt: now,
		// An earlier run of this daemon may have pledged its part.
		pledgeFrom: now + pledgeTTL,
		demand:     make(map[string]float64),
		loans:      make(map[string]*loan),
		pledges:    make(map[string]*pledge),
	}
}

// SetZones sets the number of known zones and the hosts that may be the coordinators of those that may be
// reachable, by zone, the preferred ones first.
func (s *Shares) SetZones(known int, coordinators map[string][]string) {
	s.zones = max(known, len(coordinators), 1)
	names := []string{s.zone}
	for zone := range coordinators {
		if zone != s.zone {
			names = append(names, zone)
		}
	}
	var rank []string
	for _, zone := range rendezvous.Rank("quota/root", names) {
		if zone == s.zone {
			break
		}
		rank = append(rank, coordinators[zone]...)
	}
	if slices.Equal(rank, s.rank) {
		return
	}
	followed := ""
	if s.root < len(s.rank) {
		followed = s.rank[s.root]
	}
	s.rank = rank
	if s.root = slices.Index(rank, followed); s.root < 0 {
		s.root, s.confirmed = 0, false
	}
}

// Measure updates the averages of the local demand. Tenants that are not listed are forgotten.
func (s *Shares) Measure(now time.Duration, tenants Limits, demand map[string]float64) {
	weight := 1 - math.Exp(-(now-s.measuredAt).Seconds()/sharePeriod.Seconds())
	s.measuredAt = now
	for tenant := range s.demand {
		if _, ok := tenants[tenant]; !ok {
			delete(s.demand, tenant)
		}
	}
	for tenant := range tenants {
		s.demand[tenant] += weight * (demand[tenant] - s.demand[tenant])
	}
}

// Entitlement returns the part of the tenant's limit that this coordinator may use, if its reporters are
// the given part of the zone.
func (s *Shares) Entitlement(now time.Duration, tenant string, part float64) float64 {
	if l := s.loans[tenant]; l != nil && now < l.baseFrom {
		lent := l.share
		if l.part > 0 {
			lent *= min(1, part/l.part)
		}
		if now < l.validUntil {
			return lent
		}
		return min(lent, s.base(part))
	}
	return max(s.pool(now, tenant, part)-s.reserved(now, tenant, ""), 0)
}

// base returns the part of a limit that a coordinator with the part of a zone has by itself.
func (s *Shares) base(part float64) float64 { return part / float64(s.zones) }

// pool returns the part of the tenant's limit that is pledged to this root, with its own.
func (s *Shares) pool(now time.Duration, tenant string, part float64) float64 {
	pool := s.base(part)
	for _, p := range s.pledges {
		if _, ok := p.demand[tenant]; ok && now-p.at < shareTTL {
			pool += s.base(p.part)
		}
	}
	return pool
}

// reserved returns the part of the tenant's limit that others than the host may use by loans.
func (s *Shares) reserved(now time.Duration, tenant, except string) float64 {
	sum := 0.0
	for host, p := range s.pledges {
		if host == except {
			continue
		}
		most := 0.0
		for _, lent := range p.lent[tenant] {
			if now-lent.at < shareTTL {
				most = max(most, lent.share)
			}
		}
		sum += most
	}
	return sum
}

// MayBorrow reports whether a root is followed that lends tokens.
func (s *Shares) MayBorrow() bool { return s.confirmed && s.root < len(s.rank) }

// Next returns the report that is due and the host that it is for. part is that of the local reporters;
// shortage returns the tokens to be borrowed.
func (s *Shares) Next(now time.Duration, part float64, shortage func(now time.Duration) map[string]int) (to string, report *ShareReport) {
	if s.pending != nil && now-s.pending.sentAt >= ExchangeTimeout {
		s.HandleFailure(now, s.pending.sequence)
	}
	if s.pending != nil || part <= 0 || len(s.rank) == 0 {
		return "", nil
	}
	report = &ShareReport{Host: s.host, Zone: s.zone, Incarnation: s.incarnation, Part: part}
	if now < s.nextReport {
		return s.nextBorrow(now, report, shortage)
	}
	s.nextReport = now + ShareInterval
	index, kind := s.root, askRoot
	if index > 0 && now >= s.nextProbe {
		index, s.nextProbe = 0, now+rootProbeInterval
	}
	if index >= len(s.rank) {
		return "", nil
	}
	to = s.rank[index]
	report.Pledge = index == s.root && s.confirmed && now >= s.lendingUntil && (s.pledgedTo == to || now >= s.pledgeFrom)
	if report.Pledge {
		kind = pledgePart
		for tenant, offered := range s.demand {
			report.Demands = append(report.Demands, TenantDemand{tenant, offered})
		}
		slices.SortFunc(report.Demands, func(a, b TenantDemand) int { return strings.Compare(a.Tenant, b.Tenant) })
		s.pledge(now, to, part)
	}
	s.send(now, to, report, index, kind)
	return to, report
}

// nextBorrow returns the report that asks for tokens, if some are missing.
func (s *Shares) nextBorrow(now time.Duration, report *ShareReport, shortage func(now time.Duration) map[string]int) (string, *ShareReport) {
	if !s.MayBorrow() || now < s.nextBorrowing {
		return "", nil
	}
	for tenant, tokens := range shortage(now) {
		report.Wanted = append(report.Wanted, Wanted{tenant, tokens})
	}
	if len(report.Wanted) == 0 {
		return "", nil
	}
	slices.SortFunc(report.Wanted, func(a, b Wanted) int { return strings.Compare(a.Tenant, b.Tenant) })
	s.nextBorrowing = now + minFetchInterval
	to := s.rank[s.root]
	s.send(now, to, report, s.root, borrowTokens)
	return to, report
}

func (s *Shares) send(now time.Duration, to string, report *ShareReport, index int, kind exchangeKind) {
	s.sequence++
	report.Sequence = s.sequence
	s.pending = &shareExchange{to, index, s.sequence, now, report.Part, kind}
}

// pledge records that the parts of all tenants are pledged from now on. Until the root lends something,
// what was in force before stays so.
func (s *Shares) pledge(now time.Duration, to string, part float64) {
	s.pledgedTo, s.pledgeFrom = to, now+pledgeTTL
	for tenant := range s.demand {
		l := s.loans[tenant]
		if l == nil || now >= l.baseFrom {
			l = &loan{share: s.base(part), part: part, validUntil: now + ExchangeTimeout}
			s.loans[tenant] = l
		}
		l.baseFrom = now + pledgeTTL
	}
	for tenant, l := range s.loans {
		if _, ok := s.demand[tenant]; !ok && now >= l.baseFrom {
			delete(s.loans, tenant)
		}
	}
}

// HandleReply applies the reply to the report with the sequence. A late reply is ignored.
func (s *Shares) HandleReply(now time.Duration, sequence uint64, reply ShareReply) {
	if s.pending == nil || s.pending.sequence != sequence {
		return
	}
	if reply.NotRoot || now-s.pending.sentAt >= ExchangeTimeout {
		s.HandleFailure(now, sequence)
		return
	}
	done := s.pending
	s.pending = nil
	if done.kind == askRoot {
		s.root, s.confirmed = done.index, true
	}
	if done.kind != pledgePart {
		return
	}
	for _, share := range reply.Shares {
		if l := s.loans[share.Tenant]; l != nil {
			l.share, l.part, l.validUntil = share.Share, done.part, done.sentAt+shareTTL
		}
	}
}

// HandleFailure applies that the report with the sequence had no reply.
func (s *Shares) HandleFailure(now time.Duration, sequence uint64) {
	if s.pending == nil || s.pending.sequence != sequence {
		return
	}
	index := s.pending.index
	s.pending = nil
	if index != s.root {
		return // a probe, or a host that is not preferred any more
	}
	s.confirmed = false
	s.root = min(s.root+1, len(s.rank))
	s.nextProbe = now + rootProbeInterval
	s.nextReport = min(s.nextReport, now+failureBackoff)
}
