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

// ticketAt is the status of a ticket with one rollout.
func ticketAt(step string, verdict ticket.Verdict) response {
	status := accepted
	status.Rollouts = []ticket.RolloutStatus{{Service: "desk", From: "v1", To: "v2", Step: step, Verdict: verdict}}
	return response{200, status}
}

func TestWait(t *testing.T) {
	unavailable := response{503, admin.Error{Step: "show ticket", Message: "platform: unavailable"}}
	members := func(revisions ...uint64) response {
		status := admin.Status{Applied: revisions[0]}
		for _, r := range revisions {
			status.Members = append(status.Members, admin.MemberStatus{Status: "alive", Revision: r})
		}
		status.Members = append(status.Members, admin.MemberStatus{Status: "dead"}, admin.MemberStatus{Status: "alive", Leaving: true})
		return response{200, status}
	}
	cases := []struct {
		name     string
		tickets  []response
		statuses []response
		exit     subcommands.ExitStatus
		progress []string
	}{
		{"done", []response{ticketAt("canary", ticket.Running), ticketAt("ramp", ticket.Running), ticketAt("done", ticket.Completed)}, nil, ExitSuccess,
			[]string{"accepted at revision 5", "step canary", "step ramp", "desk: v1 to v2: done"}},
		{"rolled back", []response{ticketAt("canary", ticket.Running), ticketAt("back", ticket.RolledBack)}, nil, ExitFailed,
			[]string{"step canary", "taken-back"}},
		{"continues after an outage", []response{ticketAt("canary", ticket.Running), unavailable, unavailable, ticketAt("done", ticket.Completed)}, nil, ExitSuccess,
			[]string{"step canary", "retrying: daemon at", "step done"}},
		{"refused", []response{{200, ticket.Status{Number: 17, State: ticket.Refused}}}, nil, ExitFailed,
			[]string{"ticket 17 is refused"}},
		{"absent", []response{{404, admin.Error{Step: "show ticket", Message: "not found"}}}, nil, ExitBadInput,
			[]string{"not found"}},
		{"without rollouts", []response{{200, accepted}}, []response{members(5, 4, 5), members(5, 5, 6)}, ExitSuccess,
			[]string{"in force on 2 of 3 hosts", "in force on 3 of 3 hosts"}},
		{"status unavailable", []response{{200, accepted}}, []response{unavailable, members(5)}, ExitSuccess,
			[]string{"retrying", "in force on 1 of 1 hosts"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &daemon{responses: map[string][]response{
				"GET /v1/tickets/17":      c.tickets,
				"GET " + admin.PathStatus: c.statuses,
			}}
			got := run(t, "", "ticket", "wait", "-admin", d.serve(t), "-interval", "1ms", "17")
			is.Equal(got.exit, c.exit)
			remaining := got.stderr
			for _, want := range c.progress {
				_, after, found := strings.Cut(remaining, want)
				is.True(found) // in this order
				remaining = after
			}
		})
	}
}

func TestWaitIsInterrupted(t *testing.T) {
	unavailable := response{503, admin.Error{Step: "show ticket", Message: "unavailable"}}
	cases := []struct {
		name     string
		response response
		after    int
		exit     subcommands.ExitStatus
	}{
		{"still running", ticketAt("canary", ticket.Running), 3, ExitFailed},
		{"unreachable", unavailable, 3, ExitUnreachable},
		{"before the first response", unavailable, 1, ExitUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			d, address := daemonWith(t, "GET /v1/tickets/17", c.response)
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
	_, address := daemonWith(t, "GET /v1/tickets/17", ticketAt("canary", ticket.Running), ticketAt("canary", ticket.Running), ticketAt("done", ticket.Completed))
	got := run(t, "", "ticket", "wait", "-admin", address, "-interval", "1ms", "17")
	is.Equal(strings.Count(got.stderr, "step canary"), 1)
}
