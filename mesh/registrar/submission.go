package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
)

// submission is one ticket on its way into the log.
type submission struct {
	registrar *Registrar
	ticket    *ticket.Ticket
	hash      string
	id        string
	status    ticket.Status
}

// attempt reports false when a row that the ticket touches changed meanwhile.
func (s *submission) attempt(ctx context.Context) (ticket.Status, bool, error) {
	if status, known, err := s.known(ctx); known || err != nil {
		return status, true, err
	}
	build := func(state *revision.Snapshot) (revision.Draft, error) { return s.draft(ctx, state) }
	next, changes, err := s.registrar.log.Append(ctx, s.registrar.distributor.Tip(), s.id, build)
	if errors.Is(err, store.ErrConflict) {
		return ticket.Status{}, false, nil
	}
	if err != nil {
		return ticket.Status{}, true, err
	}
	s.registrar.distributor.Distribute(next, changes)
	return s.accepted(ctx)
}

// accepted returns the row that was written.
func (s *submission) accepted(ctx context.Context) (ticket.Status, bool, error) {
	_, status, err := s.registrar.read(ctx, s.ticket.Number)
	if err != nil {
		// The append is certain; only reading it back failed.
		return s.status, true, nil
	}
	return status, true, nil
}

// known returns the first result of a ticket that was submitted before.
func (s *submission) known(ctx context.Context) (ticket.Status, bool, error) {
	_, status, err := s.registrar.read(ctx, s.ticket.Number)
	if errors.Is(err, store.ErrNotFound) {
		return status, false, nil
	}
	if err != nil {
		return status, false, err
	}
	if status.Hash != s.hash {
		return status, true, fmt.Errorf("ticket %d: %w", s.ticket.Number, ErrNumberUsed)
	}
	return status, true, nil
}

// draft decides on the ticket and writes its row, the rows of the moves that it
// starts and the verdicts of the moves that it ends.
func (s *submission) draft(ctx context.Context, state *revision.Snapshot) (revision.Draft, error) {
	now := s.registrar.now()
	decision, err := s.ticket.Decide(state, now)
	if err != nil {
		return revision.Draft{}, err
	}
	s.status = ticket.Status{
		Number:   s.ticket.Number,
		Hash:     s.hash,
		State:    ticket.Accepted,
		Revision: state.Revision() + 1,
		Moves:    decision.Moves,
		At:       now.UTC(),
	}
	draft := revision.Draft{Ticket: s.ticket.Number, Put: decision.Put, Delete: decision.Delete}
	if err := s.addTicketRow(&draft); err != nil {
		return draft, err
	}
	for _, superseded := range decision.Superseded {
		if err := s.endMove(ctx, &draft, superseded); err != nil {
			return draft, err
		}
	}
	return draft, s.startMoves(&draft, state, decision)
}

func (s *submission) addTicketRow(draft *revision.Draft) error {
	value, err := json.Marshal(s.status)
	if err != nil {
		return err
	}
	key := TicketKey(s.ticket.Number)
	draft.Compares = append(draft.Compares, store.Compare{Key: key})
	draft.Writes = append(draft.Writes, store.Write{Key: key, Value: value})
	return nil
}

// endMove declares a running move taken back because of this ticket.
func (s *submission) endMove(ctx context.Context, draft *revision.Draft, superseded ticket.Supersession) error {
	row, status, err := s.registrar.read(ctx, superseded.Move.Ticket)
	if err != nil {
		return err
	}
	for i := range status.Moves {
		move := &status.Moves[i]
		if move.Service == superseded.Service && move.Verdict == ticket.Running {
			move.Verdict = ticket.TakenBack
			move.Reason = fmt.Sprintf("superseded by ticket %d", s.ticket.Number)
			move.Share = 0
			move.At = s.registrar.now().UTC()
		}
	}
	value, err := json.Marshal(status)
	if err != nil {
		return err
	}
	draft.Compares = append(draft.Compares, store.Compare{Key: row.Key, Version: row.Version})
	draft.Writes = append(draft.Writes, store.Write{Key: row.Key, Value: value})
	moveRow, err := s.registrar.backing.Get(ctx, rollout.Key(superseded.Service))
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read the move of %s: %w", superseded.Service, err)
	}
	draft.Compares = append(draft.Compares, store.Compare{Key: moveRow.Key, Version: moveRow.Version})
	draft.Writes = append(draft.Writes, store.Write{Key: moveRow.Key, Delete: true})
	return nil
}

// startMoves writes the row from which a controller takes up each move. A later
// write of the same key wins over the deletion by endMove.
func (s *submission) startMoves(draft *revision.Draft, state *revision.Snapshot, decision *ticket.Decision) error {
	for _, resource := range decision.Put {
		if resource.Split == nil || resource.Split.Move == nil {
			continue
		}
		value, err := s.moveRow(state, resource.Split)
		if err != nil {
			return err
		}
		draft.Writes = append(draft.Writes, store.Write{Key: rollout.Key(resource.Split.Service), Value: value})
	}
	return nil
}

func (s *submission) moveRow(state *revision.Snapshot, split *revision.Split) ([]byte, error) {
	preference := revision.PreferSafety
	if service, ok := state.Service(split.Service); ok && service.Preference != "" {
		preference = service.Preference
	}
	for i := range s.ticket.Services {
		service := &s.ticket.Services[i]
		if service.Name == split.Service && service.Preference != "" {
			preference = service.Preference
		}
	}
	return rollout.Encode(rollout.NewState(split.Service, *split.Move, preference, s.registrar.now()))
}
