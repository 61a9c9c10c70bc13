// Package quota limits the requests of tenants over all daemons: it runs the state machines of
// coord/quota, carries their messages over control streams, and admits requests at the entry. While no
// tenant has a limit it sends nothing.
package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/quota"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

const (
	// tickInterval is the time between two runs of the periodic work. Reports are due at a multiple of it.
	tickInterval = 50 * time.Millisecond
	// measureTicks is the number of ticks between two measurements of the zone's demand.
	measureTicks = 5
	// fetchDelay is the time after which requests that wait are looked at again.
	fetchDelay = 5 * time.Millisecond
)

// Controller sends control requests to other daemons and to this one. *peer.Pool implements it.
type Controller interface {
	Control(ctx context.Context, host, address string, req *peerpb.ControlRequest) (*peerpb.ControlReply, error)
}

// Limiter is the part of a daemon that enforces the limits of tenants. It is safe for concurrent use.
type Limiter struct {
	self     peer.Identity
	zones    []string
	control  Controller
	log      *zap.Logger
	started  time.Time
	limits   atomic.Pointer[quota.Limits]
	activate chan struct{} // signals that there are limits
	fetch    chan struct{} // signals that requests wait

	mu          sync.Mutex
	client      *quota.Client
	coordinator *quota.Coordinator
	shares      *quota.Shares
	addresses   map[string]string // of peers by host
	waiting     map[*quota.Waiter]chan struct{}
	counts      counts
	changes     changeLog
}

// New returns a limiter of the daemon self. zones are the availability zones of the deployment; those of
// known members are added.
func New(self peer.Identity, zones []string, control Controller, log *zap.Logger) *Limiter {
	l := &Limiter{
		self: self, zones: zones, control: control, log: log,
		started:   time.Now(),
		activate:  make(chan struct{}, 1),
		fetch:     make(chan struct{}, 1),
		client:    quota.NewClient(self.Host, self.Incarnation, 0),
		shares:    quota.NewShares(self.Host, self.Zone, self.Incarnation, 0),
		addresses: make(map[string]string),
		waiting:   make(map[*quota.Waiter]chan struct{}),
		counts:    newCounts(),
	}
	l.limits.Store(&quota.Limits{})
	l.coordinator = quota.NewCoordinator(0, rand.Float64, l.shares.Entitlement)
	l.SetMembers(nil)
	return l
}

// now returns the time since the limiter was created.
func (l *Limiter) now() time.Duration { return time.Since(l.started) }

// SetMembers replaces the member list.
func (l *Limiter) SetMembers(members []gossip.Member) {
	view := quota.NewView(l.self.Host, l.self.Zone, l.zones, members)
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.addresses)
	for i := range members {
		l.addresses[members[i].Host] = members[i].PeerAddress
	}
	l.client.SetCandidates(view.Candidates)
	l.coordinator.SetView(&view)
	l.shares.SetZones(view.Zones, view.Coordinators)
}

// SetSnapshot applies the limits of a configuration.
func (l *Limiter) SetSnapshot(snapshot *revision.Snapshot) {
	limits := quota.Limits{}
	for _, tenant := range snapshot.Tenants() {
		if tenant.Rate > 0 {
			limits[tenant.Name] = quota.Limit{Rate: tenant.Rate, Burst: max(tenant.Burst, 1)}
		}
	}
	l.setLimits(limits)
}

