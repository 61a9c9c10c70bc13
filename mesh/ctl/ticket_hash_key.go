package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"

	"sassafrasnotch.example/coord/revision"
)

// ticketHashKeyCommand prints the hash of an API key. It takes the key from the standard input only: the
// arguments of a process are visible to others and stay in the history of a shell.
type ticketHashKeyCommand struct{ env *Env }

func newTicketHashKey(env *Env) subcommands.Command { return &ticketHashKeyCommand{env: env} }

func (*ticketHashKeyCommand) Name() string     { return "hash-key" }
func (*ticketHashKeyCommand) Synopsis() string { return "print the hash of an API key" }
func (*ticketHashKeyCommand) Usage() string {
	return "sassafrasctl ticket hash-key\n" +
		"Reads an API key from the standard input and prints its hash, for the field keyHashes of\n" +
		"a ticket's tenants. A line end behind the key is not a part of it.\n" +
		"Example: sassafrasctl ticket hash-key < key.txt\n"
}

func (c *ticketHashKeyCommand) SetFlags(f *flag.FlagSet) { f.SetOutput(c.env.Stderr) }

func (c *ticketHashKeyCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := positionalArgs(f, 0); err != nil {
		return c.env.badInput(err)
	}
	const lineEnd = "\r\n"
	data, err := io.ReadAll(io.LimitReader(c.env.Stdin, int64(revision.MaxKeyBytes+len(lineEnd)+1)))
	if err != nil {
		return c.env.failed(err)
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
	if !revision.ValidKey(key) {
		return c.env.badInput(fmt.Errorf("%s ticket hash-key: the standard input does not hold one API key of 1 to %d visible ASCII characters", ProgramName, revision.MaxKeyBytes))
	}
	fmt.Fprintln(c.env.Stdout, revision.HashKey(key))
	return ExitSuccess
}
