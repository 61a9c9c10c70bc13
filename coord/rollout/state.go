// Package rollout decides the steps of a rollout, which shifts traffic from one version of a
// service to another. It interprets rollout.chart.json: a small share on few hosts first, then
// growth as evidence accumulates, then observation of the last planned share, then completion or
// rollback. Decisions are pure functions of state, evidence and time; they return the next state
// and actions.
package rollout

import (
	"encoding/json"
	"fmt"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
)

// States of the chart in which the share grows from level to level.
const (
	stepCanary = "canary"
	stepRamp   = "ramp"
)

// KeyPrefix is the key prefix of the store rows of running rollouts.
const KeyPrefix = "move/"

// Key returns the key of the store row of a service's rollout.
func Key(service string) string { return KeyPrefix + service }

// Level is a planned share of the new version.
type Level struct {
	// Share is the share of the new version in basis points.
	Share int `json:"share"`
	// Hosts limits the number of hosts that receive the share; 0 means all hosts.
	Hosts int `json:"hosts,omitempty"`
	// StartAt is the planned start of the level.
	StartAt time.Time `json:"at"`
}

// State is the persistent state of a rollout, as stored in its row. It is complete: any
// controller can continue the rollout from it.
type State struct {
	// Service is the service whose traffic shifts from version From to version To, as requested
	// by Ticket.
	Service string `json:"service"`
	Ticket  uint64 `json:"ticket"`
	// Order is as in revision.Rollout.
	Order uint64 `json:"order,omitempty"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Preference selects the Policy.
	Preference revision.Preference `json:"preference"`
	// TargetShare is the final share of To, in basis points: the one in force once the rollout is
	// completed. It may be less than revision.FullShare, the whole traffic.
	TargetShare int `json:"target"`
	// AcceptedAt and Deadline delimit the time in which a verdict must be reached.
	AcceptedAt time.Time `json:"acceptedAt"`
	Deadline   time.Time `json:"by"`

	// Step is the current state of the chart.
	Step string `json:"step"`
	// Level is the number of levels reached, so that Levels[Level] is the next one. Levels are
	// planned once a target of To is ready; until then they are empty.
	Level  int     `json:"level"`
	Levels []Level `json:"levels,omitempty"`
	// Share is the share of To in force, in basis points. Hosts limits the number of hosts that
	// receive it; 0 means all.
	Share int `json:"share"`
	Hosts int `json:"hosts,omitempty"`
	// StepAt is the time of the last action: each one sets it, also one that changes Share within
	// the same step.
	StepAt time.Time `json:"stepAt"`
	// Settle is the time that the rollout spends at the final share, without requests to From,
	// before it completes; 0 means that the last planned share is observed instead.
	Settle revision.Duration `json:"settle,omitempty"`
	// Bake is the planned duration of the observation of the last planned share.
	Bake revision.Duration `json:"bake,omitempty"`
	// Epoch is the fencing epoch of the controller that wrote the state.
	Epoch uint64 `json:"epoch"`
	// Controller is the host that wrote the state.
	Controller string `json:"controller,omitempty"`

	// Verdict is ticket.Running until the rollout ends. Reason explains the verdict; the text is
	// stored and shown to operators.
	Verdict ticket.Verdict `json:"verdict"`
	Reason  string         `json:"reason,omitempty"`
}

// NewState returns the initial state of a rollout that was announced at the given time and that
// no controller has started. A rollout without a final share gets revision.FullShare.
func NewState(service string, rollout revision.Rollout, preference revision.Preference, announced time.Time) State {
	target := rollout.Target
	if target == 0 {
		target = revision.FullShare
	}
	return State{
		Service: service, Ticket: rollout.Ticket, Order: rollout.Order, From: rollout.From, To: rollout.To,
		Preference: preference, TargetShare: target, AcceptedAt: announced, Deadline: rollout.By,
		Step: chart.Initial(), StepAt: announced, Verdict: ticket.Running,
		Settle: rollout.Settle,
	}
}

// Split returns the traffic split for the state. It includes the rollout while it is running.
func (s *State) Split() revision.Split {
	split := revision.Split{Service: s.Service}
	split.Shares = []revision.Share{{Version: s.From, Weight: revision.FullShare - s.Share}}
	if s.Share > 0 {
		split.Shares = append(split.Shares, revision.Share{Version: s.To, Weight: s.Share})
	}
	if s.Share == revision.FullShare {
		split.Shares = split.Shares[1:]
	}
	if s.Verdict == ticket.Running {
		split.Rollout = &revision.Rollout{
			Ticket: s.Ticket, Order: s.Order, From: s.From, To: s.To, Target: s.TargetShare,
			By: s.Deadline, Step: s.Step, Hosts: s.Hosts, Settle: s.Settle,
			Controller: s.Controller,
		}
	}
	return split
}

// Status returns the progress of the rollout for display with its ticket.
func (s *State) Status() ticket.RolloutStatus {
	return ticket.RolloutStatus{
		Service: s.Service, From: s.From, To: s.To, Verdict: s.Verdict,
		Step: s.Step, Share: s.Share, Reason: s.Reason, By: s.Deadline, At: s.StepAt,
	}
}

// Encode returns the row value of a state as JSON.
func Encode(s State) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("rollout: encode state of the rollout of %s: %w", s.Service, err)
	}
	return data, nil
}

// Decode parses the row value of a state and validates it.
func Decode(data []byte) (State, error) {
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return State{}, fmt.Errorf("rollout: decode state: %w", err)
	}
	if err := s.Validate(); err != nil {
		return State{}, fmt.Errorf("rollout: validate decoded state: %w", err)
	}
	return s, nil
}

// Validate returns an error if no controller can continue from the state, or no split follows from it:
// its step is not in the chart, it has no planned level to grow to, its share is out of range, or it
// names no two versions.
func (s *State) Validate() error {
	if s.Service == "" || s.From == "" || s.To == "" || s.From == s.To {
		return fmt.Errorf("service %q: from version %q to %q", s.Service, s.From, s.To)
	}
	if s.Share < 0 || s.Share > revision.FullShare {
		return fmt.Errorf("service %s: share %d is outside 0 to %d", s.Service, s.Share, revision.FullShare)
	}
	if !chart.HasState(s.Step) {
		return fmt.Errorf("service %s: step %q is not a state of the rollout chart", s.Service, s.Step)
	}
	if growing := s.Step == stepCanary || s.Step == stepRamp; growing && (s.Level < 0 || s.Level >= len(s.Levels)) {
		return fmt.Errorf("service %s: level %d is outside the %d planned levels in step %s", s.Service, s.Level, len(s.Levels), s.Step)
	}
	return nil
}
