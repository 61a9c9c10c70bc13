package ctl

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// ticketListCommand prints one line for each ticket.
type ticketListCommand struct {
	clientCommand
	after uint64
}

func newTicketList(env *Env) subcommands.Command {
	return &ticketListCommand{clientCommand: clientCommand{env: env}}
}

func (*ticketListCommand) Name() string     { return "list" }
func (*ticketListCommand) Synopsis() string { return "list the tickets and their verdicts" }
func (*ticketListCommand) Usage() string {
	return "sassafrasctl ticket list [-admin ADDRESS,...] [-after NUMBER] [-o table|json]\n" +
		"Example: sassafrasctl ticket list -after 100\n"
}

func (c *ticketListCommand) SetFlags(f *flag.FlagSet) {
	c.clientCommand.SetFlags(f)
	f.Uint64Var(&c.after, "after", 0, "list only tickets above this `number`")
}

func (c *ticketListCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := positionalArgs(f, 0); err != nil {
		return c.env.badInput(err)
	}
	client, err := c.client()
	if err != nil {
		return c.env.badInput(err)
	}
	statuses, err := client.Tickets(ctx, c.after)
	if err != nil {
		return c.env.failed(err)
	}
	return c.print(statuses, func(t *table) { t.tickets(statuses) }, ExitSuccess)
}
