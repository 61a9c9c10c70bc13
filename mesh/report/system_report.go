package report

import (
	"cmp"
	"slices"
	"time"

	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

// SystemReport is the report on all services and hosts.
type SystemReport struct {
	// At is when the report was assembled.
	At time.Time `json:"at"`
	// Hosts is the number of hosts that responded; Missing names the others.
	Hosts   int            `json:"hosts"`
	Missing []string       `json:"missing,omitempty"`
	Zones   []ZoneCoverage `json:"zones"`
	// Since is the earliest start of a daemon that responded, CompleteSince the latest. Counts
	// between the two are incomplete, because a host keeps no counts from before its start.
	Since         time.Time     `json:"since,omitzero"`
	CompleteSince time.Time     `json:"completeSince,omitzero"`
	Services      []ServiceBurn `json:"services"`
	// Tickets are the tickets with rollouts; TicketsMissing is the error if they are not known.
	Tickets        []ticket.Status `json:"tickets"`
	TicketsMissing string          `json:"ticketsMissing,omitempty"`
	Measures       Measures        `json:"measures"`
}

// ZoneCoverage is the number of hosts of an availability zone that responded, and the names of the
// others.
type ZoneCoverage struct {
	Zone     string   `json:"zone"`
	Answered int      `json:"answered"`
	Missing  []string `json:"missing,omitempty"`
}

// MemberReport is the report of one member; Report is nil if the member did not respond.
type MemberReport struct {
	Member admin.MemberStatus
	Report *admin.Report
}

// Assemble builds the report on the whole system. A non-nil ticketsErr says why the tickets are
// unknown.
func Assemble(now time.Time, members []MemberReport, tickets []ticket.Status, ticketsErr error) SystemReport {
	system := SystemReport{At: now.UTC(), Zones: zoneCoverage(members)}
	var reports []admin.Report
	for _, m := range members {
		if m.Report == nil {
			system.Missing = append(system.Missing, m.Member.Host)
			continue
		}
		reports = append(reports, *m.Report)
		system.extendPeriod(m.Report.Since)
	}
	system.Hosts = len(reports)
	system.Services = MergeReports(reports)
	system.Measures = ComputeMeasures(reports, tickets)
	for _, t := range tickets {
		if len(t.Rollouts) > 0 {
			system.Tickets = append(system.Tickets, t)
		}
	}
	if ticketsErr != nil {
		system.TicketsMissing = ticketsErr.Error()
	}
	return system
}

// extendPeriod updates Since and CompleteSince with the start of a daemon.
func (r *SystemReport) extendPeriod(since time.Time) {
	if r.Since.IsZero() || since.Before(r.Since) {
		r.Since = since.UTC()
	}
	if since.After(r.CompleteSince) {
		r.CompleteSince = since.UTC()
	}
}

// zoneCoverage returns the zones in order of their names.
func zoneCoverage(members []MemberReport) []ZoneCoverage {
	var zones []ZoneCoverage
	for _, m := range members {
		i, found := slices.BinarySearchFunc(zones, m.Member.Zone, func(z ZoneCoverage, name string) int {
			return cmp.Compare(z.Zone, name)
		})
		if !found {
			zones = slices.Insert(zones, i, ZoneCoverage{Zone: m.Member.Zone})
		}
		if m.Report == nil {
			zones[i].Missing = append(zones[i].Missing, m.Member.Host)
			continue
		}
		zones[i].Answered++
	}
	return zones
}
