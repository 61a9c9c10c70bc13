package ctl

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/admin"
)

// memberAlive is the status of a member that responds to probes.
const memberAlive = "alive"

// statusCommand prints the status of the system as the daemons report it.
type statusCommand struct{ clientCommand }

func newStatus(env *Env) subcommands.Command { return &statusCommand{clientCommand{env: env}} }

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "show availability zones, daemons, targets and running moves"
}
func (*statusCommand) Usage() string {
	return "sassafrasctl status [-admin ADDRESS,...] [-o table|json]\n" +
		"Requests the member list from the first daemon that can be reached, and from each\n" +
		"member its own status. Daemons that do not respond are named.\n" +
		"Example: sassafrasctl status -admin 10.0.0.1:7003\n"
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := positionalArgs(f, 0); err != nil {
		return c.env.badInput(err)
	}
	client, err := c.client()
	if err != nil {
		return c.env.badInput(err)
	}
	queried, err := client.Status(ctx)
	if err != nil {
		return c.env.failed(err)
	}
	combined := newOverview(queried, queryMembers[admin.Status](ctx, client, queried.Members, admin.PathStatus))
	return c.print(combined, func(t *table) { t.overview(combined) }, ExitSuccess)
}

func (t *table) overview(o overview) {
	t.row("ZONE", "DAEMONS", "ANSWERED", "NEWEST", "LOWEST", fmt.Sprintf("LAG BEHIND %s", store.Position(o.LatestRevision)))
	for _, z := range o.Zones {
		t.row(z.Zone, formatCounts(z.Status), z.Answered, revisionOrMissing(z.NewestApplied), revisionOrMissing(z.OldestApplied), orMissing(z.Lag))
	}
	t.blankLine()
	t.daemons(o.Daemons)
	t.blankLine()
	t.targets(o.Targets)
	if evacuated := o.evacuated(); len(evacuated) > 0 {
		t.blankLine()
		t.evacuated(evacuated, o.Zones)
	}
	if len(o.Rollouts) > 0 {
		t.blankLine()
		t.runningRollouts(o.Rollouts)
	}
	for _, d := range o.Daemons {
		t.problems(d.OwnStatus)
	}
}

// formatCounts lists counts in order of their names.
func formatCounts(counts map[string]int) string {
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(texts, ", ")
}

// orMissing formats a value; nil is missing.
func orMissing(value *uint64) string {
	if value == nil {
		return missing
	}
	return fmt.Sprint(*value)
}

// revisionOrMissing formats a revision, with the era of the store if that is not the first one; nil is
// missing.
func revisionOrMissing(value *uint64) string {
	if value == nil {
		return missing
	}
	return store.Position(*value).String()
}

func (t *table) daemons(daemons []daemonOverview) {
	t.row("DAEMON", "ZONE", "STATUS", "APPLIED", "AT", "PLATFORM", "SENT", "RECEIVED")
	for _, d := range daemons {
		if reported := d.OwnStatus; reported != nil {
			t.row(d.Host, d.Zone, memberState(d.MemberStatus), store.Position(reported.Applied), reported.AppliedAt.Format(time.RFC3339),
				reachability(reported.PlatformReachable), reported.ControlBytes.Sent, reported.ControlBytes.Received)
			continue
		}
		t.row(d.Host, d.Zone, memberState(d.MemberStatus), fmt.Sprintf("no answer from %s; last told %s", d.AdminAddress, store.Position(d.Revision)))
	}
}

// targets prints the number of targets of each version by state, then the targets that are not
// ready.
func (t *table) targets(targets []admin.TargetStatus) {
	type version struct{ service, name string }
	counts := make(map[version]map[string]int)
	var order []version
	var unready []admin.TargetStatus
	for _, target := range targets {
		v := version{target.Service, target.Version}
		if counts[v] == nil {
			counts[v] = make(map[string]int)
			order = append(order, v)
		}
		counts[v][target.State]++
		if target.State != targetReady {
			unready = append(unready, target)
		}
	}
	t.row("SERVICE", "VERSION", "TARGETS")
	for _, v := range order {
		t.row(v.service, v.name, formatCounts(counts[v]))
	}
	if len(unready) == 0 {
		return
	}
	t.blankLine()
	t.row("NOT READY", "SERVICE", "VERSION", "ZONE", "STATE", "OUTSTANDING", "SLOTS")
	for _, u := range unready {
		t.row(u.Host, u.Service, u.Version, u.Zone, u.State, u.Outstanding, u.Slots)
	}
}

// runningRollouts prints the running rollouts and the hosts that control them.
func (t *table) runningRollouts(rollouts []rolloutOverview) {
	t.row("MOVE OF", "FROM", "TO", "STEP", "SHARE", "DUE", "HELD BY")
	for _, m := range rollouts {
		holder := strings.Join(m.Holders, ", ")
		if holder == "" {
			holder = "no daemon that answered"
		}
		t.row(m.Service, m.From, m.To, m.Step, percent(m.Share), m.By.Format(time.RFC3339), holder)
	}
}

// problems prints the dangling references and the last rejection of a daemon.
func (t *table) problems(s *admin.Status) {
	if s == nil {
		return
	}
	if len(s.Dangling) > 0 {
		t.row(s.Host + ": dangling: " + strings.Join(s.Dangling, ", "))
	}
	if s.LastRejection != "" {
		t.row(s.Host + ": last rejection: " + s.LastRejection)
	}
}

func reachability(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "unreachable"
}

func memberState(m admin.MemberStatus) string {
	if m.Leaving {
		return m.Status + ", leaving"
	}
	return m.Status
}
