package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sassafrasnotch.example/coord/burn"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/report"
	"sassafrasnotch.example/mesh/report/page"
)

const (
	// missing is the cell value where a value is unknown.
	missing = "missing"

	pageFileMode = 0o644 // permissions of the file of the flag -file
)

// reportCommand prints how fast services spend their error budgets, over all daemons.
type reportCommand struct {
	clientCommand
	file string
}

func newReport(env *Env) subcommands.Command {
	return &reportCommand{clientCommand: clientCommand{env: env, formats: []format{formatTable, formatJSON, formatHTML}}}
}

func (*reportCommand) Name() string     { return "report" }
func (*reportCommand) Synopsis() string { return "show how fast services spend their error budgets" }
func (*reportCommand) Usage() string {
	return "sassafrasctl report [-admin ADDRESS,...] [-o table|json|html] [-file FILE]\n" +
		"Adds up the outcomes that the callers of every daemon received since its start. A burn\n" +
		"of 1 spends exactly the budget over the period of the objective. Services without an\n" +
		"objective are omitted. The HTML page contains its plots.\n" +
		"Example: sassafrasctl report -admin 10.0.0.1:7003\n" +
		"Example: sassafrasctl report -o html -file report.html\n"
}

func (c *reportCommand) SetFlags(f *flag.FlagSet) {
	c.clientCommand.SetFlags(f)
	f.StringVar(&c.file, "file", "", "write to this `file` instead of the standard output")
}

func (c *reportCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := positionalArgs(f, 0); err != nil {
		return c.env.badInput(err)
	}
	client, err := c.client()
	if err != nil {
		return c.env.badInput(err)
	}
	queried, err := client.Status(ctx)
	if err != nil {
		return c.env.failed(err)
	}
	system := collectReport(ctx, client, queried.Members, c.env.Now())
	if err := c.writeReport(system); err != nil {
		return c.env.failed(err)
	}
	return ExitSuccess
}

// collectReport requests the counts from every member and the tickets from any daemon.
func collectReport(ctx context.Context, client *Client, members []admin.MemberStatus, now time.Time) report.SystemReport {
	reports := queryMembers[admin.Report](ctx, client, members, admin.PathReport)
	responses := make([]report.MemberReport, len(members))
	for i, m := range members {
		responses[i] = report.MemberReport{Member: m, Report: reports[i]}
	}
	tickets, err := client.Tickets(ctx, 0)
	return report.Assemble(now, responses, tickets, err)
}

// writeReport writes the report to the file of the flag -file or to the standard output.
func (c *reportCommand) writeReport(system report.SystemReport) error {
	out := c.env.Stdout
	if c.file == "" {
		return c.render(out, system)
	}
	file, err := os.OpenFile(c.file, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, pageFileMode)
	if err != nil {
		return err
	}
	return errors.Join(c.render(file, system), file.Close())
}

func (c *reportCommand) render(out io.Writer, system report.SystemReport) error {
	if c.format == formatHTML {
		return page.Write(out, system)
	}
	return c.writeTo(out, system, func(t *table) { t.report(system) })
}

func (t *table) report(r report.SystemReport) {
	t.burn(r.Services)
	t.blankLine()
	t.measures(r)
	if len(r.Tickets) > 0 {
		t.blankLine()
		t.tickets(r.Tickets)
	}
	if r.TicketsMissing != "" {
		t.row("tickets missing: " + r.TicketsMissing)
	}
	if len(r.Missing) > 0 {
		t.blankLine()
		t.row(fmt.Sprintf("of %d hosts no answer from: %s", r.Hosts+len(r.Missing), strings.Join(r.Missing, ", ")))
	}
}

func (t *table) burn(services []report.ServiceBurn) {
	t.row("SERVICE", "OBJECTIVE", "CALLS", "FAILED", "BUDGET LEFT", "BURN OVER LONG/SHORT (LIMIT)", "STATE")
	for _, s := range services {
		objective := fmt.Sprintf("%s in %v", percent(s.Objective.Success), s.Burn.Period.Std())
		t.row(s.Service, objective, s.Burn.Total.Requests, s.Burn.Total.Failures,
			remainingBudget(s.Burn), windowsText(s.Burn), burnState(s))
	}
}

// measures prints the measures of the whole system.
func (t *table) measures(r report.SystemReport) {
	t.row("MEASURE", "VALUE")
	for _, c := range r.Measures.Convergence {
		t.row(fmt.Sprintf("convergence of ticket %d", c.Ticket), convergenceText(c))
	}
	control := missing
	if rate := r.Measures.ControlBytes; rate != nil {
		control = fmt.Sprintf("mean %.0f B/s, most %.0f B/s on %s, since the daemons' start", rate.Mean, rate.Max, rate.Most)
	}
	t.row("control bytes", control)
	rollouts, good, bad := r.Measures.Moves, missing, missing
	if r.TicketsMissing == "" {
		good = fmt.Sprintf("%d in time, %d late, %d not proved good", rollouts.DoneInTime, rollouts.DoneLate, rollouts.NotProved)
		bad = fmt.Sprintf("%d on evidence; %d superseded, %d running", rollouts.ShownBad, rollouts.Superseded, rollouts.Running)
	}
	t.row("versions done", good)
	t.row("versions taken back", bad)
}

func convergenceText(c report.Convergence) string {
	text := missing
	if c.Hosts > 0 {
		text = fmt.Sprintf("%v on %d hosts", c.Took.Std().Round(time.Millisecond), c.Hosts)
	}
	if len(c.Behind) > 0 {
		text += ", not in force on " + strings.Join(c.Behind, ", ")
	}
	return text
}

// remainingBudget returns the remaining share of the error budget as text.
func remainingBudget(r burn.Report) string {
	if r.Total.Requests == 0 {
		return missing
	}
	return percent(int(r.BudgetLeft * revision.FullShare))
}

// windowsText lists the burn rates over the windows with their limits.
func windowsText(r burn.Report) string {
	var texts []string
	for _, w := range r.Windows {
		texts = append(texts, fmt.Sprintf("%v/%v: %s/%s (%.1f)", w.Long.Std(), w.Short.Std(), rateText(w.LongRate), rateText(w.ShortRate), w.Limit))
	}
	return strings.Join(texts, ", ")
}

func rateText(rate *float64) string {
	if rate == nil {
		return missing
	}
	return fmt.Sprintf("%.1f", *rate)
}

func burnState(s report.ServiceBurn) string {
	switch {
	case s.Burn.Total.Requests == 0:
		return "no calls"
	case s.Burning:
		return "burning"
	}
	return "ok"
}
