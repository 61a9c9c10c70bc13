package rollout

import (
	_ "embed"
	"fmt"
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/statechart"
	"sassafrasnotch.example/coord/ticket"
)

//go:embed rollout.chart.json
var chartFile []byte

var chart = mustLoad()

// eventTick is the only event of the chart.
const eventTick = "tick"

// Evidence is what the controller knows of a move.
type Evidence struct {
	// Verdict is the detector's, over the present step.
	Verdict detect.Verdict
	// Hosts counts the hosts with ready targets.
	Hosts Hosts
	// Rate is the service's traffic in requests a second.
	Rate float64
	// Tripped describes the zones that stopped sending to the new version.
	Tripped []string
	// Reporting is true while outcome reports of the service arrive.
	Reporting bool
}

// Action is what a controller does after a decision: SetShare or Finish.
type Action interface{ isAction() }

// SetShare gives the new version a share on a number of hosts.
type SetShare struct {
	Share int // basis points
	Hosts int // 0 means all
	Step  string
}

// Finish ends the move. Completed leaves the target share in force, RolledBack the
// share before the move.
type Finish struct {
	Verdict ticket.Verdict
	Reason  string
}

func (SetShare) isAction() {}
func (Finish) isAction()   {}

// input is what guards and actions of the chart work on.
type input struct {
	state    State
	policy   Policy
	evidence Evidence
	now      time.Time
	actions  []Action
}

// Next returns the state that follows and the actions that lead to it, of which
// there is at most one. The state of a finished move does not change.
func Next(s State, e Evidence, now time.Time) (State, []Action) {
	return NextWith(PolicyFor(s.Preference), s, e, now)
}

// NextWith is Next under a policy of the embedder's own.
func NextWith(policy Policy, s State, e Evidence, now time.Time) (State, []Action) {
	if chart.Final(s.Step) {
		return s, nil
	}
	in := &input{state: s, policy: policy, evidence: e, now: now}
	step, err := chart.Fire(s.Step, eventTick, in)
	if err != nil || len(in.actions) == 0 {
		return s, nil
	}
	in.state.Step = step
	if set, ok := in.actions[0].(SetShare); ok {
		set.Step = step
		in.actions[0] = set
	}
	in.state.StepAt = now
	return in.state, in.actions
}

func mustLoad() *statechart.Chart[*input] {
	loaded, err := statechart.Load(chartFile, statechart.Bindings[*input]{
		Guards: map[string]func(*input) bool{
			"bad":       (*input).bad,
			"overdue":   (*input).overdue,
			"ready":     (*input).ready,
			"reporting": (*input).reporting,
			"due":       (*input).due,
			"proved":    (*input).proved,
			"last":      (*input).last,
			"loaded":    (*input).loaded,
			"baked":     (*input).baked,
			"good":      (*input).good,
			"cleared":   (*input).cleared,
			"bakes":     (*input).bakes,
			"grows":     (*input).grows,
			"settles":   (*input).settles,
			"carried":   (*input).carried,
			"expiring":  (*input).expiring,
			"settled":   (*input).settled,
		},
		Actions: map[string]func(*input){
			"plan":      (*input).plan,
			"raise":     (*input).raise,
			"hold":      (*input).hold,
			"finish":    (*input).finish,
			"complete":  (*input).complete,
			"take-back": (*input).takeBack,
		},
	})
	if err != nil {
		panic(fmt.Sprintf("rollout: embedded chart: %v", err))
	}
	return loaded
}
