package source

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/controller"
)

// Log writes the steps of rollouts to the store. Every daemon follows the rows of rollouts, so no
// further revision is written. It implements controller.RevisionLog.
type Log struct {
	source    *Source
	table     store.Table
	ticketKey func(number uint64) string
	// statusWrites returns the writes that report the state of a rollout to operators.
	statusWrites func(rollout.State) ([]store.Write, error)
	now          func() time.Time
}

var (
	_ controller.RevisionLog = (*Log)(nil)
	_ VerdictRestorer        = (*Log)(nil)
)

// NewLog returns a log that writes to the table. ticketKey returns the key of a ticket's row,
// statusWrites the writes that report the state of a rollout to operators.
func NewLog(source *Source, table store.Table, ticketKey func(uint64) string, statusWrites func(rollout.State) ([]store.Write, error)) *Log {
	return &Log{source: source, table: table, ticketKey: ticketKey, statusWrites: statusWrites, now: source.operator.Now}
}

// Append implements controller.RevisionLog. It writes no resources and returns the latest revision
// that the source knows.
func (l *Log) Append(ctx context.Context, _ []revision.Resource, compares []store.Compare, writes []store.Write) (uint64, error) {
	if err := l.table.Txn(ctx, compares, writes); err != nil {
		return 0, err
	}
	return l.source.LatestRevision(), nil
}

// CreateTicket creates the ticket of a rollout. It returns nil if the ticket exists, since another
// daemon may have created it.
func (l *Log) CreateTicket(ctx context.Context, r controller.Rollout) error {
	write, err := l.ticketWrite(r.Ticket, ticket.RolloutStatus{
		Service: r.Service, From: r.From, To: r.To, Verdict: ticket.Running,
		Step: r.Step, By: r.By, At: l.now(),
	})
	if err != nil {
		return err
	}
	err = l.table.Txn(ctx, []store.Compare{{Key: write.Key}}, []store.Write{write})
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// ticketWrite returns the write of a ticket of one rollout.
func (l *Log) ticketWrite(number uint64, status ticket.RolloutStatus) (store.Write, error) {
	value, err := json.Marshal(ticket.Status{Number: number, State: ticket.Accepted, Rollouts: []ticket.RolloutStatus{status}})
	return store.Write{Key: l.ticketKey(number), Value: value}, err
}

// RestoreVerdict implements VerdictRestorer.
func (l *Log) RestoreVerdict(ctx context.Context, state rollout.State, present store.Position) error {
	value, err := rollout.Encode(state)
	if err != nil {
		return err
	}
	ticketRow, err := l.ticketWrite(state.Ticket, state.Status())
	if err != nil {
		return err
	}
	status, err := l.statusWrites(state)
	if err != nil {
		return err
	}
	key := rollout.Key(state.Service)
	writes := append(status, ticketRow, store.Write{Key: key, Value: value})
	return l.table.Txn(ctx, []store.Compare{{Key: key, Version: present}}, writes)
}
