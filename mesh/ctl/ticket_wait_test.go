package ctl

import (
	"context"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

func moving(step string, verdict ticket.Verdict) reply {
	status := accepted
	status.Rollouts = []ticket.RolloutStatus{{Service: "desk", From: "v1", To: "v2", Step: step, Verdict: verdict}}
	return reply{200, status}
}

func TestWait(t *testing.T) {
	out := reply{503, admin.Error{Step: "show ticket", Message: "platform: unavailable"}}
	members := func(revisions ...uint64) reply {
		view := admin.Status{Applied: revisions[0]}
		for _, r := range revisions {
			view.Members = append(view.Members, admin.MemberStatus{Status: "alive", Revision: r})
		}
		view.Members = append(view.Members, admin.MemberStatus{Status: "dead"}, admin.MemberStatus{Status: "alive", Leaving: true})
		return reply{200, view}
	}
	cases := []struct {
		name     string
		tickets  []reply
		views    []reply
		exit     subcommands.ExitStatus
		progress []string
	}{
		{"done", []reply{moving("canary", ticket.Running), moving("ramp", ticket.Running), moving("done", ticket.Completed)}, nil, ExitSuccess,
			[]string{"accepted at revision 5", "step canary", "step ramp", "desk: v1 to v2: done"}},
		{"taken back", []reply{moving("canary", ticket.Running), moving("back", ticket.RolledBack)}, nil, ExitFailed,
			[]string{"step canary", "taken-back"}},
		{"through an outage", []reply{moving("canary", ticket.Running), out, out, moving("done", ticket.Completed)}, nil, ExitSuccess,
			[]string{"step canary", "trying on: daemon at", "step done"}},
		{"refused", []reply{{200, ticket.Status{Number: 17, State: ticket.Refused}}}, nil, ExitFailed,
			[]string{"ticket 17 is refused"}},
		{"absent", []reply{{404, admin.Error{Step: "show ticket", Message: "not found"}}}, nil, ExitBadInput,
			[]string{"not found"}},
		{"without moves", []reply{{200, accepted}}, []reply{members(5, 4, 5), members(5, 5, 6)}, ExitSuccess,
			[]string{"in force on 2 of 3 hosts", "in force on 3 of 3 hosts"}},
		{"view out of reach", []reply{{200, accepted}}, []reply{out, members(5)}, ExitSuccess,
			[]string{"trying on", "in force on 1 of 1 hosts"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &daemon{replies: map[string][]reply{
				"GET /v1/tickets/17":      c.tickets,
				"GET " + admin.PathStatus: c.views,
			}}
			got := run(t, "", "ticket", "wait", "-admin", d.serve(t), "-interval", "1ms", "17")
			is.Equal(got.exit, c.exit)
			rest := got.stderr
			for _, want := range c.progress {
				_, after, found := strings.Cut(rest, want)
				is.True(found) // in this order
				rest = after
			}
		})
	}
}

func TestWaitIsCutOff(t *testing.T) {
	out := reply{503, admin.Error{Step: "show ticket", Message: "out"}}
	cases := []struct {
		name  string
		reply reply
		after int
		exit  subcommands.ExitStatus
	}{
		{"still running", moving("canary", ticket.Running), 3, ExitFailed},
		{"unreachable", out, 3, ExitUnreachable},
		{"before anything was known", out, 1, ExitUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			d, address := daemonWith(t, "GET /v1/tickets/17", c.reply)
			d.after = func(count int) {
				if count == c.after {
					cancel()
				}
			}
			got := runWithin(ctx, "", "ticket", "wait", "-admin", address, "-interval", "1ms", "17")
			is.Equal(got.exit, c.exit)
		})
	}
}

func TestWaitTimesOut(t *testing.T) {
	is := is.New(t)
	got := run(t, "", "ticket", "wait", "-admin", closedPort(t), "-interval", "1ms", "-timeout", "20ms", "17")
	is.Equal(got.exit, ExitUnreachable)
}

func TestProgressIsNotRepeated(t *testing.T) {
	is := is.New(t)
	_, address := daemonWith(t, "GET /v1/tickets/17", moving("canary", ticket.Running), moving("canary", ticket.Running), moving("done", ticket.Completed))
	got := run(t, "", "ticket", "wait", "-admin", address, "-interval", "1ms", "17")
	is.Equal(strings.Count(got.stderr, "step canary"), 1)
}
