package ticket

import (
	"errors"
	"fmt"
	"time"

	"sassafrasnotch.example/coord/revision"
)

// AnnouncedStep is the step of a rollout that no controller has advanced yet.
const AnnouncedStep = "announced"

// Decision is the effect of an accepted ticket on the configuration.
type Decision struct {
	Put    []revision.Resource
	Delete []revision.Ref
	// Rollouts are the initial statuses of the rollouts that the ticket starts.
	Rollouts []RolloutStatus
	// Superseded are the running rollouts that the ticket ends.
	Superseded []Supersession
}

// Supersession is a running rollout that a newer ticket ends.
type Supersession struct {
	Service string
	Rollout revision.Rollout
}

// Decide accepts or refuses the whole ticket against the state. If it is refused, the error is a
// *RefusedError that lists every reason. Relative deadlines count from now.
func (t *Ticket) Decide(state *revision.Snapshot, now time.Time) (*Decision, error) {
	problems := t.Check()
	problems = append(problems, t.checkOrder(state)...)
	decision := &Decision{Put: t.resources(), Delete: t.Delete}
	for _, split := range t.Splits {
		decision.supersede(state, split.Service)
	}
	for i, rollout := range t.Rollouts {
		if !rollout.By.IsZero() && !rollout.By.After(now) {
			problems = append(problems, fmt.Errorf("moves[%d].by: the deadline %s has passed", i, rollout.By.Format(time.RFC3339)))
		}
		if err := decision.addRollout(state, t, rollout, now); err != nil {
			problems = append(problems, fmt.Errorf("moves[%d]: %w", i, err))
		}
	}
	problems = append(problems, decision.checkResult(state, t.Number)...)
	if len(problems) > 0 {
		return nil, &RefusedError{Number: t.Number, Reasons: problems}
	}
	return decision, nil
}

// checkOrder reports the resources that a higher-numbered ticket set last, and deletions of
// resources that do not exist.
func (t *Ticket) checkOrder(state *revision.Snapshot) []error {
	var refs []revision.Ref
	for _, resource := range t.resources() {
		refs = append(refs, resource.Ref())
	}
	for _, rollout := range t.Rollouts {
		refs = append(refs, revision.Ref{Kind: revision.KindSplit, Name: rollout.Service})
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

// addRollout adds the start of a rollout from the version that carries the service's traffic.
func (d *Decision) addRollout(state *revision.Snapshot, t *Ticket, rollout RolloutRequest, now time.Time) error {
	split, ok := state.Split(rollout.Service)
	if !ok {
		return fmt.Errorf("service %q has no split to start from; set one under \"splits\"", rollout.Service)
	}
	from := stableVersion(split)
	if from == rollout.To {
		return fmt.Errorf("version %q already carries the traffic of service %q", rollout.To, rollout.Service)
	}
	d.supersede(state, rollout.Service)
	target := rollout.Share
	if target == 0 {
		target = revision.FullShare
	}
	d.Put = append(d.Put, revision.Resource{Split: &revision.Split{
		Service: rollout.Service,
		Shares:  []revision.Share{{Version: from, Weight: revision.FullShare}},
		Rollout: &revision.Rollout{
			Ticket: t.Number,
			From:   from,
			To:     rollout.To,
			Target: target,
			By:     rollout.deadline(now),
			Step:   AnnouncedStep,
		},
	}})
	d.Rollouts = append(d.Rollouts, RolloutStatus{
		Service: rollout.Service,
		From:    from,
		To:      rollout.To,
		Verdict: Running,
		Step:    AnnouncedStep,
		By:      rollout.deadline(now),
		At:      now.UTC(),
	})
	return nil
}

// supersede records the running rollout of the service, if there is one.
func (d *Decision) supersede(state *revision.Snapshot, service string) {
	split, ok := state.Split(service)
	if ok && split.Rollout != nil {
		d.Superseded = append(d.Superseded, Supersession{Service: service, Rollout: *split.Rollout})
	}
}

// stableVersion returns the version that a rollout starts from: the From version of a running
// rollout, which is rolled back, or else the version with the largest share.
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

// checkResult checks the state that the ticket would result in.
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

// flatten returns the single errors in a tree of joined errors, without ErrInvalid itself.
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
