package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/lease"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/steperr"
)

// runner is this host's part in one move. Only one goroutine at a time advances
// it, by the flag busy.
type runner struct {
	controller *Controller
	move       Rollout
	inForce    atomic.Pointer[Rollout] // as the configuration in force shows it
	since      time.Time               // when this host learned of the move
	evidence   *evidence
	busy       atomic.Bool
	holding    atomic.Bool

	lease   *lease.Candidate
	ended   bool
	state   rollout.State
	version uint64 // of the move's row
	ticket  ticketRow
	// loaded means that state, version and ticket are what this holder last
	// read; a step's compares find out if they changed since.
	loaded    bool
	delay     time.Duration
	notBefore time.Time
}

func (c *Controller) newRunner(m Rollout) *runner {
	holder := fmt.Sprintf("%s/%d", c.config.Host, c.config.Incarnation)
	return &runner{
		controller: c,
		move:       m,
		since:      c.config.Now(),
		evidence:   c.newEvidence(m),
		lease:      lease.New(rollout.Key(m.Service), holder, leaseTerm),
	}
}

// tick advances the move if this host controls it or is to do so.
func (r *runner) tick(ctx context.Context, now time.Time) {
	if r.ended || now.Before(r.notBefore) {
		return
	}
	step := r.control
	if !r.candidate(now) {
		if !r.holding.Load() {
			return
		}
		step = r.yield
	}
	if err := step(ctx, now); err != nil {
		r.backOff(now)
		r.controller.config.Logger.Warn("move is not advanced",
			zap.String("service", r.move.Service), zap.Error(err))
		return
	}
	r.delay = 0
}

// hosts returns the hosts that may control the move as it is in force.
func (r *runner) hosts() []string { return r.controller.CandidateHosts(*r.inForce.Load()) }

// candidate reports whether this host receives the move's reports and so may hold
// its lease. The first of those hosts contends at once, the others later, so that
// they take over from one that gossip reaches and the platform does not.
func (r *runner) candidate(now time.Time) bool {
	if r.controller.resigned.Load() {
		return false
	}
	place := slices.Index(r.hosts(), r.controller.config.Host)
	return place == 0 || place > 0 && (r.holding.Load() || now.Sub(r.since) >= standbyDelay)
}

// yield gives up the lease because the reports go to other hosts now: this one
// leaves, or hosts that rank before it joined ahead of the first step.
func (r *runner) yield(ctx context.Context, _ time.Time) error {
	r.holding.Store(false)
	r.loaded = false
	if err := r.releaseLease(ctx); err != nil {
		return err
	}
	r.controller.config.Logger.Info("move given to another host", zap.String("service", r.move.Service),
		zap.Uint64("ticket", r.move.Ticket), zap.Strings("hosts", r.hosts()))
	return nil
}

func (r *runner) control(ctx context.Context, now time.Time) error {
	held, err := r.contend(ctx)
	if err != nil {
		return err
	}
	r.holding.Store(held)
	if !held {
		r.loaded = false
		return nil
	}
	if !r.loaded {
		running, err := r.load(ctx)
		if err != nil {
			return err
		}
		if !running {
			return r.release(ctx)
		}
		r.loaded = true
	}
	return r.advance(ctx, now)
}

// contend reads the lease and does what is to be done, twice if it was free.
func (r *runner) contend(ctx context.Context) (held bool, err error) {
	for {
		kind, err := r.contendOnce(ctx)
		if err != nil || kind != lease.Acquire {
			return kind == lease.Renew, err
		}
		r.loaded = false
	}
}

func (r *runner) contendOnce(ctx context.Context) (lease.Kind, error) {
	name := rollout.Key(r.move.Service)
	view, err := r.readLease(ctx, name)
	if err != nil {
		return lease.Wait, steperr.Wrap(err, fmt.Sprintf("read lease %s", name), peerPlatform)
	}
	config := r.controller.config
	decision, err := r.lease.Decide(view, config.Now().Sub(r.controller.started))
	if err != nil || len(decision.Writes) == 0 {
		return decision.Kind, err
	}
	err = config.Table.Txn(ctx, decision.Compares, decision.Writes)
	switch {
	case errors.Is(err, store.ErrConflict):
		return lease.Wait, nil
	case err != nil:
		return lease.Wait, steperr.Wrap(err, fmt.Sprintf("%s lease %s", decision.Kind, name), peerPlatform)
	}
	return decision.Kind, nil
}

func (r *runner) readLease(ctx context.Context, name string) (lease.View, error) {
	var view lease.View
	var err error
	if view.Lease, err = r.get(ctx, lease.Key(name)); err != nil {
		return view, err
	}
	view.Fence, err = r.get(ctx, lease.EpochKey(name))
	return view, err
}

// get returns a row, or a row of version 0 if there is none.
func (r *runner) get(ctx context.Context, key string) (store.Row, error) {
	row, err := r.controller.config.Table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: key}, nil
	}
	return row, err
}

// release gives the lease of a move up that has ended.
func (r *runner) release(ctx context.Context) error {
	if err := r.releaseLease(ctx); err != nil {
		return err
	}
	r.end()
	return nil
}

func (r *runner) releaseLease(ctx context.Context) error {
	err := r.controller.config.Table.Txn(ctx, []store.Compare{r.lease.Compare()}, r.lease.Release())
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return steperr.Wrap(err, fmt.Sprintf("release the lease of the move of %s", r.move.Service), peerPlatform)
	}
	return nil
}

// end stops this runner for good: its ticket's move is over.
func (r *runner) end() {
	r.ended = true
	r.holding.Store(false)
}

// load reads the ticket's status and the move's row. It reports false if the
// move has ended or another ticket's move has taken its place.
func (r *runner) load(ctx context.Context) (bool, error) {
	var err error
	if r.ticket, err = r.readTicket(ctx); err != nil {
		return false, err
	}
	status := r.ticket.move(r.move.Service)
	if status == nil && r.ticket.row.Version == 0 && r.controller.config.CreateTicket != nil {
		if err := r.controller.config.CreateTicket(ctx, r.move); err != nil {
			return false, err
		}
		if r.ticket, err = r.readTicket(ctx); err != nil {
			return false, err
		}
		status = r.ticket.move(r.move.Service)
	}
	if status == nil || status.Verdict != ticket.Running {
		return false, nil
	}
	row, err := r.get(ctx, rollout.Key(r.move.Service))
	if err != nil {
		return false, steperr.Wrap(err, fmt.Sprintf("read move of %s", r.move.Service), peerPlatform)
	}
	r.version = row.Version
	r.state = rollout.Start(r.move.Service, r.move.Rollout, r.move.Preference, status.At)
	if row.Version == 0 {
		return true, nil
	}
	state, err := rollout.Decode(row.Value)
	if err != nil || state.Ticket > r.move.Ticket || state.Ticket == r.move.Ticket && state.Verdict != ticket.Running {
		return false, err
	}
	if state.Ticket == r.move.Ticket {
		r.state = state
	}
	r.evidence.enter(setting{r.state.Share, r.state.Hosts})
	return true, nil
}

// backOff puts off the next contact with the platform.
func (r *runner) backOff(now time.Time) {
	r.delay = min(max(2*r.delay, backoffMin), backoffMax)
	r.notBefore = now.Add(jitter(r.delay))
}
