package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// maxCandidates is the number of coordinators that a daemon tries before it acts for itself alone.
	maxCandidates = 3
	// probeInterval is the time after which a daemon tries a preferred coordinator again.
	probeInterval = time.Second
	// minEmpty and maxEmpty bound the time for which a daemon does not ask again for a tenant whose
	// bucket was empty: it limits the exchanges under a flood.
	minEmpty = 20 * time.Millisecond
	maxEmpty = 100 * time.Millisecond
	// minOffered is the rate below which a tenant is left out of reports.
	minOffered = 0.02
	// failureBackoff is the time between a report without a reply and the next one. It bounds the messages
	// of a fleet that starts, whose daemons reply for a while that they do not act as coordinator.
	failureBackoff = 50 * time.Millisecond
	// maxWanted bounds the tokens of one fetch.
	maxWanted = 10000
)

// Client is the part of a daemon that fetches tokens from the coordinator of its zone.
type Client struct {
	host        string
	incarnation uint64
	candidates  []string // the preferred one first, this daemon at last
	current     string
	probe       *exchange // of a preferred coordinator; it runs beside the reports to the current one
	// heldUntil is the time until which a former coordinator may count this daemon, lastSent that of the
	// last report to the current one.
	heldUntil, lastSent time.Duration
	sequence            uint64
	pending             *exchange
	nextReport          time.Duration
	nextProbe           time.Duration
	nextFetch           time.Duration
	measuredAt          time.Duration
	tenants             map[string]*tenantTokens
}

// exchange is a report without a reply yet.
type exchange struct {
	to       string
	sequence uint64
	sentAt   time.Duration
}

// NewClient returns a client without candidates.
func NewClient(host string, incarnation uint64, now time.Duration) *Client {
	return &Client{
		host:        host,
		incarnation: incarnation,
		// An earlier run of this daemon may still be counted elsewhere.
		heldUntil:  now + reportValid + holdMargin,
		measuredAt: now,
		tenants:    make(map[string]*tenantTokens),
	}
}

// SetCandidates sets the hosts of the zone that may act as coordinator, in the order of preference.
func (c *Client) SetCandidates(hosts []string) {
	c.candidates = append([]string(nil), hosts[:min(len(hosts), maxCandidates)]...)
	if !slices.Contains(c.candidates, c.host) {
		c.candidates = append(c.candidates, c.host)
	}
}

// SetLimits forgets the tenants that have no limit any more.
func (c *Client) SetLimits(limits Limits) {
	for tenant := range c.tenants {
		if _, ok := limits[tenant]; !ok {
			delete(c.tenants, tenant)
		}
	}
}

func (c *Client) tenant(name string) *tenantTokens {
	t := c.tenants[name]
	if t == nil {
		t = &tenantTokens{}
		c.tenants[name] = t
	}
	return t
}

// Begin decides on a request of the tenant: it uses a token, or is refused if the bucket was found empty a
// moment ago, or else waits for one exchange. A waiter that is not decided must be given to Abandon or be
// returned by HandleReply.
func (c *Client) Begin(now time.Duration, tenant string) *Waiter {
	t := c.tenant(tenant)
	t.arrivals++
	w := &Waiter{tenant: tenant}
	switch {
	case len(t.waiters) == 0 && t.take(now):
		w.Decided, w.Granted = true, true
	case now < t.emptyUntil:
		w.Decided, w.RetryAfter = true, t.spreadRetryAfter()
	default:
		t.waiters = append(t.waiters, w)
	}
	return w
}

// Abandon refuses a request that does not wait any longer.
func (c *Client) Abandon(w *Waiter) {
	t := c.tenant(w.tenant)
	t.waiters = slices.DeleteFunc(t.waiters, func(other *Waiter) bool { return other == w })
	w.Decided, w.RetryAfter = true, t.spreadRetryAfter()
}

// Return gives back the token of a request that no target ran. Only a token that has not expired is of use
// again: one that came back later could admit a request in a window in which the bucket is full again.
func (c *Client) Return(now time.Duration, tenant string) {
	t := c.tenant(tenant)
	t.expire(now)
	if last := len(t.used) - 1; last >= 0 {
		t.held = addTokens(t.held, tokens{t.used[last].expiry, 1})
		if t.used[last].count--; t.used[last].count == 0 {
			t.used = t.used[:last]
		}
	}
}

