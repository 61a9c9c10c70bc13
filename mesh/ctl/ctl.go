// Package ctl implements the operators' command line. It submits change tickets, waits for
// their verdicts and shows the state of the system.
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

// ProgramName is the name of the command-line program.
const ProgramName = "sassafrasctl"

// The exit codes of every command.
const (
	// ExitSuccess means that the command did what was requested.
	ExitSuccess subcommands.ExitStatus = 0
	// ExitFailed means a failure, a rollout that was rolled back, or a ticket that
	// was refused earlier.
	ExitFailed subcommands.ExitStatus = 1
	// ExitBadInput means a malformed command, settings file or ticket, or a
	// ticket that was refused when it was submitted.
	ExitBadInput subcommands.ExitStatus = 2
	// ExitUnreachable means that the platform or every daemon could not be
	// reached, or that the outcome is unknown.
	ExitUnreachable subcommands.ExitStatus = 3
)

// Env is the process environment of the commands.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Now returns the current time.
	Now func() time.Time
	// Admin is the default of the -admin flag: addresses, separated by commas.
	Admin string
	// TLS holds the defaults of the -tls flags.
	TLS TLSFiles
	// DecodeConfiguration reads a configuration as operators write it to the
	// platform's store.
	DecodeConfiguration func(data []byte) (source.Configuration, error)
}

// TLSFiles name the certificate that the command line presents to admin ports and what it
// requires of theirs. TLS is used if any field is set.
type TLSFiles struct {
	// CA, Certificate and Key are files in PEM form.
	CA, Certificate, Key string
	// Name is the expected name in the daemons' certificates; empty means the address.
	Name string
}

// CommandConstructor returns a command that uses env.
type CommandConstructor func(env *Env) subcommands.Command

// commandConstructors construct the commands of this package, in the order of the help text.
var commandConstructors = []CommandConstructor{
	newTicket,
	newStatus,
	newReport,
	newCheck,
	newExplain,
	newEvacuate,
	newDemo,
}

// Run executes one command line and returns its exit code. The further commands are listed
// after those of this package.
func Run(ctx context.Context, env *Env, args []string, further ...CommandConstructor) subcommands.ExitStatus {
	return dispatch(ctx, env, ProgramName, args, append(append([]CommandConstructor{}, commandConstructors...), further...))
}

// dispatch executes the command of the group that the first argument names.
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

// badInput prints an error about the command line or its input and returns ExitBadInput.
func (e *Env) badInput(err error) subcommands.ExitStatus {
	fmt.Fprintln(e.Stderr, err)
	return ExitBadInput
}

// failed prints an error and returns the exit code for it.
func (e *Env) failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(e.Stderr, err)
	return exitStatus(err)
}
