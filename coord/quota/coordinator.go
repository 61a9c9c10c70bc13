package quota

import "time"

// Coordinator is the part of a daemon that grants tokens to the daemons that report to it.
type Coordinator struct {
	startedAt time.Duration
	draw      func() float64
	leaving   bool
	// known is the number of daemons in the zone among which its limit is divided.
	known     int
	alone     bool // known is a guess
	reporters map[string]*reporter
	buckets   map[string]*bucket
	counted   int           // reporters that count at present
	countedAt time.Duration // of counted
	// share returns the part of the tenant's limit that this coordinator may use, given the part of the zone's
	// daemons that report to it.
	share ShareFunc
	// mayBorrow is set while tokens can be borrowed from the root.
	mayBorrow bool
}

// reporter is a daemon that reports to this one.
type reporter struct {
	incarnation, sequence uint64
	countFrom, reportedAt time.Duration
	offered               map[string]float64
	short                 map[string]int // tokens that the last report wanted in vain
}

// ShareFunc returns the part of a tenant's limit that a coordinator may use, if its reporters are the given
// part of its zone. See Shares.Entitlement.
type ShareFunc func(now time.Duration, tenant string, part float64) float64

// NewCoordinator returns a coordinator without members. draw returns uniform numbers from 0 up to 1.
func NewCoordinator(now time.Duration, draw func() float64, share ShareFunc) *Coordinator {
	return &Coordinator{
		startedAt: now,
		draw:      draw,
		share:     share,
		reporters: make(map[string]*reporter),
		buckets:   make(map[string]*bucket),
	}
}

// SetView applies the member list. Dead members of the zone count, since they may serve beyond a network
// partition. While fewer than half of a larger number known before remain, that number applies: the others
// were more likely cut off than removed.
func (c *Coordinator) SetView(view *View) {
	if view.Alone && c.known > 0 && !c.alone {
		return
	}
	if c.alone || view.Known >= c.known || 2*view.Alive >= c.known {
		c.known, c.alone = view.Known, view.Alone
	}
}

// SetLeaving makes the coordinator reply that it does not act as such.
func (c *Coordinator) SetLeaving() { c.leaving = true }

// SetLimits replaces the limits. The bucket of a new tenant is empty.
func (c *Coordinator) SetLimits(now time.Duration, limits Limits) {
	for tenant := range c.buckets {
		if _, ok := limits[tenant]; !ok {
			delete(c.buckets, tenant)
		}
	}
	for tenant, limit := range limits {
		b := c.buckets[tenant]
		if b == nil {
			b = &bucket{updated: now}
			c.buckets[tenant] = b
		}
		b.advance(now, b.part)
		b.limit = limit
		b.advance(now, b.part)
	}
}

// Acts reports whether this daemon acts as coordinator for at least one daemon.
func (c *Coordinator) Acts(now time.Duration) bool { return c.mayAct(now) && c.Part(now) > 0 }

// mayAct reports whether this daemon answers as coordinator. One that has no limits lacks the configuration
// and could only refuse.
func (c *Coordinator) mayAct(now time.Duration) bool {
	return !c.leaving && len(c.buckets) > 0 && now-c.startedAt >= startupSilence
}

// Part returns the part of the zone's limit that this coordinator may use: that of the daemons that
// report to it.
func (c *Coordinator) Part(now time.Duration) float64 {
	if !c.mayAct(now) {
		return 0
	}
	if now != c.countedAt {
		c.count(now)
	}
	return min(1, float64(c.counted)/float64(max(c.known, 1)))
}

func (c *Coordinator) count(now time.Duration) {
	c.counted, c.countedAt = 0, now
	for host, r := range c.reporters {
		switch {
		case now-r.reportedAt >= reportValid:
			delete(c.reporters, host)
		case now >= r.countFrom:
			c.counted++
		}
	}
}

// Tick brings every bucket up to date. It must be called more often than reports expire: at a longer gap
// the buckets are emptied.
func (c *Coordinator) Tick(now time.Duration) {
	part := c.Part(now)
	for tenant, b := range c.buckets {
		b.advance(now, c.share(now, tenant, part))
	}
}

