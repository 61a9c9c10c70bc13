package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"sassafrasnotch.example/coord/ticket"
)

const (
	columnGap = 2 // spaces

	basisPointsPerPercent = 100
)

// print writes a result in the chosen format and returns the given exit code, or the code of the
// error if writing fails.
func (c *clientCommand) print(value any, printTable func(*table), exit subcommands.ExitStatus) subcommands.ExitStatus {
	if err := c.write(value, printTable); err != nil {
		return c.env.failed(err)
	}
	return exit
}

func (c *clientCommand) write(value any, printTable func(*table)) error {
	return c.writeTo(c.env.Stdout, value, printTable)
}

func (c *clientCommand) writeTo(out io.Writer, value any, printTable func(*table)) error {
	if c.format == formatJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	t := newTable(out)
	printTable(t)
	return t.flush()
}

// table writes rows with aligned columns.
type table struct{ writer *tabwriter.Writer }

func newTable(out io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
}

// row writes one line; flush returns its errors.
func (t *table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	fmt.Fprintln(t.writer, strings.TrimRight(strings.Join(texts, "\t"), "\t"))
}

// blankLine ends a table; the columns of the next one are aligned on their own.
func (t *table) blankLine() { t.row() }

func (t *table) flush() error { return t.writer.Flush() }

// percent formats ten-thousandths as a percentage.
func percent(basisPoints int) string {
	return fmt.Sprintf("%g%%", float64(basisPoints)/basisPointsPerPercent)
}

func (t *table) tickets(statuses []ticket.Status) {
	t.row("TICKET", "STATE", "REVISION", "AT", "VERDICTS")
	for _, s := range statuses {
		t.row(s.Number, s.State, s.Revision, s.At.Format(time.RFC3339), verdictList(s.Rollouts))
	}
}

// verdictList lists the verdict of each rollout with its service.
func verdictList(rollouts []ticket.RolloutStatus) string {
	texts := make([]string, 0, len(rollouts))
	for _, r := range rollouts {
		texts = append(texts, fmt.Sprintf("%s: %s", r.Service, r.Verdict))
	}
	return strings.Join(texts, ", ")
}

func (t *table) ticket(s ticket.Status) {
	t.tickets([]ticket.Status{s})
	if len(s.Rollouts) > 0 {
		t.blankLine()
		t.rollouts(s.Rollouts)
	}
	for _, reason := range s.Reasons {
		t.row("refused: " + reason)
	}
	if len(s.Rejections) > 0 {
		t.blankLine()
		t.row("HOST", "COULD NOT", "FROM", "REASON")
	}
	for _, r := range s.Rejections {
		t.row(r.Host, r.Step, r.Peer, r.Reason)
	}
}

func (t *table) rollouts(rollouts []ticket.RolloutStatus) {
	t.row("SERVICE", "FROM", "TO", "VERDICT", "STEP", "SHARE", "DUE", "REASON")
	for _, m := range rollouts {
		t.row(m.Service, m.From, m.To, m.Verdict, m.Step, percent(m.Share), m.By.Format(time.RFC3339), m.Reason)
	}
}
