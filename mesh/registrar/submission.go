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

// submission is the state of one call of Submit.
type submission struct {
	registrar *Registrar
	ticket    *ticket.Ticket
	hash      string        // content hash of the ticket
	id        string        // ID of the appended change
	status    ticket.Status // status in the last draft
}

// attempt appends the ticket to the log once, unless it was accepted before. It reports false if a
// row that the ticket compares was changed by another writer, in which case the caller retries.
func (s *submission) attempt(ctx context.Context) (ticket.Status, bool, error) {
	if status, known, err := s.earlierStatus(ctx); known || err != nil {
		return status, true, err
	}
	build := func(state *revision.Snapshot) (revision.Draft, error) { return s.buildDraft(ctx, state) }
	next, changes, err := s.registrar.log.Append(ctx, s.registrar.distributor.Latest(), s.id, build)
	if errors.Is(err, store.ErrConflict) {
		return ticket.Status{}, false, nil
	}
	if err != nil {
		return ticket.Status{}, true, err
	}
	s.registrar.distributor.Distribute(next, changes)
	return s.storedStatus(ctx)
}

// storedStatus returns the status in the row that was written.
func (s *submission) storedStatus(ctx context.Context) (ticket.Status, bool, error) {
	_, status, err := s.registrar.readTicket(ctx, s.ticket.Number)
	if err != nil {
		// The change was appended; only reading the row back failed.
		return s.status, true, nil
	}
	return status, true, nil
}

// earlierStatus returns the stored status if the ticket was submitted before, and reports whether
// it was. The error wraps ErrNumberUsed if the stored ticket has other content.
func (s *submission) earlierStatus(ctx context.Context) (ticket.Status, bool, error) {
	_, status, err := s.registrar.readTicket(ctx, s.ticket.Number)
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

// buildDraft decides on the ticket. The draft also writes the row of the ticket, the rows of the
// rollouts that it starts and the verdicts of the rollouts that it supersedes.
func (s *submission) buildDraft(ctx context.Context, state *revision.Snapshot) (revision.Draft, error) {
	now := s.registrar.now()
	decision, err := s.ticket.Decide(state, now)
	if err != nil {
		return revision.Draft{}, err
	}
	if problems := s.ticket.CheckZones(state, s.registrar.zones()); len(problems) > 0 {
		return revision.Draft{}, &ticket.RefusedError{Number: s.ticket.Number, Reasons: problems}
	}
	s.status = ticket.Status{
		Number:   s.ticket.Number,
		Hash:     s.hash,
		State:    ticket.Accepted,
		Revision: state.Revision() + 1,
		Rollouts: decision.Rollouts,
		At:       now.UTC(),
	}
	draft := revision.Draft{Ticket: s.ticket.Number, Put: decision.Put, Delete: decision.Delete}
	if err := s.addTicketRow(&draft); err != nil {
		return draft, err
	}
	for _, superseded := range decision.Superseded {
		if err := s.supersedeRollout(ctx, &draft, superseded); err != nil {
			return draft, err
		}
	}
	return draft, s.addRollouts(&draft, state, decision)
}

// addTicketRow adds the row of the ticket to the draft. The transaction requires that no row exists
// yet.
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

// supersedeRollout adds to the draft that a running rollout is rolled back because this ticket
// supersedes it: the verdict in the row of its ticket, and the deletion of the rollout's own row.
func (s *submission) supersedeRollout(ctx context.Context, draft *revision.Draft, superseded ticket.Supersession) error {
	row, status, err := s.registrar.readTicket(ctx, superseded.Rollout.Ticket)
	if err != nil {
		return err
	}
	for i := range status.Rollouts {
		rolloutStatus := &status.Rollouts[i]
		if rolloutStatus.Service == superseded.Service && rolloutStatus.Verdict == ticket.Running {
			rolloutStatus.Verdict = ticket.RolledBack
			rolloutStatus.Reason = fmt.Sprintf("superseded by ticket %d", s.ticket.Number)
			rolloutStatus.Share = 0
			rolloutStatus.At = s.registrar.now().UTC()
		}
	}
	value, err := json.Marshal(status)
	if err != nil {
		return err
	}
	draft.Compares = append(draft.Compares, store.Compare{Key: row.Key, Version: row.Version})
	draft.Writes = append(draft.Writes, store.Write{Key: row.Key, Value: value})
	rolloutRow, err := s.registrar.backing.Get(ctx, rollout.Key(superseded.Service))
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read the rollout of %s: %w", superseded.Service, err)
	}
	draft.Compares = append(draft.Compares, store.Compare{Key: rolloutRow.Key, Version: rolloutRow.Version})
	draft.Writes = append(draft.Writes, store.Write{Key: rolloutRow.Key, Delete: true})
	return nil
}

// addRollouts adds the row of each rollout that the ticket starts, which a controller then carries
// out. If a rollout with the same key is superseded, this later write takes effect and not the
// deletion.
func (s *submission) addRollouts(draft *revision.Draft, state *revision.Snapshot, decision *ticket.Decision) error {
	for _, resource := range decision.Put {
		if resource.Split == nil || resource.Split.Rollout == nil {
			continue
		}
		value, err := s.encodeRollout(state, resource.Split)
		if err != nil {
			return err
		}
		draft.Writes = append(draft.Writes, store.Write{Key: rollout.Key(resource.Split.Service), Value: value})
	}
	return nil
}

// encodeRollout returns the first state of a rollout. The preference comes from the ticket, else
// from the service in the configuration, else it is revision.PreferSafety.
func (s *submission) encodeRollout(state *revision.Snapshot, split *revision.Split) ([]byte, error) {
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
	return rollout.Encode(rollout.NewState(split.Service, *split.Rollout, preference, s.registrar.now()))
}
