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
var chartJSON []byte

var chart = mustLoadChart()

// eventTick is the only event of the chart; a controller raises it once for each decision.
const eventTick = "tick"

// Evidence is the input to a decision: what the controller has observed of a rollout.
type Evidence struct {
	// Verdict is the verdict of the detector; its step figures cover the current step.
	Verdict detect.Verdict
	// Hosts counts the hosts with ready targets of each version.
	Hosts Hosts
	// Rate is the service's request rate in requests per second.
	Rate float64
	// Halted holds one text for each zone that stopped sending requests to the new version; any
	// entry causes a rollback.
	Halted []string
	// Reporting is true while outcome reports of the service arrive.
	Reporting bool
}

// Action is what a controller carries out after a decision: SetShare or Finish.
type Action interface{ isAction() }

// SetShare gives the new version a share on a limited number of hosts.
type SetShare struct {
	Share int    // basis points
	Hosts int    // maximum number of hosts; 0 means all
	Step  string // state of the chart in which the share applies
}

// Finish ends the rollout. With ticket.Completed the final share stays in force; with
// ticket.RolledBack the share from before the rollout is restored. Reason is stored and shown to
// operators.
type Finish struct {
	Verdict ticket.Verdict
	Reason  string
}

func (SetShare) isAction() {}
func (Finish) isAction()   {}

// input is the argument of the guards and actions of the chart. Actions change state and append
// to actions.
type input struct {
	state    State
	policy   Policy
	evidence Evidence
	now      time.Time
	actions  []Action
}

// Next returns the state that follows and the action that leads to it, at most one. It returns the
// state unchanged and no action if the rollout has ended, no transition of the chart fires or the
// chart fails.
func Next(s State, e Evidence, now time.Time) (State, []Action) {
	return NextWithPolicy(PolicyFor(s.Preference), s, e, now)
}

// NextWithPolicy is Next with a custom policy in place of that of the preference.
func NextWithPolicy(policy Policy, s State, e Evidence, now time.Time) (State, []Action) {
	if chart.IsFinal(s.Step) {
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

// mustLoadChart loads the embedded chart and binds its guards and actions. It panics if they do
// not match.
func mustLoadChart() *statechart.Chart[*input] {
	loaded, err := statechart.Load(chartJSON, statechart.Bindings[*input]{
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
			"finish":    (*input).completeRollout,
			"complete":  (*input).raiseToFinalShare,
			"take-back": (*input).rollBack,
		},
	})
	if err != nil {
		panic(fmt.Sprintf("rollout: load embedded rollout.chart.json: %v", err))
	}
	return loaded
}
