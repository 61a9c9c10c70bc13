// Package ctl is the operators' command line: it submits change tickets, follows
// them to their verdicts and shows the state of the system.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"sassafrasnotch.example/mesh/source"
)

// ProgramName is the name under which operators start the command line.
const ProgramName = "sassafrasctl"

// The exit codes of every command.
const (
	// ExitSuccess means that what was asked for is done.
	ExitSuccess subcommands.ExitStatus = 0
	// ExitFailed means a failure, a move that was taken back, or a ticket that
	// turns out to have been refused earlier.
	ExitFailed subcommands.ExitStatus = 1
	// ExitBadInput means a malformed command, settings file or ticket, or a
	// ticket that was refused when it was submitted.
	ExitBadInput subcommands.ExitStatus = 2
	// ExitUnreachable means that the platform or every daemon could not be
	// reached, or that the outcome is unknown.
	ExitUnreachable subcommands.ExitStatus = 3
)

// Env is what commands use of the process.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Now returns the present time.
	Now func() time.Time
	// Admin is the default of the -admin flag.
	Admin string
	// TLS holds the defaults of the -tls flags.
	TLS TLSFiles
	// DecodeConfiguration reads a configuration as operators write it to the
	// platform's store.
	DecodeConfiguration func(data []byte) (source.Configuration, error)
}

// TLSFiles name what the command line shows to admin ports with TLS and what it
// expects of them. It speaks TLS if any is set.
type TLSFiles struct {
	// CA, Certificate and Key are files in PEM form.
	CA, Certificate, Key string
	// Name is the name in the daemons' certificates; empty means the address.
	Name string
}

// CommandConstructor returns a command that works within env.
type CommandConstructor func(env *Env) subcommands.Command

// commandConstructors are the commandConstructors of this package, in the order of the help.
var commandConstructors = []CommandConstructor{
	newTicket,
	newStatus,
	newReport,
	newCheck,
	newExplain,
	newDemo,
}

// Run executes one command line and returns its exit code. Further commands
// come after those of this package.
func Run(ctx context.Context, env *Env, args []string, further ...CommandConstructor) subcommands.ExitStatus {
	return dispatch(ctx, env, ProgramName, args, append(append([]CommandConstructor{}, commandConstructors...), further...))
}

// dispatch executes the command of a group that the first argument names.
func dispatch(ctx context.Context, env *Env, name string, args []string, constructors []CommandConstructor) subcommands.ExitStatus {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	commander := subcommands.NewCommander(flags, name)
	commander.Output, commander.Error = env.Stdout, env.Stderr
	commander.Register(commander.HelpCommand(), "")
	for _, construct := range constructors {
		commander.Register(construct(env), "")
	}
	if err := flags.Parse(args); err != nil {
		return ExitBadInput
	}
	return commander.Execute(ctx)
}

// badInput reports bad input.
func (e *Env) badInput(err error) subcommands.ExitStatus {
	fmt.Fprintln(e.Stderr, err)
	return ExitBadInput
}

// failed reports an error and returns the exit code that it stands for.
func (e *Env) failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(e.Stderr, err)
	return exitStatus(err)
}
