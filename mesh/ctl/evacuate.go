package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/subcommands"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

// evacuateLimit bounds the wait until all daemons that answer have the order in force.
const evacuateLimit = 10 * time.Second

// evacuateCommand submits a ticket that evacuates an availability zone or takes that back, and waits until it is
// in force.
type evacuateCommand struct {
	clientCommand
	undo   bool
	number uint64
}

func newEvacuate(env *Env) subcommands.Command {
	return &evacuateCommand{clientCommand: clientCommand{env: env}}
}

func (*evacuateCommand) Name() string { return "evacuate" }
func (*evacuateCommand) Synopsis() string {
	return "send nothing more to the targets of an availability zone"
}
func (*evacuateCommand) Usage() string {
	return "sassafrasctl evacuate [-undo] [-number NUMBER] [-admin ADDRESS,...] [-o table|json] ZONE\n" +
		"Submits a ticket by which the targets of the zone receive no requests, or with -undo one\n" +
		"that takes the evacuation back, and waits until the daemons that answer have it in force.\n" +
		"An unknown zone, and the last zone that is left, are refused. Where operators write the\n" +
		"configuration to the store, the row op/evacuate/ZONE is the order, and not a ticket.\n" +
		"Example: sassafrasctl evacuate -admin 10.0.0.1:7003 zone-a\n"
}

func (c *evacuateCommand) SetFlags(f *flag.FlagSet) {
	c.clientCommand.SetFlags(f)
	f.BoolVar(&c.undo, "undo", false, "take the evacuation back")
	f.Uint64Var(&c.number, "number", 0, "`number` of the ticket; 0 means the one after the highest")
}

func (c *evacuateCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	arguments, err := positionalArgs(f, 1)
	if err != nil {
		return c.env.badInput(err)
	}
	client, err := c.client()
	if err != nil {
		return c.env.badInput(err)
	}
	zone := arguments[0]
	present, err := client.Status(ctx)
	if err != nil {
		return c.env.failed(err)
	}
	result := evacuation{Zone: zone, Evacuated: !c.undo}
	if slices.Contains(present.Evacuated, zone) != c.undo {
		result.Unchanged = true // ordered before, also by another operator
	} else if result.Ticket, err = c.submit(ctx, client, zone); err != nil {
		return c.env.failed(err)
	}
	result.await(ctx, client)
	return c.print(result, func(t *table) { t.evacuation(result) }, result.exitStatus())
}

// submit submits the ticket of the order and returns its number.
func (c *evacuateCommand) submit(ctx context.Context, client *Client, zone string) (uint64, error) {
	order := ticket.Ticket{Number: c.number}
	if c.undo {
		order.Comment = "end of the evacuation of " + zone
		order.Delete = []revision.Ref{{Kind: revision.KindEvacuation, Name: zone}}
	} else {
		order.Comment = "evacuation of " + zone
		order.Evacuations = []revision.Evacuation{{Zone: zone}}
	}
	if order.Number == 0 {
		tickets, err := client.Tickets(ctx, 0)
		if err != nil {
			return 0, err
		}
		for _, earlier := range tickets {
			order.Number = max(order.Number, earlier.Number)
		}
		order.Number++
	}
	data, err := json.Marshal(order)
	if err != nil {
		return 0, err
	}
	status, err := client.Submit(ctx, data)
	if err == nil && status.State != ticket.Accepted {
		err = errors.New("the ticket was refused earlier")
	}
	return order.Number, err
}

// evacuation is the result of the command.
type evacuation struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	// Unchanged is set if the order was in force before.
	Unchanged bool   `json:"unchanged,omitempty"`
	Ticket    uint64 `json:"ticket,omitempty"`
	// InForce and Pending are the hosts on which the order is in force and is not; Silent did not answer.
	InForce []string `json:"inForce"`
	Pending []string `json:"pending,omitempty"`
	Silent  []string `json:"silent,omitempty"`
}

// await waits until the order is in force on all daemons that answer.
func (e *evacuation) await(ctx context.Context, client *Client) {
	ctx, cancel := context.WithTimeout(ctx, evacuateLimit)
	defer cancel()
	for {
		e.observe(ctx, client)
		if len(e.Pending) == 0 && len(e.InForce) > 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(defaultPollInterval):
		}
	}
}

// observe asks all members whether the order is in force. It keeps the last result if none answers.
func (e *evacuation) observe(ctx context.Context, client *Client) {
	queried, err := client.Status(ctx)
	if err != nil {
		return
	}
	e.InForce, e.Pending, e.Silent = nil, nil, nil
	for _, daemon := range newOverview(queried, queryMembers[admin.Status](ctx, client, queried.Members, admin.PathStatus)).Daemons {
		switch {
		case daemon.OwnStatus == nil:
			e.Silent = append(e.Silent, daemon.Host)
		case slices.Contains(daemon.OwnStatus.Evacuated, e.Zone) == e.Evacuated:
			e.InForce = append(e.InForce, daemon.Host)
		default:
			e.Pending = append(e.Pending, daemon.Host)
		}
	}
}

func (e *evacuation) exitStatus() subcommands.ExitStatus {
	if len(e.Pending) > 0 || len(e.InForce) == 0 {
		return ExitFailed
	}
	return ExitSuccess
}

func (t *table) evacuation(e evacuation) {
	state := "receives requests"
	if e.Evacuated {
		state = "is evacuated"
	}
	if e.Unchanged {
		state += " already"
	}
	t.row(fmt.Sprintf("zone %s %s on %d daemons", e.Zone, state, len(e.InForce)))
	for _, host := range e.Pending {
		t.row(host + ": not in force")
	}
	for _, host := range e.Silent {
		t.row(host + ": no answer")
	}
}

// evacuated returns the evacuated zones with the number of daemons that have the order in force.
func (o *overview) evacuated() map[string]int {
	zones := make(map[string]int)
	for _, d := range o.Daemons {
		if d.OwnStatus != nil {
			for _, zone := range d.OwnStatus.Evacuated {
				zones[zone]++
			}
		}
	}
	return zones
}

// evacuated prints the evacuated zones, with a remark on those in which no daemon is: the name may be mistyped.
func (t *table) evacuated(zones map[string]int, known []zoneOverview) {
	t.row("EVACUATED ZONE", "IN FORCE ON")
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		remark := ""
		if !slices.ContainsFunc(known, func(z zoneOverview) bool { return z.Zone == zone }) {
			remark = "no daemon is known there"
		}
		t.row(zone, fmt.Sprintf("%d daemons", zones[zone]), remark)
	}
}