func (l *Limiter) setLimits(limits quota.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coordinator.SetLimits(l.now(), limits)
	l.client.SetLimits(limits)
	l.limits.Store(&limits)
	if len(limits) > 0 {
		signal(l.activate)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Leave makes this daemon stop to act as coordinator.
func (l *Limiter) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coordinator.SetLeaving()
}

// Acquire takes a token for one request of the tenant to one target, and waits for one for at most the
// bound. Without a token it returns the time after which the request is worth another try.
func (l *Limiter) Acquire(ctx context.Context, tenant string, bound time.Duration) (granted bool, retryAfter time.Duration) {
	if _, limited := (*l.limits.Load())[tenant]; !limited {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.client.Begin(l.now(), tenant)
	if !w.Decided {
		l.wait(ctx, w, bound)
	}
	l.counts.add(tenant, w.Granted)
	return w.Granted, w.RetryAfter
}

// wait waits until the request is decided, and refuses it otherwise. The caller holds mu.
func (l *Limiter) wait(ctx context.Context, w *quota.Waiter, bound time.Duration) {
	decided := make(chan struct{})
	l.waiting[w] = decided
	l.send()
	l.mu.Unlock()
	signal(l.fetch)
	timer := time.NewTimer(bound)
	select {
	case <-decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	l.mu.Lock()
	delete(l.waiting, w)
	if !w.Decided {
		l.client.Abandon(w)
	}
}

// Return gives back the token of a request that no target ran.
func (l *Limiter) Return(tenant string) {
	if _, limited := (*l.limits.Load())[tenant]; !limited {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.client.Return(l.now(), tenant)
}

// Run sends the reports that are due until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.activate:
			l.runActive(ctx)
		}
	}
}

// runActive runs while there are limits.
func (l *Limiter) runActive(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for tick := 0; len(*l.limits.Load()) > 0; {
		select {
		case <-ctx.Done():
			return
		case <-l.fetch:
			timer := time.NewTimer(fetchDelay)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
			l.poll()
		case <-ticker.C:
			tick++
			l.tick(tick%measureTicks == 0)
		}
	}
}

// poll sends what is due, and comes back while requests wait.
func (l *Limiter) poll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.send()
	if len(l.waiting) > 0 {
		signal(l.fetch)
	}
}

func (l *Limiter) tick(measure bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.coordinator.Tick(now)
	l.coordinator.SetMayBorrow(l.shares.MayBorrow())
	if measure && l.coordinator.Acts(now) {
		l.shares.Measure(now, *l.limits.Load(), l.coordinator.Demand(now))
	}
	l.send()
	l.changes.observe(l.log, l.client.Coordinator(), l.coordinator.Acts(now))
}

// send starts the exchanges that are due. The caller holds mu.
func (l *Limiter) send() {
	now := l.now()
	for to, report := l.client.Next(now); report != nil; to, report = l.client.Next(now) {
		go l.report(to, l.addresses[to], report)
	}
	if to, report := l.shares.Next(now, l.coordinator.Part(now), l.coordinator.Shortage); report != nil {
		go l.reportShares(to, l.addresses[to], report)
	}
}

// report carries out an exchange with a coordinator.
func (l *Limiter) report(host, address string, report *quota.Report) {
	reply := l.exchange(host, address, encodeReport(report)).GetTokens()
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply == nil {
		l.client.HandleFailure(l.now(), report.Sequence)
		return
	}
	for _, w := range l.client.HandleReply(l.now(), report.Sequence, decodeReply(reply)) {
		if decided := l.waiting[w]; decided != nil {
			delete(l.waiting, w)
			close(decided)
		}
	}
}

// reportShares carries out an exchange with the coordinator of another zone.
func (l *Limiter) reportShares(host, address string, report *quota.ShareReport) {
	reply := l.exchange(host, address, encodeShareReport(report)).GetShares()
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply == nil {
		l.shares.HandleFailure(l.now(), report.Sequence)
		return
	}
	decoded := decodeShareReply(reply)
	l.shares.HandleReply(l.now(), report.Sequence, decoded)
	l.coordinator.Borrow(l.now(), decoded.Loans)
}

// exchange returns the reply of a host, or nil.
func (l *Limiter) exchange(host, address string, request *peerpb.ControlRequest) *peerpb.ControlReply {
	ctx, cancel := context.WithTimeout(context.Background(), quota.ExchangeTimeout)
	defer cancel()
	reply, err := l.control.Control(ctx, host, address, request)
	if err != nil {
		l.log.Debug("exchange failed", zap.String("step", "exchange tokens"), zap.String("peer", host), zap.Error(err))
		return nil
	}
	return reply
}

// ServeTokens answers the report of a daemon of this zone.
func (l *Limiter) ServeTokens(from peer.Identity, request *peerpb.TokenRequest) *peerpb.ControlReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from.Zone != l.self.Zone {
		return encodeReply(quota.Reply{NotCoordinator: true})
	}
	reply := l.coordinator.Handle(l.now(), decodeReport(from, request))
	l.send()
	return encodeReply(reply)
}

// ServeShares answers the report of the coordinator of another zone.
func (l *Limiter) ServeShares(from peer.Identity, report *peerpb.ShareReport) *peerpb.ControlReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	return encodeShareReply(l.shares.Handle(now, decodeShareReport(from, report), *l.limits.Load(), l.coordinator.Part(now), l.coordinator.Lend))
}
