// Package rollout decides the steps of a move of traffic from one version of a
// service to another. It interprets rollout.chart.json: a small share on few
// hosts first, then growth on evidence, then a watch over the whole share, then
// done or taken back. Decisions are pure: state, evidence and time in, the next
// state and actions out.
package rollout

import (
	"encoding/json"
	"fmt"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
)

// States of the chart from which the share grows to a planned level.
const (
	stepCanary = "canary"
	stepRamp   = "ramp"
)

// KeyPrefix is the prefix of the platform rows of running moves.
const KeyPrefix = "move/"

// Key returns the key of the platform row of a service's move.
func Key(service string) string { return KeyPrefix + service }

// Level is a planned share.
type Level struct {
	// Share of the new version in basis points.
	Share int `json:"share"`
	// Hosts bounds the hosts that receive the share; 0 means all.
	Hosts int `json:"hosts,omitempty"`
	// At is the planned start.
	At time.Time `json:"at"`
}

// State is a move as kept in its platform row, from which any controller can
// go on.
type State struct {
	Service    string              `json:"service"`
	Ticket     uint64              `json:"ticket"`
	From       string              `json:"from"`
	To         string              `json:"to"`
	Preference revision.Preference `json:"preference"`
	// Target is the share of To at which the move is done, in basis points.
	Target     int       `json:"target"`
	AcceptedAt time.Time `json:"acceptedAt"`
	By         time.Time `json:"by"`

	// Step is the state of the chart.
	Step string `json:"step"`
	// Level counts the levels reached; Levels are planned when To is ready.
	Level  int     `json:"level"`
	Levels []Level `json:"levels,omitempty"`
	Share  int     `json:"share"`
	Hosts  int     `json:"hosts,omitempty"`
	// StepAt is when Share or Step last changed.
	StepAt time.Time `json:"stepAt"`
	// Settle is the time without calls to From before the verdict.
	Settle revision.Duration `json:"settle,omitempty"`
	// Bake is the planned watch over the whole share.
	Bake revision.Duration `json:"bake,omitempty"`
	// Epoch is the fencing token of the controller that wrote the state.
	Epoch uint64 `json:"epoch"`
	// Controller is the host that wrote the state.
	Controller string `json:"controller,omitempty"`

	Verdict ticket.Verdict `json:"verdict"`
	Reason  string         `json:"reason,omitempty"`
}

// Start returns the state of a move that was announced at a time and that no
// controller has taken up yet.
func Start(service string, move revision.Rollout, preference revision.Preference, announced time.Time) State {
	target := move.Target
	if target == 0 {
		target = revision.FullShare
	}
	return State{
		Service: service, Ticket: move.Ticket, From: move.From, To: move.To,
		Preference: preference, Target: target, AcceptedAt: announced, By: move.By,
		Step: chart.Initial(), StepAt: announced, Verdict: ticket.Running,
		Settle: move.Settle,
	}
}

// Split returns the split that the state calls for.
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
			Ticket: s.Ticket, From: s.From, To: s.To, Target: s.Target,
			By: s.By, Step: s.Step, Hosts: s.Hosts, Settle: s.Settle,
			Controller: s.Controller,
		}
	}
	return split
}

// Status returns the progress of the move as its ticket shows it.
func (s *State) Status() ticket.RolloutStatus {
	return ticket.RolloutStatus{
		Service: s.Service, From: s.From, To: s.To, Verdict: s.Verdict,
		Step: s.Step, Share: s.Share, Reason: s.Reason, By: s.By, At: s.StepAt,
	}
}

// Encode returns the row value of a state.
func Encode(s State) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("rollout: encode move of %s: %w", s.Service, err)
	}
	return data, nil
}

// Decode parses the row value of a state.
func Decode(data []byte) (State, error) {
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return State{}, fmt.Errorf("rollout: decode move: %w", err)
	}
	if err := s.Check(); err != nil {
		return State{}, fmt.Errorf("rollout: decode move: %w", err)
	}
	return s, nil
}

// Check returns an error if no controller can go on from the state.
func (s *State) Check() error {
	if !chart.Has(s.Step) {
		return fmt.Errorf("%s is at the unknown step %q", s.Service, s.Step)
	}
	if growing := s.Step == stepCanary || s.Step == stepRamp; growing && (s.Level < 0 || s.Level >= len(s.Levels)) {
		return fmt.Errorf("%s is at level %d of %d in step %s", s.Service, s.Level, len(s.Levels), s.Step)
	}
	return nil
}
