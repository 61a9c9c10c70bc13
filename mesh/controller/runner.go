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

// runner is this host's state of one rollout. The flag busy ensures that only one goroutine at a
// time advances it.
type runner struct {
	controller *Controller
	rollout    Rollout
	inForce    atomic.Pointer[Rollout] // in the snapshot in force
	observedAt time.Time               // when this host first observed the rollout
	evidence   *evidence
	busy       atomic.Bool
	holding    atomic.Bool // this host held the lease at its last access to the store

	lease      *lease.Candidate
	ended      bool // no further steps
	state      rollout.State
	rowVersion store.Position // version of the rollout's row
	ticket     ticketRow
	// loaded means that state, rowVersion and ticket hold the rows as this lease holder last read
	// them; the compares of a step detect later changes.
	loaded  bool
	backoff time.Duration // before jitter; 0 after a success
	retryAt time.Time     // no access to the store before this time
}

func (c *Controller) newRunner(m Rollout) *runner {
	holder := fmt.Sprintf("%s/%d", c.config.Host, c.config.Incarnation)
	return &runner{
		controller: c,
		rollout:    m,
		observedAt: c.config.Now(),
		evidence:   c.newEvidence(m),
		lease:      lease.New(rollout.Key(m.Service), holder, leaseTerm),
	}
}

// tick advances the rollout if this host may control it, and releases its lease if not.
func (r *runner) tick(ctx context.Context, now time.Time) {
	if r.ended || now.Before(r.retryAt) {
		return
	}
	step := r.control
	if !r.mayControl(now) {
		if !r.holding.Load() {
			return
		}
		step = r.handOver
	}
	if err := step(ctx, now); err != nil {
		r.backOff(now)
		r.controller.config.Logger.Warn("rollout not advanced; retrying after a delay",
			zap.String("service", r.rollout.Service), zap.Error(err))
		return
	}
	r.backoff = 0
}

// candidates returns the hosts that may control the rollout in force.
func (r *runner) candidates() []string { return r.controller.CandidateHosts(*r.inForce.Load()) }

// mayControl reports whether this host is a candidate that may contend for the lease now. The
// first candidate contends at once, the others after standbyDelay, so that they take over if the first
// is reachable by gossip but can't reach the store.
func (r *runner) mayControl(now time.Time) bool {
	if r.controller.resigned.Load() {
		return false
	}
	rank := slices.Index(r.candidates(), r.controller.config.Host)
	return rank == 0 || rank > 0 && (r.holding.Load() || now.Sub(r.observedAt) >= standbyDelay)
}

// handOver releases the lease because other hosts receive the reports now: this host is leaving, or
// hosts that rank before it joined before the first step.
func (r *runner) handOver(ctx context.Context, _ time.Time) error {
	r.holding.Store(false)
	r.loaded = false
	if err := r.releaseLease(ctx); err != nil {
		return err
	}
	r.controller.config.Logger.Info("rollout released to another host", zap.String("service", r.rollout.Service),
		zap.Uint64("ticket", r.rollout.Ticket), zap.Strings("hosts", r.candidates()))
	return nil
}

// control acquires or renews the lease and, while this host holds it, advances the rollout.
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
			return r.releaseEnded(ctx)
		}
		r.loaded = true
	}
	return r.advance(ctx, now)
}

// contend acquires or renews the lease and reports whether this host holds it. After an
// acquisition it reads the lease again, which confirms that the lease is held.
func (r *runner) contend(ctx context.Context) (held bool, err error) {
	for {
		kind, err := r.contendOnce(ctx)
		if err != nil || kind != lease.Acquire {
			return kind == lease.Renew, err
		}
		r.loaded = false
	}
}

