package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/steperr"
)

// advance decides the next step and writes it.
func (r *runner) advance(ctx context.Context, now time.Time) error {
	evidence := r.evidence.at(now)
	next, actions := rollout.Next(r.state, evidence, now)
	if len(actions) == 0 {
		return nil
	}
	next.Epoch, _ = r.lease.Held()
	next.Controller = r.controller.config.Host
	if err := r.write(ctx, next, actions[0], evidence); err != nil {
		return steperr.Wrap(err, fmt.Sprintf("write step %s of the move of %s", next.Step, next.Service), peerPlatform)
	}
	return nil
}

// write commits a step: the split as the next revision, the move's row and the
// ticket's status in one transaction. A conflict means that another controller
// or operator was first; the next tick reads what they wrote.
func (r *runner) write(ctx context.Context, next rollout.State, action rollout.Action, evidence rollout.Evidence) error {
	compares := []store.Compare{
		{Key: rollout.Key(next.Service), Version: r.version},
		r.lease.Compare(),
		{Key: r.ticket.row.Key, Version: r.ticket.row.Version},
	}
	writes, err := r.moveWrites(next, action)
	if err != nil {
		return err
	}
	split := next.Split()
	r.loaded = false
	config := r.controller.config
	number, err := config.Log.Append(ctx, []revision.Resource{{Split: &split}}, compares, writes)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	r.evidence.enter(setting{next.Share, next.Hosts})
	if _, ok := action.(rollout.Finish); ok {
		r.end()
	}
	config.Logger.Info("move advanced",
		zap.String("service", next.Service), zap.Uint64("ticket", next.Ticket),
		zap.String("step", next.Step), zap.Int("share", next.Share),
		zap.String("reason", next.Reason), zap.Uint64("revision", number),
		zap.Int("old_hosts", evidence.Hosts.From), zap.Int("new_hosts", evidence.Hosts.To),
		zap.Uint64("calls", evidence.Verdict.Requests), zap.Float64("excess", evidence.Verdict.Excess),
		zap.Float64("suspicion", evidence.Verdict.Suspicion))
	return nil
}

// moveWrites keeps the move's row, or deletes it with the lease at the end, and
// updates the ticket's status.
func (r *runner) moveWrites(next rollout.State, action rollout.Action) ([]store.Write, error) {
	status, err := r.ticket.write(next.Status())
	if err != nil {
		return nil, err
	}
	writes := []store.Write{status}
	config := &r.controller.config
	if config.StepWrites != nil {
		recorded, err := config.StepWrites(next)
		if err != nil {
			return nil, err
		}
		writes = append(writes, recorded...)
	}
	key := rollout.Key(next.Service)
	_, finished := action.(rollout.Finish)
	if finished {
		writes = append(writes, r.lease.Release()...)
	}
	if finished && !config.KeepFinished {
		return append(writes, store.Write{Key: key, Delete: true}), nil
	}
	data, err := rollout.Encode(next)
	if err != nil {
		return nil, err
	}
	return append(writes, store.Write{Key: key, Value: data}), nil
}