// Next returns a report that is due and the host that it is for. It is to be called again until there is
// none.
func (c *Client) Next(now time.Duration) (to string, report *Report) {
	for _, late := range []*exchange{c.pending, c.probe} {
		if late != nil && now-late.sentAt >= ExchangeTimeout {
			c.HandleFailure(now, late.sequence)
		}
	}
	if len(c.candidates) == 0 {
		return "", nil
	}
	if c.current == "" {
		c.current = c.candidates[0]
	}
	if preferred := c.candidates[0]; c.probe == nil && c.current != preferred && now >= c.nextProbe {
		c.nextProbe = now + probeInterval
		report = c.newReport(now, max(c.heldUntil, c.lastSent+reportValid+holdMargin))
		c.probe = &exchange{preferred, c.sequence, now}
		return preferred, report
	}
	complete := now >= c.nextReport
	if c.pending != nil || !complete && (now < c.nextFetch || !c.anyWaiting(now)) {
		return "", nil
	}
	report = c.newReport(now, c.heldUntil)
	report.Complete = complete
	if complete {
		c.measure(now)
		c.nextReport = now + ReportInterval
	}
	c.lastSent, c.nextFetch = now, now+minFetchInterval
	c.pending = &exchange{c.current, c.sequence, now}
	report.Demands = c.demands(now, complete)
	return c.current, report
}

func (c *Client) newReport(now, heldUntil time.Duration) *Report {
	c.sequence++
	return &Report{Host: c.host, Incarnation: c.incarnation, Sequence: c.sequence, Hold: max(heldUntil-now, 0)}
}

func (c *Client) anyWaiting(now time.Duration) bool {
	for _, t := range c.tenants {
		if len(t.waiters) > 0 && now >= t.emptyUntil {
			return true
		}
	}
	return false
}

// measure updates the averages of the tenants' request rates.
func (c *Client) measure(now time.Duration) {
	elapsed := (now - c.measuredAt).Seconds()
	c.measuredAt = now
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed/demandPeriod.Seconds())
	for _, t := range c.tenants {
		t.offered += weight * (float64(t.arrivals)/elapsed - t.offered)
		t.arrivals = 0
	}
}

// demands lists what the tenants need and what they have too much.
func (c *Client) demands(now time.Duration, complete bool) []Demand {
	var demands []Demand
	for name, t := range c.tenants {
		d := Demand{Tenant: name}
		balance := t.balance(now)
		t.asked = 0
		if balance > 0 && (len(t.waiters) > 0 || complete) && now >= t.emptyUntil {
			t.asked, d.Wanted = len(t.waiters), balance
		} else if balance < 0 && complete {
			d.Returned = t.giveUp(-balance)
		}
		if complete && t.offered >= minOffered {
			d.Offered = t.offered
		}
		if d.Wanted > 0 || d.Returned > 0 || d.Offered > 0 {
			demands = append(demands, d)
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		if a.Tenant < b.Tenant {
			return -1
		}
		return 1
	})
	return demands
}

// HandleReply applies the reply to the report with the sequence, and returns the requests that it decides.
// A late reply is ignored.
func (c *Client) HandleReply(now time.Duration, sequence uint64, reply Reply) (decided []*Waiter) {
	if c.probe != nil && c.probe.sequence == sequence {
		to := c.probe.to
		c.probe = nil
		if !reply.NotCoordinator && to != c.current {
			c.switchTo(to)
			c.nextReport = now
		}
		return nil
	}
	if c.pending == nil || c.pending.sequence != sequence {
		return nil
	}
	if reply.NotCoordinator || now-c.pending.sentAt >= ExchangeTimeout {
		c.HandleFailure(now, sequence)
		return nil
	}
	expiry := c.pending.sentAt + tokenTTL
	c.pending = nil
	for _, grant := range reply.Grants {
		t := c.tenants[grant.Tenant]
		if t == nil {
			continue // its limit was removed
		}
		if grant.Tokens > 0 {
			t.held = addTokens(t.held, tokens{expiry, grant.Tokens})
		}
		if grant.Soon {
			t.asked = 0
		}
		if grant.RetryAfter > 0 {
			t.retryAfter = grant.RetryAfter
			t.emptyUntil = now + min(max(grant.RetryAfter, minEmpty), maxEmpty)
		}
	}
	for _, t := range c.tenants {
		decided = append(decided, t.decide(now)...)
	}
	return decided
}

// HandleFailure applies that the report with the sequence had no reply. The next one goes to the next
// candidate, unless it was a probe.
func (c *Client) HandleFailure(now time.Duration, sequence uint64) {
	if c.probe != nil && c.probe.sequence == sequence {
		c.probe = nil
	}
	if c.pending == nil || c.pending.sequence != sequence {
		return
	}
	failed := c.pending.to
	c.pending = nil
	c.nextFetch = now + failureBackoff
	c.nextProbe = now + probeInterval
	next := c.candidates[(slices.Index(c.candidates, failed)+1)%len(c.candidates)]
	if next != failed {
		c.switchTo(next)
		c.nextReport = min(c.nextReport, now+failureBackoff)
	}
}

// switchTo makes a host the coordinator of this daemon. The tokens of the former one are discarded. The
// former one may count this daemon for a while.
func (c *Client) switchTo(host string) {
	c.current, c.pending = host, nil
	c.heldUntil = max(c.heldUntil, c.lastSent+reportValid+holdMargin)
	for _, t := range c.tenants {
		t.held, t.used = nil, nil
	}
}

// Coordinator returns the host to which the daemon reports, or "".
func (c *Client) Coordinator() string { return c.current }
