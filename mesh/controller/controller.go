// Package controller runs moves of traffic. For each running move one host, the
// first in rendezvous order, holds a lease; it weighs the outcome reports once a
// second and writes each step as one transaction that its fencing token guards.
// Any other host can go on from the move's row.
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

// peerPlatform names the platform in errors.
const peerPlatform = "platform"

// Times of the controller.
const (
	interval     = time.Second
	leaseTerm    = 3 * time.Second
	reportExpiry = 3 * time.Second
	// standbyDelay is the head start of the host that is first in line for a
	// move: the time in which it learns of the move and ticks.
	standbyDelay = 2 * interval
	backoffMin   = 500 * time.Millisecond
	backoffMax   = 8 * time.Second
)

// Log writes one change as the next revision. The extra compares and writes are
// part of the same transaction. It returns store.ErrConflict if an extra
// compare failed and store.ErrUnavailable if nothing was written.
type Log interface {
	Append(ctx context.Context, put []revision.Resource, compares []store.Compare, writes []store.Write) (uint64, error)
}

// Members is the membership as this host sees it.
type Members interface {
	Members() []gossip.Member
}

// Move is a running move as the configuration in force shows it.
type Move struct {
	Service    string
	Preference revision.Preference
	revision.Move
}

// Moves lists the running moves of the configuration in force.
type Moves interface {
	RunningMoves() []Move
}

// Config holds what a controller depends on.
type Config struct {
	Host, Zone string
	// Incarnation is the start of this process; it tells leases of an earlier
	// process of the host from its own.
	Incarnation uint64
	Table       store.Table
	Log         Log
	Members     Members
	Moves       Moves
	// Now returns the time; its monotonic part times leases.
	Now func() time.Time
	// TicketKey returns the key of a ticket's row.
	TicketKey func(number uint64) string
	// Open creates the ticket of a move that was ordered without one; nil means
	// that every move has its ticket.
	Open func(ctx context.Context, move Move) error
	// Record returns writes that go with each step; it may be nil.
	Record func(rollout.State) ([]store.Write, error)
	// KeepFinished keeps the row of a finished move, for a source that makes the
	// split from it.
	KeepFinished bool
	Logger       *zap.Logger
}

// Controller runs the moves whose leases this host holds. All methods are safe
// for concurrent use.
type Controller struct {
	config  Config
	started time.Time
	inbox   *inbox
	// resigned is set when this host is to control no move any more.
	resigned atomic.Bool

	mu      sync.Mutex
	runners map[string]*runner // by service
}

// New returns a controller without moves.
func New(config Config) *Controller {
	return &Controller{
		config:  config,
		started: config.Now(),
		inbox:   newInbox(),
		runners: make(map[string]*runner),
	}
}

// Run weighs the reports and advances the moves each second until the context
// ends. A platform that answers slowly delays the steps of a move, but never the
// weighing, on which local trips depend.
func (c *Controller) Run(ctx context.Context) {
	var advancing sync.WaitGroup
	defer advancing.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.start(ctx, &advancing)
		}
	}
}

// Tick does what Run does each second and waits until it is done.
func (c *Controller) Tick(ctx context.Context) {
	var advancing sync.WaitGroup
	c.start(ctx, &advancing)
	advancing.Wait()
}

// start closes the window of every running move and begins to advance those that
// are not being advanced already.
func (c *Controller) start(ctx context.Context, advancing *sync.WaitGroup) {
	now := c.config.Now()
	for _, r := range c.weigh(now) {
		if !r.busy.CompareAndSwap(false, true) {
			continue
		}
		advancing.Go(func() {
			defer r.busy.Store(false)
			r.tick(ctx, now)
		})
	}
}

// weigh closes the window of every move that runs in the configuration in force
// and returns the runners.
func (c *Controller) weigh(now time.Time) []*runner {
	moves := c.config.Moves.RunningMoves()
	c.inbox.watch(moves)
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[string]*runner, len(moves))
	var all []*runner
	for _, m := range moves {
		r := c.runners[m.Service]
		if r == nil || r.move.Ticket != m.Ticket {
			r = c.newRunner(m)
		}
		kept[m.Service] = r
		all = append(all, r)
		r.inForce.Store(&m)
		r.evidence.weigh(now, m.Move)
	}
	c.runners = kept
	return all
}

// Resign gives up the moves that this host controls with the next tick and takes up
// no others; the other hosts in line go on with them.
func (c *Controller) Resign() { c.resigned.Store(true) }

// Report takes in an outcome report. It may come from any host, directly or
// relayed, and any number of times. The reply holds the trips that are known here,
// so that every zone that reports learns of them.
func (c *Controller) Report(report *peerpb.OutcomeReport) *peerpb.OutcomeReply {
	c.inbox.add(report)
	return &peerpb.OutcomeReply{Trips: c.inbox.trips()}
}

// Learn takes in the trips that another host answered a report with.
func (c *Controller) Learn(trips []*peerpb.Trip) { c.inbox.learn(trips) }

// Trips returns the trips that this host knows of: those that it found itself and
// those that reports and replies told it. They go with every report of this host,
// and daemons of a trip's zone no longer send to the version.
func (c *Controller) Trips() []*peerpb.Trip { return c.inbox.trips() }

// Holding returns the services whose moves this host controls, as far as it
// knows.
func (c *Controller) Holding() []string {
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

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
