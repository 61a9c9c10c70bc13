// Package controller runs rollouts, which move the traffic of a service from one version to
// another. For each running rollout one host, usually the first in rendezvous order, holds a lease.
// Once a second it evaluates the outcome reports and writes a due step as one transaction, which
// its fencing epoch guards. Any other host can continue from the rollout's row in the store.
package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// storePeerName is the peer in errors of requests to the store.
const storePeerName = "platform"

const (
	tickInterval = time.Second
	// leaseTerm is the time without a renewal after which another candidate may take over a lease.
	leaseTerm = 3 * time.Second
	// reportExpiry is the time without an outcome report after which a rollout counts as not
	// reported on.
	reportExpiry = 3 * time.Second
	// standbyDelay is how long the other candidates for a new rollout wait before they contend
	// for its lease. In this time the first candidate observes the rollout and ticks.
	standbyDelay = 2 * tickInterval
	// backoffMin and backoffMax bound the delay between failed attempts to advance a rollout.
	backoffMin = 500 * time.Millisecond
	backoffMax = 8 * time.Second
)

// RevisionLog appends changes to the log of revisions. Append writes one change as the next
// revision and returns its number. The extra compares and writes are part of the same transaction.
// The error wraps store.ErrConflict if an extra compare failed and store.ErrUnavailable if nothing
// was written.
type RevisionLog interface {
	Append(ctx context.Context, put []revision.Resource, compares []store.Compare, writes []store.Write) (uint64, error)
}

// Members provides the member list of this host.
type Members interface {
	// Members returns the member list.
	Members() []gossip.Member
}

// Rollout is a running rollout in the snapshot in force.
type Rollout struct {
	Service    string
	Preference revision.Preference
	revision.Rollout
}

// Rollouts lists the running rollouts of the snapshot in force.
type Rollouts interface {
	// RunningRollouts returns at most one rollout per service.
	RunningRollouts() []Rollout
}

// Config holds the settings and dependencies of a controller.
type Config struct {
	Host, Zone string
	// Incarnation is the start of this process. It distinguishes the leases of this process from
	// those of an earlier process of the host.
	Incarnation uint64
	Table       store.Table // holds the rows of leases, rollouts and tickets
	Log         RevisionLog // appends the split of each step
	Members     Members
	Rollouts    Rollouts
	// Now returns the time; its monotonic clock reading is used to time leases.
	Now func() time.Time
	// TicketKey returns the key of a ticket's row.
	TicketKey func(number uint64) string
	// CreateTicket creates the ticket of a rollout that was started without one; nil means that
	// every rollout has a ticket.
	CreateTicket func(ctx context.Context, r Rollout) error
	// StepWrites returns further writes for the transaction of each step; it may be nil.
	StepWrites func(rollout.State) ([]store.Write, error)
	// KeepFinished keeps the row of a rollout after its end, for a configuration source that
	// derives the split from the row.
	KeepFinished bool
	// Evacuated reports whether the targets of an availability zone receive no requests; nil means that none
	// are evacuated.
	Evacuated func(zone string) bool
	Logger    *zap.Logger
}

// Controller runs the rollouts whose leases this host holds. All methods are safe for concurrent
// use.
type Controller struct {
	config  Config
	started time.Time
	inbox   *inbox
	// resigned is set when this host must no longer control any rollout.
	resigned atomic.Bool

	mu      sync.Mutex
	runners map[string]*runner // by service
}

// New returns a controller without rollouts.
func New(config Config) *Controller {
	return &Controller{
		config:  config,
		started: config.Now(),
		inbox:   newInbox(),
		runners: make(map[string]*runner),
	}
}

// Run evaluates the reports and advances the rollouts each second until the context ends. A slow
// store delays the steps of a rollout, but not the evaluation of the reports, on which halts of
// the local zone depend.
func (c *Controller) Run(ctx context.Context) {
	var advancing sync.WaitGroup
	defer advancing.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.startTick(ctx, &advancing)
		}
	}
}

// Tick performs one iteration of Run and waits for its completion.
func (c *Controller) Tick(ctx context.Context) {
	var advancing sync.WaitGroup
	c.startTick(ctx, &advancing)
	advancing.Wait()
}

// startTick closes the window of every running rollout and starts a goroutine to advance each
// rollout that is not being advanced already.
func (c *Controller) startTick(ctx context.Context, advancing *sync.WaitGroup) {
	now := c.config.Now()
	for _, r := range c.closeWindows(now) {
		if !r.busy.CompareAndSwap(false, true) {
			continue
		}
		advancing.Go(func() {
			defer r.busy.Store(false)
			r.tick(ctx, now)
		})
	}
}

// closeWindows closes the window of every running rollout of the snapshot in force and returns
// the runners.
func (c *Controller) closeWindows(now time.Time) []*runner {
	rollouts := c.config.Rollouts.RunningRollouts()
	c.inbox.setRollouts(rollouts)
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[string]*runner, len(rollouts))
	var all []*runner
	for _, m := range rollouts {
		r := c.runners[m.Service]
		if r == nil || r.rollout.Ticket != m.Ticket {
			r = c.newRunner(m)
		}
		kept[m.Service] = r
		all = append(all, r)
		r.inForce.Store(&m)
		r.evidence.closeWindow(now, m.Rollout)
	}
	c.runners = kept
	return all
}

// Resign makes this host release the leases of its rollouts at the next tick and acquire no
// others. The other candidates continue the rollouts.
func (c *Controller) Resign() { c.resigned.Store(true) }

// HandleReport records an outcome report. A report may arrive from any host, directly or relayed,
// and any number of times; it is counted once. The reply holds the halts that are known here, so
// that every zone that reports receives them.
func (c *Controller) HandleReport(report *peerpb.OutcomeReport) *peerpb.OutcomeReply {
	c.inbox.add(report)
	return &peerpb.OutcomeReply{Trips: c.inbox.halts()}
}

// AddHalts records the halts that another host sent in the reply to a report.
func (c *Controller) AddHalts(halts []*peerpb.Trip) { c.inbox.addHalts(halts) }

// Halts returns the halts that this host knows of: those it decided itself and those received in
// reports and replies. Every report of this host includes them, and daemons in the zone of a halt
// send no more requests to the halted version.
func (c *Controller) Halts() []*peerpb.Trip { return c.inbox.halts() }

// ControlledServices returns the services whose rollouts this host controls, according to its last
// contact with the store.
func (c *Controller) ControlledServices() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var services []string
	for service, r := range c.runners {
		if r.holding.Load() {
			services = append(services, service)
		}
	}
	return services
}

// jitter returns a random duration from d/2 to d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
