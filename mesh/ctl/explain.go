package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/explain"
)

// defaultAround is the time before and after a request from which other log lines are shown.
// They can explain its outcome: a heartbeat and the spread of an update by gossip take about
// a second.
const defaultAround = 2 * time.Second

// explainCommand prints the log lines that the daemons wrote about one request.
type explainCommand struct {
	env    *Env
	around time.Duration
}

func newExplain(env *Env) subcommands.Command { return &explainCommand{env: env} }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "trace a request through log files" }
func (*explainCommand) Usage() string {
	return "sassafrasctl explain [-around 2s] REQUEST-ID FILE...|-\n" +
		"Prints the log lines of a request in order of time, the lines of the same hosts\n" +
		"from around that time, and how the request ended. Exits with 1 if no line\n" +
		"names the request. Lines of other programs are counted and skipped.\n" +
		"Example: sassafrasctl explain 9c41d07be2a35f68 host-a1.log host-b1.log\n"
}

func (e *explainCommand) SetFlags(f *flag.FlagSet) {
	f.SetOutput(e.env.Stderr)
	f.DurationVar(&e.around, "around", defaultAround, "`time` before and after the request from which other lines are shown")
}

func (e *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return e.env.badInput(fmt.Errorf("%s explain: needs a request id and at least one file", ProgramName))
	}
	logs, err := e.read(f.Args()[1:])
	if err != nil {
		return e.env.badInput(err)
	}
	account, err := logs.Explain(f.Arg(0), e.around)
	if errors.Is(err, explain.ErrUnknownRequest) {
		fmt.Fprintf(e.env.Stderr, "%v\nResponses of a target with a status below 500 are sampled; look for %q and %s too.\n",
			err, "log lines dropped", "sassafras_log_dropped_total")
		return ExitFailed
	}
	if err := e.print(account); err != nil {
		return e.env.failed(err)
	}
	return ExitSuccess
}

// read reads all files and prints how many lines of each it skipped.
func (e *explainCommand) read(names []string) (*explain.Logs, error) {
	logs := &explain.Logs{}
	for _, name := range names {
		skipped := logs.Unrecognized()
		if err := e.readFile(logs, name); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if skipped = logs.Unrecognized() - skipped; skipped > 0 {
			fmt.Fprintf(e.env.Stderr, "%s: skipped %d lines that are not from a daemon's log\n", name, skipped)
		}
	}
	return logs, nil
}

func (e *explainCommand) readFile(logs *explain.Logs, name string) error {
	source, err := openInput(e.env, name)
	if err != nil {
		return err
	}
	return errors.Join(logs.Read(source), source.Close())
}

func (e *explainCommand) print(account *explain.Trace) error {
	t := newTable(e.env.Stdout)
	t.row("AT", "HOST", "MESSAGE", "DETAILS")
	printLines(t, account.Lines)
	if len(account.Surrounding) > 0 {
		t.blankLine()
		t.row("AROUND IT", "HOST", "MESSAGE", "DETAILS")
		printLines(t, account.Surrounding)
	}
	t.blankLine()
	t.row(requestSummary(account))
	return t.flush()
}

func printLines(t *table, logLines []explain.Line) {
	for _, line := range logLines {
		t.row(line.At.Format("15:04:05.000000"), line.Host, line.Message, formatFields(line.Fields))
	}
}

// formatFields lists the fields in order of their names.
func formatFields(fields map[string]any) string {
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if name != "level" && name != "logger" && name != "request_id" && fields[name] != "" {
			texts = append(texts, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	return strings.Join(texts, " ")
}

// requestSummary states how the request ended.
func requestSummary(account *explain.Trace) string {
	end := account.Completion()
	if end == nil {
		return "request " + account.RequestID + ": no line ends it; a target answered it below 500, or the line was dropped"
	}
	return fmt.Sprintf("request %s: %s at %s: outcome %v, status %v, reason %v, step %v, peer %v",
		account.RequestID, end.Message, end.Host, orNotStated(end.Fields["outcome"]), orNotStated(end.Fields["status"]),
		orNotStated(end.Fields["reason"]), orNotStated(end.Fields["step"]), orNotStated(end.Fields["peer"])) + explanation(end)
}

// explanation states the cause of a reason that lies at another service than the one that was called,
// and whom a failed request takes along.
func explanation(end *explain.Line) string {
	text := ""
	if end.Fields["reason"] == string(entry.ReasonDependency) {
		text += "\nthe requests that its run would make at other services are refused for lack of room: look at those services"
	}
	if end.Fields["nested"] == true {
		text += "\na target made this request while it ran another one, which most likely failed with it"
	}
	return text
}

func orNotStated(value any) any {
	if value == nil || value == "" {
		return "not stated"
	}
	return value
}
