package ticket

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

var now = time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)

// state returns a snapshot of one service with two versions, set by ticket 10.
func state(t *testing.T) *revision.Snapshot {
	t.Helper()
	snapshot, err := revision.Empty().Preview(&revision.Change{Revision: 1, Ticket: 10, Put: []revision.Resource{
		{Service: &revision.Service{Name: "desk"}},
		{Version: &revision.Version{Service: "desk", Name: "v1"}},
		{Version: &revision.Version{Service: "desk", Name: "v2"}},
		{Split: &revision.Split{Service: "desk", Shares: []revision.Share{{Version: "v1", Weight: revision.FullShare}}}},
		{Route: &revision.Route{Name: "desk", Service: "desk", Prefix: "/desk"}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func TestDecide(t *testing.T) {
	rollout := RolloutRequest{Service: "desk", To: "v2", By: now.Add(time.Hour)}
	tests := []struct {
		name    string
		ticket  Ticket
		reasons []string // parts of the expected reasons; empty if the ticket is accepted
	}{
		{"a rollout", Ticket{Number: 11, Rollouts: []RolloutRequest{rollout}}, nil},
		{"a route", Ticket{Number: 11, Routes: []revision.Route{{Name: "new", Service: "desk", Prefix: "/new"}}}, nil},
		{"no number", Ticket{Rollouts: []RolloutRequest{rollout}}, []string{"number:", "superseded by ticket 10"}},
		{"no content", Ticket{Number: 11}, []string{"changes nothing"}},
		{"lower number than the ticket that set the resource", Ticket{Number: 9, Rollouts: []RolloutRequest{rollout}}, []string{"split/desk: superseded by ticket 10"}},
		{"deadline in the past", Ticket{Number: 11, Rollouts: []RolloutRequest{{Service: "desk", To: "v2", By: now}}}, []string{"has passed"}},
		{"rollout to a version that does not exist", Ticket{Number: 11, Rollouts: []RolloutRequest{{Service: "desk", To: "v9", By: now.Add(time.Hour)}}}, []string{`version "v9"`}},
		{"rollout to the version that carries the traffic", Ticket{Number: 11, Rollouts: []RolloutRequest{{Service: "desk", To: "v1", By: now.Add(time.Hour)}}}, []string{"already carries"}},
		{"rollout of a service that does not exist", Ticket{Number: 11, Rollouts: []RolloutRequest{{Service: "studio", To: "v1", By: now.Add(time.Hour)}}}, []string{"no split"}},
		{"route to a service that does not exist", Ticket{Number: 11, Routes: []revision.Route{{Name: "x", Service: "studio", Prefix: "/x"}}}, []string{`service "studio" does not exist`}},
		{"shares that do not sum to the whole", Ticket{Number: 11, Splits: []revision.Split{{Service: "desk", Shares: []revision.Share{{Version: "v1", Weight: 1}}}}}, []string{"sum to 1"}},
		{"deletes a version in use", Ticket{Number: 11, Delete: []revision.Ref{{Kind: revision.KindVersion, Name: "desk/v1"}}}, []string{`version "v1"`}},
		{"deletes a route that does not exist", Ticket{Number: 11, Delete: []revision.Ref{{Kind: revision.KindRoute, Name: "y"}}}, []string{"does not exist"}},
		{"several reasons", Ticket{Number: 11, Routes: []revision.Route{{Name: "X", Service: "studio", Prefix: "x"}}}, []string{"is not a valid name", "does not start with /", "studio"}},
		{"a rollout with a relative deadline", Ticket{Number: 11, Rollouts: []RolloutRequest{{Service: "desk", To: "v2", Within: revision.Duration(time.Hour)}}}, nil},
		{"two deadlines", Ticket{Number: 11, Rollouts: []RolloutRequest{{Service: "desk", To: "v2", By: now.Add(time.Hour), Within: 1}}}, []string{"already given by \"by\""}},
		{"no deadline", Ticket{Number: 11, Rollouts: []RolloutRequest{{Service: "desk", To: "v2"}}}, []string{"a deadline is required"}},
		{"negative relative deadline", Ticket{Number: 11, Rollouts: []RolloutRequest{{Service: "desk", To: "v2", Within: -1}}}, []string{"the duration is negative"}},
		{"a tenant", Ticket{Number: 11, Tenants: []revision.Tenant{{Name: "north", KeyHashes: []string{revision.HashKey("k")}}}}, nil},
		{"one key of two tenants", Ticket{Number: 11, Tenants: []revision.Tenant{{Name: "north", KeyHashes: []string{revision.HashKey("k")}}, {Name: "east", KeyHashes: []string{revision.HashKey("k")}}}}, []string{"tenant/north: keyHashes[0] is already that of tenant \"east\""}},
		{"a tenant twice", Ticket{Number: 11, Tenants: []revision.Tenant{{Name: "north"}, {Name: "north"}}}, []string{"tenant/north: named more than once"}},
		{"invalid name of a tenant", Ticket{Number: 11, Tenants: []revision.Tenant{{Name: "North"}}}, []string{"tenants[0].name"}},
		{"deletes a tenant that does not exist", Ticket{Number: 11, Delete: []revision.Ref{{Kind: revision.KindTenant, Name: "north"}}}, []string{"tenant/north: does not exist"}},
		{"names a resource twice", Ticket{Number: 11, Rollouts: []RolloutRequest{rollout, rollout}}, []string{"more than once"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			decision, err := test.ticket.Decide(state(t), now)
			if len(test.reasons) == 0 {
				is.NoErr(err)
				is.True(len(decision.Put) > 0)
				return
			}
			var refused *RefusedError
			is.True(errors.As(err, &refused))
			all := strings.Join(refused.Strings(), "\n")
			for _, reason := range test.reasons {
				if !strings.Contains(all, reason) {
					t.Errorf("no reason contains %q; reasons:\n%s", reason, all)
				}
			}
		})
	}
}

func TestNewerTicketSupersedesARunningRollout(t *testing.T) {
	is := is.New(t)
	first, err := (&Ticket{Number: 11, Rollouts: []RolloutRequest{{Service: "desk", To: "v2", By: now.Add(time.Hour)}}}).Decide(state(t), now)
	is.NoErr(err)
	running, err := state(t).Preview(&revision.Change{Revision: 2, Ticket: 11, Put: first.Put})
	is.NoErr(err)
	back := revision.Split{Service: "desk", Shares: []revision.Share{{Version: "v1", Weight: revision.FullShare}}}
	decision, err := (&Ticket{Number: 12, Splits: []revision.Split{back}}).Decide(running, now)
	is.NoErr(err)
	is.Equal(len(decision.Superseded), 1)
	is.Equal(decision.Superseded[0].Rollout.Ticket, uint64(11))
}
