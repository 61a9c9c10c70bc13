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
var files embed.FS

// missing stands for a value that is not known.
const missing = "missing"

var pageTemplate = template.Must(template.New("report.html.tmpl").Funcs(template.FuncMap{
	"time":     formatTime,
	"duration": func(d revision.Duration) string { return d.Std().Round(time.Millisecond).String() },
	"percent":  func(part float64) string { return fmt.Sprintf("%.2f%%", 100*part) },
	"points":   func(basisPoints int) string { return fmt.Sprintf("%g%%", float64(basisPoints)/100) },
	"rate":     formatRate,
	"join":     func(names []string) string { return strings.Join(names, ", ") },
}).ParseFS(files, "report.html.tmpl"))

// pageData is what the page shows.
type pageData struct {
	report.SystemReport
	Panels []panel
	// GoodInTime is the share of versions done by their deadline as text.
	GoodInTime string
}

// panel is one service with its plot.
type panel struct {
	report.ServiceBurn
	// Plot is the address of the image, empty without a series.
	Plot  template.URL
	Moves []rollout
}

// rollout is one rollout of a service.
type rollout struct {
	Ticket  uint64
	Started time.Time
	ticket.RolloutStatus
}

// Write renders the report.
func Write(out io.Writer, whole report.SystemReport) error {
	v := pageData{SystemReport: whole, GoodInTime: missing}
	if share, ok := whole.Measures.Moves.GoodInTime(); ok {
		v.GoodInTime = fmt.Sprintf("%.0f%%", 100*share)
	}
	for _, s := range whole.Services {
		p := panel{ServiceBurn: s, Moves: rolloutsOf(s.Service, whole.Tickets)}
		image, err := drawPanel(p, whole)
		if err != nil {
			return fmt.Errorf("report page: plot of service %s: %w", s.Service, err)
		}
		p.Plot = image
		v.Panels = append(v.Panels, p)
	}
	if err := pageTemplate.Execute(out, v); err != nil {
		return fmt.Errorf("report page: %w", err)
	}
	return nil
}

func rolloutsOf(service string, tickets []ticket.Status) []rollout {
	var moves []rollout
	for _, t := range tickets {
		for _, m := range t.Rollouts {
			if m.Service == service {
				moves = append(moves, rollout{Ticket: t.Number, Started: t.At, RolloutStatus: m})
			}
		}
	}
	return moves
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return missing
	}
	return at.UTC().Format("2006-01-02 15:04:05")
}

// formatRate formats a burn formatRate; nil means that there were no calls.
func formatRate(value *float64) string {
	if value == nil {
		return missing
	}
	return fmt.Sprintf("%.2f", *value)
}
