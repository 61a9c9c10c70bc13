package ctl

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/google/subcommands"

	"sassafrasnotch.example/mesh/demo"
)

// demoCommand runs the demonstration of package demo.
type demoCommand struct {
	env   *Env
	serve time.Duration
}

func newDemo(env *Env) subcommands.Command { return &demoCommand{env: env} }

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run the whole system in this process, on loopback" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `sassafrasctl demo [-serve DURATION]
Starts stand-ins for the platform and the targets and six daemons in three
availability zones, moves traffic to a good and to a bad version under load, and
prints the measures. It takes about half a minute. With -serve it only starts
them, with load, and submits no further tickets, so that you can submit your own.
Example: sassafrasctl demo
Example: sassafrasctl demo -serve 30m
`
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.Stderr)
	f.DurationVar(&c.serve, "serve", 0, "`time` for which the system runs so that you can submit tickets")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	run := demo.Run
	if c.serve > 0 {
		run = func(ctx context.Context, out io.Writer) error { return demo.Serve(ctx, out, c.serve) }
	}
	if err := run(ctx, c.env.Stdout); err != nil {
		return c.env.failed(err)
	}
	return ExitSuccess
}
