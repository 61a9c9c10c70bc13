package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"sassafrasnotch.example/coord/ticket"
)

// defaultPollInterval is the default of the flag -interval.
const defaultPollInterval = 500 * time.Millisecond

// ticketWaitCommand polls a ticket until each of its rollouts has a verdict.
type ticketWaitCommand struct {
	clientCommand
	timeout  time.Duration
	interval time.Duration
}

func newTicketWait(env *Env) subcommands.Command {
	return &ticketWaitCommand{clientCommand: clientCommand{env: env}}
}

func (*ticketWaitCommand) Name() string     { return "wait" }
func (*ticketWaitCommand) Synopsis() string { return "wait for the verdicts on a ticket" }
func (*ticketWaitCommand) Usage() string {
	return "sassafrasctl ticket wait [-admin ADDRESS,...] [-timeout DURATION] [-o table|json] NUMBER\n" +
		"Prints the progress of each move on the standard error, and the verdicts at the end.\n" +
		"For a ticket without moves it waits until every host that is alive and not leaving\n" +
		"has the revision. Exits with 0 if every move is done and with 1 if one was taken back.\n" +
		"Example: sassafrasctl ticket wait -admin 10.0.0.1:7003,10.0.0.2:7003 -timeout 30m 17\n"
}

func (c *ticketWaitCommand) SetFlags(f *flag.FlagSet) {
	c.clientCommand.SetFlags(f)
	f.DurationVar(&c.timeout, "timeout", 0, "stop waiting after this `time`; 0 means no limit")
	f.DurationVar(&c.interval, "interval", defaultPollInterval, "`time` between polls")
}

func (c *ticketWaitCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	number, err := ticketNumber(f)
	if err != nil {
		return c.env.badInput(err)
	}
	if c.interval <= 0 {
		return c.env.badInput(errors.New("-interval must be above 0"))
	}
	client, err := c.client()
	if err != nil {
		return c.env.badInput(err)
	}
	if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	w := waiter{client: client, number: number, progress: progress{out: c.env.Stderr}}
	status, err := w.run(ctx, c.interval)
	if err != nil {
		return c.env.failed(err)
	}
	return c.print(status, func(t *table) { t.ticket(status) }, ticketExitStatus(status))
}

// waiter polls one ticket.
type waiter struct {
	client   *Client
	number   uint64
	progress progress
	// lastErr is the error of the latest poll that the end of the context did not interrupt.
	lastErr error
	// observed is set once the ticket has been read.
	observed bool
}

// run polls the ticket at each interval until it is settled. It continues while no daemon can be
// reached.
func (w *waiter) run(ctx context.Context, interval time.Duration) (ticket.Status, error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		status, settled, err := w.poll(ctx)
		if settled || (err != nil && !isRetriable(err)) {
			return status, err
		}
		if ctx.Err() == nil || !w.observed {
			w.progress.updateReachability(err)
			w.lastErr = err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return status, w.timeoutError()
		}
	}
}

// poll returns the status of the ticket and whether it is final.
func (w *waiter) poll(ctx context.Context) (ticket.Status, bool, error) {
	status, err := w.client.Ticket(ctx, w.number)
	if err != nil {
		return status, false, err
	}
	w.observed = true
	w.progress.printTicket(status)
	if status.State == ticket.Refused {
		return status, true, nil
	}
	if len(status.Rollouts) > 0 {
		return status, hasAllVerdicts(status), nil
	}
	settled, err := w.inForce(ctx, status.Revision)
	return status, settled, err
}

// inForce reports whether the queried daemon and every member that is alive and not leaving have
// applied the revision.
func (w *waiter) inForce(ctx context.Context, revision uint64) (bool, error) {
	status, err := w.client.Status(ctx)
	if err != nil {
		return false, err
	}
	applied, alive := 0, 0
	for _, member := range status.Members {
		if member.Leaving || member.Status != memberAlive {
			continue
		}
		alive++
		if member.Revision >= revision {
			applied++
		}
	}
	w.progress.printHosts(applied, alive)
	return status.Applied >= revision && applied == alive, nil
}

// timeoutError returns the error of a wait that ended before the ticket was settled.
func (w *waiter) timeoutError() error {
	if w.lastErr != nil {
		return w.lastErr
	}
	return fmt.Errorf("ticket %d: no verdict before the wait ended", w.number)
}

// hasAllVerdicts reports whether no rollout of the ticket is running.
func hasAllVerdicts(status ticket.Status) bool {
	for _, rollout := range status.Rollouts {
		if rollout.Verdict == ticket.Running {
			return false
		}
	}
	return true
}

// ticketExitStatus returns the exit code for the status of a ticket.
func ticketExitStatus(status ticket.Status) subcommands.ExitStatus {
	if status.State == ticket.Refused {
		return ExitFailed
	}
	for _, rollout := range status.Rollouts {
		if rollout.Verdict == ticket.RolledBack {
			return ExitFailed
		}
	}
	return ExitSuccess
}
