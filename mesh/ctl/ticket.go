package ctl

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/google/subcommands"
)

// ticketSubcommands construct the commands of the group "ticket".
var ticketSubcommands = []CommandConstructor{
	newTicketSubmit,
	newTicketShow,
	newTicketWait,
	newTicketList,
	newTicketHashKey,
}

// ticketGroup runs the commands on tickets.
type ticketGroup struct{ env *Env }

func newTicket(env *Env) subcommands.Command { return &ticketGroup{env: env} }

func (*ticketGroup) Name() string { return "ticket" }
func (*ticketGroup) Synopsis() string {
	return "submit, show, wait for and list change tickets, and hash API keys for them"
}
func (*ticketGroup) Usage() string {
	return "sassafrasctl ticket submit|show|wait|list|hash-key ...\n" +
		"Example: sassafrasctl ticket submit -admin 10.0.0.1:7003 ticket-17.json\n" +
		"See \"sassafrasctl ticket help submit\" and so on.\n"
}
func (*ticketGroup) SetFlags(*flag.FlagSet) {}

func (g *ticketGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return dispatch(ctx, g.env, ProgramName+" ticket", f.Args(), ticketSubcommands)
}

// ticketNumber reads the number of a ticket from the only argument.
func ticketNumber(f *flag.FlagSet) (uint64, error) {
	arguments, err := positionalArgs(f, 1)
	if err != nil {
		return 0, err
	}
	number, err := strconv.ParseUint(arguments[0], 10, 64)
	if err != nil || number == 0 {
		return 0, fmt.Errorf("%s ticket %s: %q is not a ticket number; expected a whole number above 0", ProgramName, f.Name(), arguments[0])
	}
	return number, nil
}
