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

// Measures are the measures of the whole system as far as daemons can tell them.
// A nil field means that nothing is known.
type Measures struct {
	Convergence  []Convergence `json:"convergence"`
	ControlBytes *ControlRate  `json:"controlBytes"`
	Moves        RolloutCounts `json:"moves"`
}

// Convergence tells how long a ticket took from its acceptance until its revision
// was in force, by the clocks of the hosts. It covers the hosts that answered and
// ran already when the ticket was accepted.
type Convergence struct {
	Ticket   uint64 `json:"ticket"`
	Revision uint64 `json:"revision"`
	// Hosts is the number of hosts where the revision is in force.
	Hosts int `json:"hosts"`
	// Took is the time of the slowest of them.
	Took revision.Duration `json:"took"`
	// Behind are the hosts where it is not in force yet.
	Behind []string `json:"behind,omitempty"`
}

// ControlRate is the traffic of a daemon for control in bytes a second, sent and
// received together, since its start.
type ControlRate struct {
	Hosts int     `json:"hosts"`
	Mean  float64 `json:"mean"`
	Max   float64 `json:"max"`
	// Most is the host of Max.
	Most string `json:"most"`
}

// RolloutCounts counts the moves of the tickets by what became of them. Whether a version
// was in truth good no daemon can know: a version counts as shown bad when its
// verdict names evidence, and as good when it was not shown bad.
type RolloutCounts struct {
	Running int `json:"running"`
	// DoneInTime and DoneLate are versions that were declared done.
	DoneInTime int `json:"doneInTime"`
	DoneLate   int `json:"doneLate"`
	// NotProved are versions taken back at their deadline without evidence.
	NotProved int `json:"notProved"`
	// ShownBad are versions taken back on evidence. A bad version that was never
	// shown bad is not among them, so a share of the bad ones can't be told.
	ShownBad int `json:"shownBad"`
	// Superseded moves were ended by a later ticket.
	Superseded int `json:"superseded"`
}

// Beginnings of the reasons of moves that were taken back without evidence
// against the version.
const (
	prefixNotProved  = "not proved good"
	prefixSuperseded = "superseded"
)

// GoodInTime returns the share of the versions not shown bad that were done by
// their deadline, and false if there was none.
func (m RolloutCounts) GoodInTime() (float64, bool) {
	return ratio(m.DoneInTime, m.DoneInTime+m.DoneLate+m.NotProved)
}

func ratio(part, whole int) (float64, bool) {
	if whole == 0 {
		return 0, false
	}
	return float64(part) / float64(whole), true
}

// ComputeMeasures derives the measures from the reports of the hosts that answered and
// from the tickets.
func ComputeMeasures(reports []admin.Report, tickets []ticket.Status) Measures {
	var m Measures
	for i := range tickets {
		if tickets[i].State != ticket.Accepted {
			continue
		}
		if c, ok := ticketConvergence(&tickets[i], reports); ok {
			m.Convergence = append(m.Convergence, c)
		}
		for _, move := range tickets[i].Rollouts {
			m.Moves.count(&move)
		}
	}
	m.ControlBytes = controlRate(reports)
	return m
}

// ticketConvergence returns false if no host that answered can tell.
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

// applicationUnknown reports whether the host no longer remembers when the revision came
// into force.
func applicationUnknown(r *admin.Report, number uint64) bool {
	return len(r.Applied) >= maxAppliedRevisions && r.Applied[0].Revision > number
}

// appliedAt returns when the revision, or one that holds it, came into force.
func appliedAt(applied []admin.AppliedRevision, number uint64) (time.Time, bool) {
	i, _ := slices.BinarySearchFunc(applied, number, func(a admin.AppliedRevision, wanted uint64) int {
		return cmp.Compare(a.Revision, wanted)
	})
	if i == len(applied) {
		return time.Time{}, false
	}
	return applied[i].At, true
}

func (m *RolloutCounts) count(move *ticket.RolloutStatus) {
	switch {
	case move.Verdict == ticket.Running:
		m.Running++
	case move.Verdict == ticket.Completed && move.At.After(move.By):
		m.DoneLate++
	case move.Verdict == ticket.Completed:
		m.DoneInTime++
	case strings.HasPrefix(move.Reason, prefixNotProved):
		m.NotProved++
	case strings.HasPrefix(move.Reason, prefixSuperseded):
		m.Superseded++
	default:
		m.ShownBad++
	}
}

func controlRate(reports []admin.Report) *ControlRate {
	var rate ControlRate
	var sum float64
	for i := range reports {
		r := &reports[i]
		seconds := r.At.Sub(r.Since).Seconds()
		if seconds <= 0 {
			continue
		}
		each := float64(r.ControlBytes.Sent+r.ControlBytes.Received) / seconds
		rate.Hosts++
		sum += each
		if rate.Most == "" || each > rate.Max {
			rate.Max, rate.Most = each, r.Host
		}
	}
	if rate.Hosts == 0 {
		return nil
	}
	rate.Mean = sum / float64(rate.Hosts)
	return &rate
}
