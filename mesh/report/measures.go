package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

// Measures are the measures of the whole system, derived from what daemons report. A nil field
// means that nothing is known.
type Measures struct {
	Convergence  []Convergence `json:"convergence"`
	ControlBytes *ControlRate  `json:"controlBytes"`
	Moves        RolloutCounts `json:"moves"`
}

// Convergence is the duration from the acceptance of a ticket until its revision was in force, by
// the clocks of the hosts. It covers the hosts that responded and whose daemon was already running
// when the ticket was accepted.
type Convergence struct {
	Ticket   uint64 `json:"ticket"`
	Revision uint64 `json:"revision"`
	// Hosts is the number of hosts where the revision is in force.
	Hosts int `json:"hosts"`
	// Took is the duration on the slowest of them.
	Took revision.Duration `json:"took"`
	// Behind are the hosts where it is not in force yet.
	Behind []string `json:"behind,omitempty"`
}

// ControlRate is the control traffic of the daemons since their start, in bytes per second, sent
// and received together: the mean and the maximum over Hosts daemons.
type ControlRate struct {
	Hosts int     `json:"hosts"`
	Mean  float64 `json:"mean"`
	Max   float64 `json:"max"`
	// Most is the host with the maximum.
	Most string `json:"most"`
}

// RolloutCounts counts the rollouts of the tickets by their results. No daemon can know whether a
// version was in fact good: a version counts as shown bad when its verdict names evidence, and as
// good when it was not shown bad.
type RolloutCounts struct {
	Running int `json:"running"`
	// DoneInTime and DoneLate are versions whose rollout completed by its deadline and after it.
	DoneInTime int `json:"doneInTime"`
	DoneLate   int `json:"doneLate"`
	// NotProved are versions rolled back at their deadline without evidence.
	NotProved int `json:"notProved"`
	// ShownBad are versions rolled back on evidence. A bad version that was never shown bad is
	// not among them, so the share of the bad versions that were rolled back is unknown.
	ShownBad int `json:"shownBad"`
	// Superseded are rollouts that a later ticket ended.
	Superseded int `json:"superseded"`
}

// Prefixes of the reasons of rollouts that were rolled back without evidence against the version.
const (
	prefixNotProved  = "not proved good"
	prefixSuperseded = "superseded"
)

// GoodInTime returns the share of the versions not shown bad whose rollout completed by its
// deadline, and false if there was no such version.
func (m RolloutCounts) GoodInTime() (float64, bool) {
	return ratio(m.DoneInTime, m.DoneInTime+m.DoneLate+m.NotProved)
}

// ratio returns false if whole is 0.
func ratio(part, whole int) (float64, bool) {
	if whole == 0 {
		return 0, false
	}
	return float64(part) / float64(whole), true
}

// ComputeMeasures derives the measures from the reports of the hosts that responded and from the
// tickets.
func ComputeMeasures(reports []admin.Report, tickets []ticket.Status) Measures {
	var m Measures
	for i := range tickets {
		if tickets[i].State != ticket.Accepted {
			continue
		}
		if c, ok := ticketConvergence(&tickets[i], reports); ok {
			m.Convergence = append(m.Convergence, c)
		}
		for _, rollout := range tickets[i].Rollouts {
			m.Moves.count(&rollout)
		}
	}
	m.ControlBytes = controlRate(reports)
	return m
}

// ticketConvergence returns false if no host that responded knows when the revision was applied.
func ticketConvergence(t *ticket.Status, reports []admin.Report) (Convergence, bool) {
	c := Convergence{Ticket: t.Number, Revision: t.Revision}
	for i := range reports {
		r := &reports[i]
		if r.Since.After(t.At) || applicationUnknown(r, t.Revision) {
			continue
		}
		at, ok := appliedAt(r.Applied, t.Revision)
		if !ok {
			c.Behind = append(c.Behind, r.Host)
			continue
		}
		c.Hosts++
		c.Took = max(c.Took, revision.Duration(at.Sub(t.At)))
	}
	slices.Sort(c.Behind)
	return c, c.Hosts+len(c.Behind) > 0
}

// applicationUnknown reports whether the host has dropped the record of when the revision came into
// force, because it keeps only maxAppliedRevisions records.
func applicationUnknown(r *admin.Report, number uint64) bool {
	return len(r.Applied) >= maxAppliedRevisions && r.Applied[0].Revision > number
}

// appliedAt returns when the revision, or a later one that includes it, came into force.
func appliedAt(applied []admin.AppliedRevision, number uint64) (time.Time, bool) {
	i, _ := slices.BinarySearchFunc(applied, number, func(a admin.AppliedRevision, wanted uint64) int {
		return cmp.Compare(a.Revision, wanted)
	})
	if i == len(applied) {
		return time.Time{}, false
	}
	return applied[i].At, true
}

func (m *RolloutCounts) count(rollout *ticket.RolloutStatus) {
	switch {
	case rollout.Verdict == ticket.Running:
		m.Running++
	case rollout.Verdict == ticket.Completed && rollout.At.After(rollout.By):
		m.DoneLate++
	case rollout.Verdict == ticket.Completed:
		m.DoneInTime++
	case strings.HasPrefix(rollout.Reason, prefixNotProved):
		m.NotProved++
	case strings.HasPrefix(rollout.Reason, prefixSuperseded):
		m.Superseded++
	default:
		m.ShownBad++
	}
}

// controlRate returns nil if no report covers any time.
func controlRate(reports []admin.Report) *ControlRate {
	var rate ControlRate
	var sum float64
	for i := range reports {
		r := &reports[i]
		seconds := r.At.Sub(r.Since).Seconds()
		if seconds <= 0 {
			continue
		}
		hostRate := float64(r.ControlBytes.Sent+r.ControlBytes.Received) / seconds
		rate.Hosts++
		sum += hostRate
		if rate.Most == "" || hostRate > rate.Max {
			rate.Max, rate.Most = hostRate, r.Host
		}
	}
	if rate.Hosts == 0 {
		return nil
	}
	rate.Mean = sum / float64(rate.Hosts)
	return &rate
}