// Handle answers the report of a daemon. A report that is older than one seen before is ignored.
func (c *Coordinator) Handle(now time.Duration, report *Report) Reply {
	if !c.mayAct(now) {
		return Reply{NotCoordinator: true}
	}
	r := c.reporters[report.Host]
	if r == nil {
		r = &reporter{offered: make(map[string]float64), short: make(map[string]int)}
		r.countFrom = now + report.Hold
		c.reporters[report.Host] = r
	}
	if report.Incarnation < r.incarnation || report.Incarnation == r.incarnation && report.Sequence <= r.sequence {
		return Reply{}
	}
	r.incarnation, r.sequence, r.reportedAt = report.Incarnation, report.Sequence, now
	r.countFrom = max(r.countFrom, now+report.Hold)
	if report.Complete {
		clear(r.offered)
	}
	c.count(now)
	part := c.Part(now)
	var reply Reply
	for _, demand := range report.Demands {
		if demand.Offered > 0 {
			r.offered[demand.Tenant] = demand.Offered
		}
		if b := c.buckets[demand.Tenant]; b != nil {
			b.advance(now, c.share(now, demand.Tenant, part))
			reply.Grants = c.grant(reply.Grants, now, r, b, demand)
		}
	}
	return reply
}

// grant appends the grant for a demand, if it wanted tokens.
func (c *Coordinator) grant(grants []Grant, now time.Duration, r *reporter, b *bucket, demand Demand) []Grant {
	b.putBack(demand.Returned)
	delete(r.short, demand.Tenant)
	if demand.Wanted <= 0 {
		return grants
	}
	g := Grant{Tenant: demand.Tenant, Tokens: b.take(now, demand.Wanted, c.draw())}
	if missing := demand.Wanted - g.Tokens; missing > 0 {
		if c.mayBorrow && now >= b.noLoanUntil {
			r.short[demand.Tenant], g.Soon = missing, true
		} else {
			g.RetryAfter = b.retryAfter(now, c.draw())
		}
	}
	return append(grants, g)
}

// SetMayBorrow tells whether tokens can be borrowed from the root.
func (c *Coordinator) SetMayBorrow(may bool) { c.mayBorrow = may }

// Shortage returns the tokens that the reporters wait for and that are to be borrowed, by tenant.
func (c *Coordinator) Shortage(now time.Duration) map[string]int {
	var shortage map[string]int
	for _, r := range c.reporters {
		for tenant, count := range r.short {
			if b := c.buckets[tenant]; b != nil && now >= b.noLoanUntil {
				if shortage == nil {
					shortage = make(map[string]int)
				}
				shortage[tenant] += count
			}
		}
		clear(r.short)
	}
	return shortage
}

// Borrow adds the tokens that the root lent. They are passed on to the reporters that ask again.
func (c *Coordinator) Borrow(now time.Duration, lent []Loan) {
	for _, l := range lent {
		if b := c.buckets[l.Tenant]; b != nil {
			b.borrow(now, l)
		}
	}
}

// Lend takes tokens from the buckets of this coordinator for one of another zone.
func (c *Coordinator) Lend(now time.Duration, tenant string, wanted int) Loan {
	l := Loan{Tenant: tenant}
	b := c.buckets[tenant]
	if b == nil || !c.mayAct(now) {
		return l
	}
	b.advance(now, c.share(now, tenant, c.Part(now)))
	l.Tokens = b.take(now, wanted, c.draw())
	if l.Tokens < wanted {
		l.RetryAfter = b.retryAfter(now, c.draw())
	}
	return l
}

// Demand returns the requests per second of each limited tenant at the daemons that report here.
func (c *Coordinator) Demand(now time.Duration) map[string]float64 {
	demand := make(map[string]float64)
	for _, r := range c.reporters {
		if now-r.reportedAt >= reportValid {
			continue
		}
		for tenant, offered := range r.offered {
			if c.buckets[tenant] != nil {
				demand[tenant] += offered
			}
		}
	}
	return demand
}
