package ctl

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

func testOverview() overview {
	member := func(host, zone, status string) admin.MemberStatus {
		return admin.MemberStatus{Host: host, Zone: zone, Status: status, Revision: 6, AdminAddress: host + ":7001"}
	}
	queried := admin.Status{
		Host: "h1", Zone: "a", LatestRevision: 9, Applied: 8,
		Members: []admin.MemberStatus{
			member("h1", "a", "alive"), member("h2", "a", "alive"), member("h3", "b", "suspect"),
		},
		Targets: []admin.TargetStatus{
			{Host: "h2", Zone: "a", Service: "desk", Version: "v1", State: "ready"}, // replaced by the status of h2 itself
			{Host: "h3", Zone: "b", Service: "desk", Version: "v1", State: "leaving"},
		},
	}
	second := admin.Status{
		Host: "h2", Zone: "a", LatestRevision: 10, Applied: 10, PlatformReachable: true,
		Targets:     []admin.TargetStatus{{Host: "h2", Zone: "a", Service: "desk", Version: "v1", State: "cold"}},
		Rollouts:    []ticket.RolloutStatus{{Service: "desk", Step: "ramp"}, {Service: "studio"}},
		Controllers: map[string]string{"desk": "h2"},
	}
	return newOverview(queried, []*admin.Status{nil, &second, nil})
}

func TestOverview(t *testing.T) {
	is := is.New(t)
	o := testOverview()
	is.Equal(o.LatestRevision, uint64(10))
	is.Equal(len(o.Zones), 2)
	is.Equal(*o.Zones[0].NewestApplied, uint64(10))
	is.Equal(*o.Zones[0].OldestApplied, uint64(8))
	is.Equal(*o.Zones[0].Lag, uint64(2))
	is.Equal(o.Zones[1].NewestApplied, nil) // missing, not 0
	is.Equal(o.Zones[1].Status, map[string]int{"suspect": 1})
	is.Equal(len(o.Targets), 2)
	is.Equal(o.Targets[0].State, "cold") // as the daemon on its host reports it
	is.Equal(o.Rollouts[0].Holders, []string{"h2"})
	is.Equal(len(o.Rollouts[1].Holders), 0)
}

func TestOverviewTable(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	table := newTable(&out)
	table.overview(testOverview())
	is.NoErr(table.flush())
	for _, wanted := range []string{"1 suspect", "missing", "no answer from h3:7001; last told 6", "1 cold, 1 leaving", "no daemon that answered"} {
		if !strings.Contains(out.String(), wanted) {
			t.Errorf("the table lacks %q:\n%s", wanted, out.String())
		}
	}
}
