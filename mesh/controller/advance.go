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

// advance decides the next step and writes it if one is due.
func (r *runner) advance(ctx context.Context, now time.Time) error {
	evidence := r.evidence.current(now)
	next, actions := rollout.Next(r.state, evidence, now)
	if len(actions) == 0 {
		return nil
	}
	next.Epoch, _ = r.lease.Held()
	next.Controller = r.controller.config.Host
	next.Order = r.inForce.Load().Order
	if err := r.writeStep(ctx, next, actions[0], evidence); err != nil {
		return steperr.Wrap(err, fmt.Sprintf("write step %s of the move of %s", next.Step, next.Service), storePeerName)
	}
	return nil
}

// writeStep commits a step in one transaction: the split as the next revision, the rollout's row
// and the ticket's status. A conflict means that another controller or an operator wrote first; it
// is not an error, and the next tick reads the new rows.
func (r *runner) writeStep(ctx context.Context, next rollout.State, action rollout.Action, evidence rollout.Evidence) error {
	compares := []store.Compare{
		{Key: rollout.Key(next.Service), Version: r.rowVersion},
		r.lease.Compare(),
		{Key: r.ticket.row.Key, Version: r.ticket.row.Version},
	}
	writes, err := r.stepWrites(next, action)
	if err != nil {
		return err
	}
	split := next.Split()
	r.loaded = false
	config := r.controller.config
	revisionNumber, err := config.Log.Append(ctx, []revision.Resource{{Split: &split}}, compares, writes)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	r.evidence.beginStep(trafficSetting{next.Share, next.Hosts})
	if _, ok := action.(rollout.Finish); ok {
		r.end()
	}
	config.Logger.Info("rollout advanced",
		zap.String("service", next.Service), zap.Uint64("ticket", next.Ticket),
		zap.String("step", next.Step), zap.Int("share", next.Share),
		zap.String("reason", next.Reason), zap.Uint64("revision", revisionNumber),
		zap.Int("old_hosts", evidence.Hosts.From), zap.Int("new_hosts", evidence.Hosts.To),
		zap.Uint64("calls", evidence.Verdict.Requests), zap.Float64("excess", evidence.Verdict.ExcessBound),
		zap.Float64("suspicion", evidence.Verdict.BadEvidence),
		zap.Uint64("uncompared", evidence.Verdict.UncomparedRequests))
	return nil
}

// stepWrites returns the writes of a step: the ticket's status, the writes of Config.StepWrites and
// the rollout's row. At the end of the rollout the lease is released, and the row is deleted unless
// Config.KeepFinished is set.
func (r *runner) stepWrites(next rollout.State, action rollout.Action) ([]store.Write, error) {
	status, err := r.ticket.statusWrite(next.Status())
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
		writes = append(writes, r.lease.ReleaseWrites()...)
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
