package ctl

import (
	"context"
	"errors"
	"flag"

	"github.com/google/subcommands"
)

// ticketSubmitCommand submits a ticket and prints its status.
type ticketSubmitCommand struct{ clientCommand }

func newTicketSubmit(env *Env) subcommands.Command {
	return &ticketSubmitCommand{clientCommand{env: env}}
}

func (*ticketSubmitCommand) Name() string     { return "submit" }
func (*ticketSubmitCommand) Synopsis() string { return "submit a change ticket" }
func (*ticketSubmitCommand) Usage() string {
	return "sassafrasctl ticket submit [-admin ADDRESS,...] [-o table|json] FILE|-\n" +
		"Reads a ticket from a file, or from the standard input for \"-\". The ticket is\n" +
		"accepted or refused as a whole. Submitting it again reports the first result.\n" +
		"Example: sassafrasctl ticket submit -admin 10.0.0.1:7003,10.0.0.2:7003 ticket-17.json\n"
}

func (c *ticketSubmitCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	arguments, err := positionalArgs(f, 1)
	if err != nil {
		return c.env.badInput(err)
	}
	file, err := readTicket(c.env, arguments[0])
	if err != nil {
		return c.env.badInput(err)
	}
	client, err := c.client()
	if err != nil {
		return c.env.badInput(err)
	}
	status, err := client.Submit(ctx, file.data)
	if err != nil {
		var requestErr *RequestError
		if errors.As(err, &requestErr) {
			file.addLocations(requestErr.Response.Reasons)
		}
		return c.env.failed(err)
	}
	return c.print(status, func(t *table) { t.ticket(status) }, ticketExitStatus(status))
}
