package report

import (
	"cmp"
	"slices"
	"time"

	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

// SystemReport is the report over all services and hosts.
type SystemReport struct {
	At time.Time `json:"at"`
	// Hosts is the number of hosts that answered; Missing names the others.
	Hosts   int            `json:"hosts"`
	Missing []string       `json:"missing,omitempty"`
	Zones   []ZoneCoverage `json:"zones"`
	// Since is the start of the daemon that counts for longest, CompleteSince of
	// the one that counts for shortest; a host keeps no older counts.
	Since         time.Time     `json:"since,omitzero"`
	CompleteSince time.Time     `json:"completeSince,omitzero"`
	Services      []ServiceBurn `json:"services"`
	// Tickets are the tickets with moves; TicketsMissing tells why they are not
	// known.
	Tickets        []ticket.Status `json:"tickets"`
	TicketsMissing string          `json:"ticketsMissing,omitempty"`
	Measures       Measures        `json:"measures"`
}

// ZoneCoverage counts the hosts of an availability zone.
type ZoneCoverage struct {
	Zone     string   `json:"zone"`
	Answered int      `json:"answered"`
	Missing  []string `json:"missing,omitempty"`
}

// MemberReport is what one member said, or nil if it did not answer.
type MemberReport struct {
	Member admin.MemberStatus
	Report *admin.Report
}

// Assemble builds the whole report. The error tells why the tickets are unknown.
func Assemble(now time.Time, answers []MemberReport, tickets []ticket.Status, ticketsErr error) SystemReport {
	whole := SystemReport{At: now.UTC(), Zones: zoneCoverage(answers)}
	var answered []admin.Report
	for _, a := range answers {
		if a.Report == nil {
			whole.Missing = append(whole.Missing, a.Member.Host)
			continue
		}
		answered = append(answered, *a.Report)
		whole.extendPeriod(a.Report.Since)
	}
	whole.Hosts = len(answered)
	whole.Services = MergeReports(answered)
	whole.Measures = ComputeMeasures(answered, tickets)
	for _, t := range tickets {
		if len(t.Rollouts) > 0 {
			whole.Tickets = append(whole.Tickets, t)
		}
	}
	if ticketsErr != nil {
		whole.TicketsMissing = ticketsErr.Error()
	}
	return whole
}

// extendPeriod takes in the start of a daemon.
func (w *SystemReport) extendPeriod(since time.Time) {
	if w.Since.IsZero() || since.Before(w.Since) {
		w.Since = since.UTC()
	}
	if since.After(w.CompleteSince) {
		w.CompleteSince = since.UTC()
	}
}

func zoneCoverage(answers []MemberReport) []ZoneCoverage {
	var zones []ZoneCoverage
	for _, a := range answers {
		i, found := slices.BinarySearchFunc(zones, a.Member.Zone, func(z ZoneCoverage, name string) int {
			return cmp.Compare(z.Zone, name)
		})
		if !found {
			zones = slices.Insert(zones, i, ZoneCoverage{Zone: a.Member.Zone})
		}
		if a.Report == nil {
			zones[i].Missing = append(zones[i].Missing, a.Member.Host)
			continue
		}
		zones[i].Answered++
	}
	return zones
}
