package controller

import (
	"context"
	"errors"
	"fmt"
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
	move       Move
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

func (c *Controller) newRunner(m Move) *runner {
	holder := fmt.Sprintf("%s/%d", c.config.Host, c.config.Incarnation)
	return &runner{
		controller: c,
		move:       m,
		evidence:   c.newEvidence(m),
		lease:      lease.New(rollout.Key(m.Service), holder, leaseTerm),
	}
}

// tick advances the move if this host controls it or is to do so.
func (r *runner) tick(ctx context.Context, now time.Time) {
	if r.ended || now.Before(r.notBefore) || !r.candidate() {
		return
	}
	if err := r.control(ctx, now); err != nil {
		r.backOff(now)
		r.controller.config.Logger.Warn("move is not advanced",
			zap.String("service", r.move.Service), zap.Error(err))
		return
	}
	r.delay = 0
}

// candidate reports whether this host is to contend for the lease, or holds it.
func (r *runner) candidate() bool {
	return r.holding.Load() || r.controller.Hosts(r.move.Service)[0] == r.controller.config.Host
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
	table := r.controller.config.Table
	err := table.Txn(ctx, []store.Compare{r.lease.Compare()}, r.lease.Release())
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return steperr.Wrap(err, fmt.Sprintf("release the lease of the move of %s", r.move.Service), peerPlatform)
	}
	r.end()
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
	if status == nil && r.ticket.row.Version == 0 && r.controller.config.Open != nil {
		if err := r.controller.config.Open(ctx, r.move); err != nil {
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
	r.state = rollout.Start(r.move.Service, r.move.Move, r.move.Preference, status.At)
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
