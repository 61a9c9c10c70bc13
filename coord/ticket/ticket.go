// Package ticket defines change tickets, by which operators change the configuration, and decides
// on them: a ticket is checked as a whole against the state that would result, and is accepted or
// refused as a whole.
package ticket

import (
	"time"

	"sassafrasnotch.example/coord/revision"
)

// Ticket is a numbered change of the configuration. It holds the complete new state of every
// resource that it changes.
type Ticket struct {
	Number   uint64             `json:"number"`
	Comment  string             `json:"comment,omitempty"`
	Services []revision.Service `json:"services,omitempty"`
	Versions []revision.Version `json:"versions,omitempty"`
	Routes   []revision.Route   `json:"routes,omitempty"`
	// Tenants hold the hashes of their API keys, not the keys.
	Tenants []revision.Tenant `json:"tenants,omitempty"`
	// Splits set the shares of services immediately, without a rollout.
	Splits []revision.Split `json:"splits,omitempty"`
	// Rollouts transfer traffic step by step, each with a deadline.
	Rollouts []RolloutRequest `json:"moves,omitempty"`
	// Evacuations order that the targets of availability zones receive no requests. Deleting one takes it
	// back.
	Evacuations []revision.Evacuation `json:"evacuations,omitempty"`
	Delete      []revision.Ref        `json:"delete,omitempty"`
}

// RolloutRequest requests that the traffic of a service be moved to a version.
type RolloutRequest struct {
	Service string `json:"service"`
	To      string `json:"to"`
	// Share is the share of To at which the rollout is complete, in basis points; 0 means the
	// whole traffic.
	Share int `json:"share,omitempty"`
	// By is the deadline. Within is an alternative to By: the duration from the acceptance of
	// the ticket to the deadline. Exactly one of them is set.
	By     time.Time         `json:"by,omitzero"`
	Within revision.Duration `json:"within,omitempty"`
}

// deadline returns the time by which the rollout must be complete, for a ticket accepted at now.
func (r *RolloutRequest) deadline(now time.Time) time.Time {
	if r.Within > 0 {
		return now.Add(r.Within.Std()).UTC()
	}
	return r.By.UTC()
}

// State is the decision on a ticket.
type State string

// The states of a ticket. A refused ticket changes nothing.
const (
	Accepted State = "accepted"
	Refused  State = "refused"
)

// Verdict is the outcome of a rollout.
type Verdict string

// The verdicts on a rollout.
const (
	Running Verdict = "running"
	// Completed means that the new version has reached its target share.
	Completed Verdict = "done"
	// RolledBack means that the traffic is back on the old version.
	RolledBack Verdict = "taken-back"
)

// RolloutStatus is the progress of one rollout of a ticket.
type RolloutStatus struct {
	Service string  `json:"service"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	Verdict Verdict `json:"verdict"`
	// Step is the current state of the rollout's state chart.
	Step string `json:"step"`
	// Share is the current share of To, in basis points.
	Share  int    `json:"share"`
	Reason string `json:"reason,omitempty"`
	// By is the deadline.
	By time.Time `json:"by"`
	// At is the time when Share or Step last changed.
	At time.Time `json:"at"`
}

// Rejection is a host's report that it can't apply a revision.
type Rejection struct {
	Host string `json:"host"`
	// Step is the operation that failed.
	Step string `json:"step"`
	// Peer is the host or other source that the change was received from.
	Peer   string `json:"peer"`
	Reason string `json:"reason"`
}

// Status is the decision on a ticket and the progress of its rollouts, as kept in the store.
type Status struct {
	Number uint64 `json:"number"`
	// Hash is the content hash of the ticket; see Ticket.Hash.
	Hash  string `json:"hash"`
	State State  `json:"state"`
	// Revision is the revision that the accepted ticket produced.
	Revision uint64 `json:"revision,omitempty"`
	// Reasons states why the ticket was refused.
	Reasons    []string        `json:"reasons,omitempty"`
	Rollouts   []RolloutStatus `json:"moves,omitempty"`
	Rejections []Rejection     `json:"rejections,omitempty"`
	// At is the time of the decision.
	At time.Time `json:"at"`
}