// contendOnce reads the rows of the lease, decides and commits the decision's writes. A conflict
// counts as lease.Wait.
func (r *runner) contendOnce(ctx context.Context) (lease.Kind, error) {
	name := rollout.Key(r.rollout.Service)
	current, err := r.readLease(ctx, name)
	if err != nil {
		return lease.Wait, steperr.Wrap(err, fmt.Sprintf("read lease %s", name), storePeerName)
	}
	config := r.controller.config
	decision, err := r.lease.Decide(current, config.Now().Sub(r.controller.started))
	if err != nil || len(decision.Writes) == 0 {
		return decision.Kind, err
	}
	err = config.Table.Txn(ctx, decision.Compares, decision.Writes)
	switch {
	case errors.Is(err, store.ErrConflict):
		return lease.Wait, nil
	case err != nil:
		return lease.Wait, steperr.Wrap(err, fmt.Sprintf("%s lease %s", decision.Kind, name), storePeerName)
	}
	return decision.Kind, nil
}

// readLease returns the lease row and the fencing row.
func (r *runner) readLease(ctx context.Context, name string) (lease.Rows, error) {
	var current lease.Rows
	var err error
	if current.Lease, err = r.get(ctx, lease.Key(name)); err != nil {
		return current, err
	}
	current.Fence, err = r.get(ctx, lease.FenceKey(name))
	return current, err
}

// get returns a row, or a row of version 0 if it does not exist.
func (r *runner) get(ctx context.Context, key string) (store.Row, error) {
	row, err := r.controller.config.Table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{Key: key}, nil
	}
	return row, err
}

// releaseEnded releases the lease of a rollout that has ended.
func (r *runner) releaseEnded(ctx context.Context) error {
	if err := r.releaseLease(ctx); err != nil {
		return err
	}
	r.end()
	return nil
}

// releaseLease releases the lease. A conflict is not an error: another host holds the lease
// already.
func (r *runner) releaseLease(ctx context.Context) error {
	err := r.controller.config.Table.Txn(ctx, []store.Compare{r.lease.Compare()}, r.lease.ReleaseWrites())
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return steperr.Wrap(err, fmt.Sprintf("release the lease of the move of %s", r.rollout.Service), storePeerName)
	}
	return nil
}

// end stops this runner permanently, because the ticket's rollout has ended.
func (r *runner) end() {
	r.ended = true
	r.holding.Store(false)
}

// load reads the ticket's status and the rollout's row. It reports false if the rollout has ended
// or was superseded by that of another ticket.
func (r *runner) load(ctx context.Context) (bool, error) {
	var err error
	if r.ticket, err = r.readTicket(ctx); err != nil {
		return false, err
	}
	status := r.ticket.rolloutStatus(r.rollout.Service)
	if status == nil && r.ticket.row.Version == 0 && r.controller.config.CreateTicket != nil {
		if err := r.controller.config.CreateTicket(ctx, r.rollout); err != nil {
			return false, err
		}
		if r.ticket, err = r.readTicket(ctx); err != nil {
			return false, err
		}
		status = r.ticket.rolloutStatus(r.rollout.Service)
	}
	if status == nil || status.Verdict != ticket.Running {
		return false, nil
	}
	row, err := r.get(ctx, rollout.Key(r.rollout.Service))
	if err != nil {
		return false, steperr.Wrap(err, fmt.Sprintf("read move of %s", r.rollout.Service), storePeerName)
	}
	r.rowVersion = row.Version
	r.state = rollout.NewState(r.rollout.Service, r.rollout.Rollout, r.rollout.Preference, status.At)
	if row.Version == 0 {
		return true, nil
	}
	state, err := rollout.Decode(row.Value)
	if err != nil || state.Ticket > r.rollout.Ticket || state.Ticket == r.rollout.Ticket && state.Verdict != ticket.Running {
		return false, err
	}
	if state.Ticket == r.rollout.Ticket {
		r.state = state
	}
	r.evidence.beginStep(trafficSetting{r.state.Share, r.state.Hosts})
	return true, nil
}

// backOff delays the next access to the store exponentially, with jitter.
func (r *runner) backOff(now time.Time) {
	r.backoff = min(max(2*r.backoff, backoffMin), backoffMax)
	r.retryAt = now.Add(jitter(r.backoff))
}
