// Package page renders the report on service-level burn as one self-contained
// HTML page.
package page

import (
	"embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/report"
)

//go:embed report.html.tmpl
var templateFiles embed.FS

// missing is the text for an unknown value.
const missing = "missing"

// pageTemplate formats values with the functions that report.html.tmpl names.
var pageTemplate = template.Must(template.New("report.html.tmpl").Funcs(template.FuncMap{
	"time":     formatTime,
	"duration": func(d revision.Duration) string { return d.Std().Round(time.Millisecond).String() },
	"percent":  func(part float64) string { return fmt.Sprintf("%.2f%%", 100*part) },
	"points":   func(basisPoints int) string { return fmt.Sprintf("%g%%", float64(basisPoints)/100) },
	"rate":     formatRate,
	"join":     func(names []string) string { return strings.Join(names, ", ") },
}).ParseFS(templateFiles, "report.html.tmpl"))

// pageData is the data of the template.
type pageData struct {
	report.SystemReport
	Panels []panel
	// GoodInTime is the share of the versions completed by their deadline, as text.
	GoodInTime string
}

// panel holds one service with its plot.
type panel struct {
	report.ServiceBurn
	// Plot is the image as a data URL; it is empty without a series.
	Plot  template.URL
	Moves []rollout
}

// rollout is one rollout of a service with its ticket. Started is when the ticket was accepted.
type rollout struct {
	Ticket  uint64
	Started time.Time
	ticket.RolloutStatus
}

// Write renders the report as an HTML page.
func Write(out io.Writer, system report.SystemReport) error {
	data := pageData{SystemReport: system, GoodInTime: missing}
	if share, ok := system.Measures.Moves.GoodInTime(); ok {
		data.GoodInTime = fmt.Sprintf("%.0f%%", 100*share)
	}
	for _, s := range system.Services {
		p := panel{ServiceBurn: s, Moves: rolloutsOf(s.Service, system.Tickets)}
		image, err := drawPanel(p, system)
		if err != nil {
			return fmt.Errorf("report page: plot of service %s: %w", s.Service, err)
		}
		p.Plot = image
		data.Panels = append(data.Panels, p)
	}
	if err := pageTemplate.Execute(out, data); err != nil {
		return fmt.Errorf("report page: %w", err)
	}
	return nil
}

// rolloutsOf returns the rollouts of a service in the order of the tickets.
func rolloutsOf(service string, tickets []ticket.Status) []rollout {
	var rollouts []rollout
	for _, t := range tickets {
		for _, r := range t.Rollouts {
			if r.Service == service {
				rollouts = append(rollouts, rollout{Ticket: t.Number, Started: t.At, RolloutStatus: r})
			}
		}
	}
	return rollouts
}

// formatTime formats a time in UTC; a zero time is missing.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return missing
	}
	return at.UTC().Format("2006-01-02 15:04:05")
}

// formatRate formats a burn rate; nil means that there were no requests.
func formatRate(value *float64) string {
	if value == nil {
		return missing
	}
	return fmt.Sprintf("%.2f", *value)
}
