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

	"sassafrasnotch.example/mesh/admin"
)

// memberAlive is the status of a member that answers probes.
const memberAlive = "alive"

// status prints the system as the daemons see it.
type status struct{ common }

func newStatus(env *Env) subcommands.Command { return &status{common{env: env}} }

func (*status) Name() string { return "status" }
func (*status) Synopsis() string {
	return "show availability zones, daemons, targets and running moves"
}
func (*status) Usage() string {
	return "sassafrasctl status [-admin ADDRESS,...] [-o table|json]\n" +
		"Asks the first daemon that can be reached for the members, and each of them for\n" +
		"its own view. Daemons that do not answer are named.\n" +
		"Example: sassafrasctl status -admin 10.0.0.1:7003\n"
}

func (c *status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := positional(f, 0); err != nil {
		return c.env.badInput(err)
	}
	client, err := c.client()
	if err != nil {
		return c.env.badInput(err)
	}
	asked, err := client.Status(ctx)
	if err != nil {
		return c.env.failed(err)
	}
	view := newOverview(asked, askMembers[admin.Status](ctx, client, asked.Members, admin.PathStatus))
	return c.print(view, func(t *table) { t.overview(view) }, ExitSuccess)
}

func (t *table) overview(o overview) {
	t.row("ZONE", "DAEMONS", "ANSWERED", "NEWEST", "LOWEST", fmt.Sprintf("LAG BEHIND %d", o.Head))
	for _, z := range o.Zones {
		t.row(z.Zone, byStatus(z.Status), z.Answered, known(z.Newest), known(z.Lowest), known(z.Lag))
	}
	t.gap()
	t.daemons(o.Daemons)
	t.gap()
	t.targets(o.Targets)
	if len(o.Moves) > 0 {
		t.gap()
		t.heldMoves(o.Moves)
	}
	for _, d := range o.Daemons {
		t.faults(d.Own)
	}
}

// byStatus lists counts in the order of the names.
func byStatus(counts map[string]int) string {
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(texts, ", ")
}

func known(value *uint64) string {
	if value == nil {
		return missing
	}
	return fmt.Sprint(*value)
}

func (t *table) daemons(daemons []daemonView) {
	t.row("DAEMON", "ZONE", "STATUS", "APPLIED", "AT", "PLATFORM", "SENT", "RECEIVED")
	for _, d := range daemons {
		if own := d.Own; own != nil {
			t.row(d.Host, d.Zone, memberState(d.MemberStatus), own.Applied, own.AppliedAt.Format(time.RFC3339),
				reachability(own.PlatformReachable), own.ControlBytes.Sent, own.ControlBytes.Received)
			continue
		}
		t.row(d.Host, d.Zone, memberState(d.MemberStatus), fmt.Sprintf("no answer from %s; last told %d", d.AdminAddress, d.Revision))
	}
}

// targets counts the targets of each version by state, and names those that are
// not ready.
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
		t.row(v.service, v.name, byStatus(counts[v]))
	}
	if len(unready) == 0 {
		return
	}
	t.gap()
	t.row("NOT READY", "SERVICE", "VERSION", "ZONE", "STATE", "OUTSTANDING", "SLOTS")
	for _, u := range unready {
		t.row(u.Host, u.Service, u.Version, u.Zone, u.State, u.Outstanding, u.Slots)
	}
}

// heldMoves prints the running moves and the hosts that control them.
func (t *table) heldMoves(moves []moveView) {
	t.row("MOVE OF", "FROM", "TO", "STEP", "SHARE", "DUE", "HELD BY")
	for _, m := range moves {
		holder := strings.Join(m.Holders, ", ")
		if holder == "" {
			holder = "no daemon that answered"
		}
		t.row(m.Service, m.From, m.To, m.Step, percent(m.Share), m.By.Format(time.RFC3339), holder)
	}
}

// faults prints what should not be there.
func (t *table) faults(s *admin.Status) {
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
