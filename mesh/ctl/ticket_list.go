package ctl

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// ticketList prints one line for each ticket.
type ticketList struct {
	common
	after uint64
}

func newTicketList(env *Env) subcommands.Command { return &ticketList{common: common{env: env}} }

func (*ticketList) Name() string     { return "list" }
func (*ticketList) Synopsis() string { return "list the tickets and their verdicts" }
func (*ticketList) Usage() string {
	return "sassafrasctl ticket list [-admin ADDRESS,...] [-after NUMBER] [-o table|json]\n" +
		"Example: sassafrasctl ticket list -after 100\n"
}

func (c *ticketList) SetFlags(f *flag.FlagSet) {
	c.common.SetFlags(f)
	f.Uint64Var(&c.after, "after", 0, "list only tickets above this `number`")
}

func (c *ticketList) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := positional(f, 0); err != nil {
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
