// Package ticket decides on change tickets: it checks a ticket whole against
// the state that would result, and accepts or refuses it whole.
package ticket

import (
	"time"

	"sassafrasnotch.example/coord/revision"
)

// Ticket is a numbered change. It carries the whole new state of every
// resource that it touches.
type Ticket struct {
	Number   uint64             `json:"number"`
	Comment  string             `json:"comment,omitempty"`
	Services []revision.Service `json:"services,omitempty"`
	Versions []revision.Version `json:"versions,omitempty"`
	Routes   []revision.Route   `json:"routes,omitempty"`
	// Splits set the shares of services at once, without a move.
	Splits []revision.Split `json:"splits,omitempty"`
	// Rollouts transfer traffic step by step, each with a deadline.
	Rollouts []Rollout      `json:"moves,omitempty"`
	Delete   []revision.Ref `json:"delete,omitempty"`
}

// Rollout asks for the traffic of a service to go over to a version.
type Rollout struct {
	Service string `json:"service"`
	To      string `json:"to"`
	// Share is the share at which the move is done, in basis points; 0 means
	// all of it.
	Share int `json:"share,omitempty"`
	// By is the deadline; Within gives it from the time of acceptance instead.
	By     time.Time         `json:"by,omitzero"`
	Within revision.Duration `json:"within,omitempty"`
}

// deadline returns the time by which the move is to be done.
func (m *Rollout) deadline(now time.Time) time.Time {
	if m.Within > 0 {
		return now.Add(m.Within.Std()).UTC()
	}
	return m.By.UTC()
}

// State is what became of a ticket.
type State string

// The states of a ticket.
const (
	Accepted State = "accepted"
	Refused  State = "refused"
)

// Verdict is what became of a move.
type Verdict string

// The verdicts on a move.
const (
	Running    Verdict = "running"
	Completed  Verdict = "done"
	RolledBack Verdict = "taken-back"
)

// RolloutStatus is the progress of one move of a ticket.
type RolloutStatus struct {
	Service string  `json:"service"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	Verdict Verdict `json:"verdict"`
	// Step is the state of the rollout chart.
	Step string `json:"step"`
	// Share is the present share of To, in basis points.
	Share  int       `json:"share"`
	Reason string    `json:"reason,omitempty"`
	By     time.Time `json:"by"`
	At     time.Time `json:"at"`
}

// Rejection is a daemon's report that it could not apply a revision.
type Rejection struct {
	Host string `json:"host"`
	Step string `json:"step"`
	// Peer is where the change came from.
	Peer   string `json:"peer"`
	Reason string `json:"reason"`
}

// Status is the outcome of a ticket as kept in the platform.
type Status struct {
	Number     uint64          `json:"number"`
	Hash       string          `json:"hash"`
	State      State           `json:"state"`
	Revision   uint64          `json:"revision,omitempty"`
	Reasons    []string        `json:"reasons,omitempty"`
	Rollouts   []RolloutStatus `json:"moves,omitempty"`
	Rejections []Rejection     `json:"rejections,omitempty"`
	At         time.Time       `json:"at"`
}
