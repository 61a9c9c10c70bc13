package source

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"sassafrasnotch.example/coord/revision"
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
	now       func() time.Time
}

var _ controller.RevisionLog = (*Log)(nil)

// NewLog returns a log that writes to the table. ticketKey returns the key of a ticket's row.
func NewLog(source *Source, table store.Table, ticketKey func(uint64) string) *Log {
	return &Log{source: source, table: table, ticketKey: ticketKey, now: source.operator.Now}
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
func (l *Log) CreateTicket(ctx context.Context, rollout controller.Rollout) error {
	key := l.ticketKey(rollout.Ticket)
	value, err := json.Marshal(ticket.Status{
		Number: rollout.Ticket,
		State:  ticket.Accepted,
		Rollouts: []ticket.RolloutStatus{{
			Service: rollout.Service, From: rollout.From, To: rollout.To, Verdict: ticket.Running,
			Step: rollout.Step, By: rollout.By, At: l.now(),
		}},
	})
	if err != nil {
		return err
	}
	err = l.table.Txn(ctx, []store.Compare{{Key: key}}, []store.Write{{Key: key, Value: value}})
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
