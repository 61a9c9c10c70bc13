package ctl

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// ticketShowCommand prints the status of a ticket.
type ticketShowCommand struct{ clientCommand }

func newTicketShow(env *Env) subcommands.Command { return &ticketShowCommand{clientCommand{env: env}} }

func (*ticketShowCommand) Name() string     { return "show" }
func (*ticketShowCommand) Synopsis() string { return "show the status of a ticket" }
func (*ticketShowCommand) Usage() string {
	return "sassafrasctl ticket show [-admin ADDRESS,...] [-o table|json] NUMBER\n" +
		"Example: sassafrasctl ticket show -o json 17\n"
}

func (c *ticketShowCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	number, err := ticketNumber(f)
	if err != nil {
		return c.env.badInput(err)
	}
	client, err := c.client()
	if err != nil {
		return c.env.badInput(err)
	}
	status, err := client.Ticket(ctx, number)
	if err != nil {
		return c.env.failed(err)
	}
	return c.print(status, func(t *table) { t.ticket(status) }, ticketExitStatus(status))
}
