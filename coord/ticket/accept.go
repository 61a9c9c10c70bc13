package ticket

import (
	"errors"
	"fmt"
	"time"

	"sassafrasnotch.example/coord/revision"
)

// AnnouncedStep is the step of a move that no controller has taken up yet.
const AnnouncedStep = "announced"

// Decision is what accepting a ticket changes.
type Decision struct {
	Put    []revision.Resource
	Delete []revision.Ref
	// Rollouts are the moves that the ticket starts.
	Rollouts []RolloutStatus
	// Superseded are the moves of other tickets that the ticket ends.
	Superseded []Supersession
}

// Supersession is a running move that a newer ticket ends.
type Supersession struct {
	Service string
	Rollout revision.Rollout
}

// Decide accepts or refuses the ticket against the state: all of it or nothing.
// A refusal is a *RefusedError with every reason.
func (t *Ticket) Decide(state *revision.Snapshot, now time.Time) (*Decision, error) {
	problems := t.Check()
	problems = append(problems, t.checkOrder(state)...)
	decision := &Decision{Put: t.resources(), Delete: t.Delete}
	for _, split := range t.Splits {
		decision.supersede(state, split.Service)
	}
	for i, move := range t.Rollouts {
		if !move.By.IsZero() && !move.By.After(now) {
			problems = append(problems, fmt.Errorf("moves[%d].by: the deadline %s has passed", i, move.By.Format(time.RFC3339)))
		}
		if err := decision.addMove(state, t, move, now); err != nil {
			problems = append(problems, fmt.Errorf("moves[%d]: %w", i, err))
		}
	}
	problems = append(problems, decision.checkResult(state, t.Number)...)
	if len(problems) > 0 {
		return nil, &RefusedError{Number: t.Number, Reasons: problems}
	}
	return decision, nil
}

// checkOrder refuses to touch what a higher-numbered ticket set.
func (t *Ticket) checkOrder(state *revision.Snapshot) []error {
	var refs []revision.Ref
	for _, resource := range t.resources() {
		refs = append(refs, resource.Ref())
	}
	for _, move := range t.Rollouts {
		refs = append(refs, revision.Ref{Kind: revision.KindSplit, Name: move.Service})
	}
	var problems []error
	for _, ref := range append(refs, t.Delete...) {
		entry, ok := state.Entry(ref)
		if ok && entry.Ticket > t.Number {
			problems = append(problems, fmt.Errorf("%s: superseded by ticket %d", ref, entry.Ticket))
		}
	}
	for _, ref := range t.Delete {
		if _, ok := state.Entry(ref); !ok {
			problems = append(problems, fmt.Errorf("%s: does not exist, so it can't be deleted", ref))
		}
	}
	return problems
}

// addMove starts a move from the version that carries the service's traffic.
func (d *Decision) addMove(state *revision.Snapshot, t *Ticket, move Rollout, now time.Time) error {
	split, ok := state.Split(move.Service)
	if !ok {
		return fmt.Errorf("service %q has no split to move; set one under \"splits\"", move.Service)
	}
	from := stableVersion(split)
	if from == move.To {
		return fmt.Errorf("version %q already carries the traffic of %q", move.To, move.Service)
	}
	d.supersede(state, move.Service)
	target := move.Share
	if target == 0 {
		target = revision.FullShare
	}
	d.Put = append(d.Put, revision.Resource{Split: &revision.Split{
		Service: move.Service,
		Shares:  []revision.Share{{Version: from, Weight: revision.FullShare}},
		Rollout: &revision.Rollout{
			Ticket: t.Number,
			From:   from,
			To:     move.To,
			Target: target,
			By:     move.deadline(now),
			Step:   AnnouncedStep,
		},
	}})
	d.Rollouts = append(d.Rollouts, RolloutStatus{
		Service: move.Service,
		From:    from,
		To:      move.To,
		Verdict: Running,
		Step:    AnnouncedStep,
		By:      move.deadline(now),
		At:      now.UTC(),
	})
	return nil
}

// supersede records the move that runs on the service, if one does.
func (d *Decision) supersede(state *revision.Snapshot, service string) {
	split, ok := state.Split(service)
	if ok && split.Rollout != nil {
		d.Superseded = append(d.Superseded, Supersession{Service: service, Rollout: *split.Rollout})
	}
}

// stableVersion returns the version a move starts from: that of a running move,
// which is taken back, or else the one with the largest share.
func stableVersion(split *revision.Split) string {
	if split.Rollout != nil {
		return split.Rollout.From
	}
	stable := split.Shares[0]
	for _, share := range split.Shares[1:] {
		if share.Weight > stable.Weight {
			stable = share
		}
	}
	return stable.Version
}

// checkResult checks every reference of the state that would result.
func (d *Decision) checkResult(state *revision.Snapshot, number uint64) []error {
	_, err := state.Preview(&revision.Change{
		Revision: state.Revision() + 1,
		Ticket:   number,
		Put:      d.Put,
		Delete:   d.Delete,
	})
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		return flatten(joined.Unwrap())
	}
	return []error{err}
}

// flatten returns the leaves of joined errors, without the sentinel.
func flatten(list []error) []error {
	var leaves []error
	for _, err := range list {
		if err == revision.ErrInvalid {
			continue
		}
		if joined, ok := err.(interface{ Unwrap() []error }); ok {
			leaves = append(leaves, flatten(joined.Unwrap())...)
			continue
		}
		leaves = append(leaves, err)
	}
	return leaves
}
