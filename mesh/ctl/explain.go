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

	"sassafrasnotch.example/mesh/explain"
)

// aroundDefault is the time before and after a request in which other lines may
// tell its cause: a heartbeat and the spread of news by gossip take about a second.
const aroundDefault = 2 * time.Second

// explainRequest prints a request's way through the logs of the daemons.
type explainRequest struct {
	env    *Env
	around time.Duration
}

func newExplain(env *Env) subcommands.Command { return &explainRequest{env: env} }

func (*explainRequest) Name() string     { return "explain" }
func (*explainRequest) Synopsis() string { return "find a request's way through log files" }
func (*explainRequest) Usage() string {
	return "sassafrasctl explain [-around 2s] REQUEST-ID FILE...|-\n" +
		"Prints the log lines of a request in the order of time, those of the hosts\n" +
		"concerned around it, and the decision that ended it. Exits with 1 if no line\n" +
		"names the request. Lines of other programs are counted and passed over.\n" +
		"Example: sassafrasctl explain 9c41d07be2a35f68 host-a1.log host-b1.log\n"
}

func (e *explainRequest) SetFlags(f *flag.FlagSet) {
	f.SetOutput(e.env.Stderr)
	f.DurationVar(&e.around, "around", aroundDefault, "`time` before and after the request from which other lines are shown")
}

func (e *explainRequest) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return e.env.badInput(fmt.Errorf("%s explain: needs a request id and at least one file", ProgramName))
	}
	logs, err := e.read(f.Args()[1:])
	if err != nil {
		return e.env.badInput(err)
	}
	account, err := logs.Explain(f.Arg(0), e.around)
	if errors.Is(err, explain.ErrUnknown) {
		fmt.Fprintf(e.env.Stderr, "%v\nAnswers of a target below 500 are sampled; look for %q and %s too.\n",
			err, "log lines dropped", "sassafras_log_dropped_total")
		return ExitFailed
	}
	if err := e.print(account); err != nil {
		return e.env.failed(err)
	}
	return ExitSuccess
}

func (e *explainRequest) read(names []string) (*explain.Logs, error) {
	logs := &explain.Logs{}
	for _, name := range names {
		foreign := logs.Foreign()
		if err := e.readFile(logs, name); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if foreign = logs.Foreign() - foreign; foreign > 0 {
			fmt.Fprintf(e.env.Stderr, "%s: %d lines are not of a daemon and passed over\n", name, foreign)
		}
	}
	return logs, nil
}

func (e *explainRequest) readFile(logs *explain.Logs, name string) error {
	source, err := openSource(e.env, name)
	if err != nil {
		return err
	}
	return errors.Join(logs.Read(source), source.Close())
}

func (e *explainRequest) print(account *explain.Account) error {
	t := newTable(e.env.Stdout)
	t.row("AT", "HOST", "MESSAGE", "DETAILS")
	lines(t, account.Lines)
	if len(account.Around) > 0 {
		t.gap()
		t.row("AROUND IT", "HOST", "MESSAGE", "DETAILS")
		lines(t, account.Around)
	}
	t.gap()
	t.row(verdictOf(account))
	return t.flush()
}

func lines(t *table, all []explain.Line) {
	for _, line := range all {
		t.row(line.At.Format("15:04:05.000000"), line.Host, line.Message, details(line.Fields))
	}
}

// details lists the fields by name.
func details(fields map[string]any) string {
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if name != "level" && name != "logger" && name != "request_id" && fields[name] != "" {
			texts = append(texts, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	return strings.Join(texts, " ")
}

// verdictOf states what ended the request.
func verdictOf(account *explain.Account) string {
	end := account.End()
	if end == nil {
		return "request " + account.RequestID + ": no line ends it; a target answered it below 500, or the line was dropped"
	}
	return fmt.Sprintf("request %s: %s at %s: outcome %v, status %v, reason %v, step %v, peer %v",
		account.RequestID, end.Message, end.Host, orUnknown(end.Fields["outcome"]), orUnknown(end.Fields["status"]),
		orUnknown(end.Fields["reason"]), orUnknown(end.Fields["step"]), orUnknown(end.Fields["peer"]))
}

func orUnknown(value any) any {
	if value == nil || value == "" {
		return "not stated"
	}
	return value
}
