package controller

import (
	"context"
	"encoding/json"
	"fmt"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/steperr"
)

// ticketRow is the row that holds the status of a rollout's ticket, as last read.
type ticketRow struct {
	row    store.Row
	status ticket.Status
}

// readTicket reads the ticket's row; if it does not exist, the result has version 0.
func (r *runner) readTicket(ctx context.Context) (ticketRow, error) {
	number := r.rollout.Ticket
	row, err := r.get(ctx, r.controller.config.TicketKey(number))
	if err != nil {
		return ticketRow{}, steperr.Wrap(err, fmt.Sprintf("read status of ticket %d", number), storePeerName)
	}
	read := ticketRow{row: row}
	if row.Version == 0 {
		return read, nil
	}
	if err := json.Unmarshal(row.Value, &read.status); err != nil {
		return ticketRow{}, steperr.Wrap(err, fmt.Sprintf("decode status of ticket %d", number), storePeerName)
	}
	return read, nil
}

// rolloutStatus returns the status of the ticket's rollout of a service, or nil if there is none.
func (t *ticketRow) rolloutStatus(service string) *ticket.RolloutStatus {
	for i := range t.status.Rollouts {
		if t.status.Rollouts[i].Service == service {
			return &t.status.Rollouts[i]
		}
	}
	return nil
}

// statusWrite updates the status of a rollout and returns the write of the ticket's row.
func (t *ticketRow) statusWrite(progress ticket.RolloutStatus) (store.Write, error) {
	if status := t.rolloutStatus(progress.Service); status != nil {
		*status = progress
	}
	data, err := json.Marshal(t.status)
	if err != nil {
		return store.Write{}, steperr.Wrap(err, fmt.Sprintf("encode status of ticket %d", t.status.Number), storePeerName)
	}
	return store.Write{Key: t.row.Key, Value: data}, nil
}
