package controller

import (
	"context"
	"encoding/json"
	"fmt"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/steperr"
)

// ticketRow is the status of a move's ticket as just read.
type ticketRow struct {
	row    store.Row
	status ticket.Status
}

func (r *runner) readTicket(ctx context.Context) (ticketRow, error) {
	number := r.move.Ticket
	row, err := r.get(ctx, r.controller.config.TicketKey(number))
	if err != nil {
		return ticketRow{}, steperr.Wrap(err, fmt.Sprintf("read status of ticket %d", number), peerPlatform)
	}
	read := ticketRow{row: row}
	if row.Version == 0 {
		return read, nil
	}
	if err := json.Unmarshal(row.Value, &read.status); err != nil {
		return ticketRow{}, steperr.Wrap(err, fmt.Sprintf("decode status of ticket %d", number), peerPlatform)
	}
	return read, nil
}

// move returns the ticket's move of a service, or nil.
func (t *ticketRow) move(service string) *ticket.RolloutStatus {
	for i := range t.status.Rollouts {
		if t.status.Rollouts[i].Service == service {
			return &t.status.Rollouts[i]
		}
	}
	return nil
}

// write returns the write that records the progress of a move.
func (t *ticketRow) write(progress ticket.RolloutStatus) (store.Write, error) {
	if move := t.move(progress.Service); move != nil {
		*move = progress
	}
	data, err := json.Marshal(t.status)
	if err != nil {
		return store.Write{}, steperr.Wrap(err, fmt.Sprintf("encode status of ticket %d", t.status.Number), peerPlatform)
	}
	return store.Write{Key: t.row.Key, Value: data}, nil
}
