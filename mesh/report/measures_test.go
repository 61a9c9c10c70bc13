package report

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/burn"
	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/entry"
)

var testStart = time.Unix(1700000000, 0).UTC()

func after(d time.Duration) time.Time { return testStart.Add(d) }

func TestMeasureConvergence(t *testing.T) {
	applied := func(revision uint64, at time.Duration) []admin.AppliedRevision {
		return []admin.AppliedRevision{{Revision: revision, At: after(at)}}
	}
	cases := []struct {
		name    string
		reports []admin.Report
		want    []Convergence
	}{
		{"no host", nil, nil},
		{"slowest host", []admin.Report{
			{Host: "h1", Since: testStart, Applied: applied(5, 2*time.Minute)},
			{Host: "h2", Since: testStart, Applied: applied(6, 3*time.Minute)}, // a later revision includes revision 5
		}, []Convergence{{Ticket: 1, Revision: 5, Hosts: 2, Took: revision.Duration(2 * time.Minute)}}},
		{"not in force yet", []admin.Report{
			{Host: "h1", Since: testStart, Applied: applied(4, 0)},
		}, []Convergence{{Ticket: 1, Revision: 5, Behind: []string{"h1"}}}},
		{"started later", []admin.Report{
			{Host: "h1", Since: after(2 * time.Minute), Applied: applied(5, 3*time.Minute)},
		}, nil},
	}
	tickets := []ticket.Status{
		{Number: 1, State: ticket.Accepted, Revision: 5, At: after(time.Minute)},
		{Number: 2, State: ticket.Refused, At: after(time.Minute)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(ComputeMeasures(c.reports, tickets).Convergence, c.want)
		})
	}
}

func TestRolloutCounts(t *testing.T) {
	is := is.New(t)
	due := after(time.Hour)
	rollouts := []ticket.RolloutStatus{
		{Verdict: ticket.Running},
		{Verdict: ticket.Completed, By: due, At: due},
		{Verdict: ticket.Completed, By: due, At: due.Add(time.Second)},
		{Verdict: ticket.RolledBack, Reason: "not proved good by its deadline: no outcome reports"},
		{Verdict: ticket.RolledBack, Reason: "superseded by ticket 9"},
		{Verdict: ticket.RolledBack, Reason: "worse than v1: failures"},
	}
	m := ComputeMeasures(nil, []ticket.Status{{State: ticket.Accepted, Rollouts: rollouts}}).Moves
	is.Equal(m, RolloutCounts{Running: 1, DoneInTime: 1, DoneLate: 1, NotProved: 1, ShownBad: 1, Superseded: 1})
	share, ok := m.GoodInTime()
	is.True(ok)
	is.Equal(share, 1.0/3)
	_, ok = RolloutCounts{ShownBad: 4}.GoodInTime()
	is.True(!ok) // without a version that was not shown bad there is no share
}

func TestMeasureControlBytes(t *testing.T) {
	is := is.New(t)
	host := func(name string, sent uint64) admin.Report {
		return admin.Report{Host: name, Since: testStart, At: after(10 * time.Second), ControlBytes: admin.ControlBytes{Sent: sent, Received: 10}}
	}
	rate := ComputeMeasures([]admin.Report{host("h1", 90), host("h2", 290)}, nil).ControlBytes
	is.Equal(*rate, ControlRate{Hosts: 2, Mean: 20, Max: 30, Most: "h2"})
	is.Equal(ComputeMeasures(nil, nil).ControlBytes, nil)
}

func TestAssembleNamesMissingHosts(t *testing.T) {
	is := is.New(t)
	member := func(host, zone string) admin.MemberStatus { return admin.MemberStatus{Host: host, Zone: zone} }
	system := Assemble(after(time.Hour), []MemberReport{
		{member("h3", "b"), nil},
		{member("h1", "a"), &admin.Report{Host: "h1", Since: after(time.Minute)}},
		{member("h2", "a"), &admin.Report{Host: "h2", Since: testStart}},
	}, nil, errors.New("platform unavailable"))
	is.Equal(system.Missing, []string{"h3"})
	is.Equal(system.Zones, []ZoneCoverage{{Zone: "a", Answered: 2}, {Zone: "b", Missing: []string{"h3"}}})
	is.Equal(system.Since, testStart)
	is.Equal(system.CompleteSince, after(time.Minute))
	is.Equal(system.TicketsMissing, "platform unavailable")
}

func TestRecorderSeriesAndRevisions(t *testing.T) {
	is := is.New(t)
	configuration := testConfiguration(is)
	r := NewRecorder("h1", configuration, func() time.Time { return testStart })
	r.ObserveRequest(entry.Result{Service: "orders", Version: "v1", Outcome: retry.Responded, Status: 200})
	r.ObserveRequest(entry.Result{Service: "orders", Outcome: retry.Refused, Status: 503})
	r.RecordApplied(configuration.snapshot)
	got := r.Report()
	is.Equal(got.Applied, []admin.AppliedRevision{{Revision: 1, At: testStart}})
	series := got.Services[0].Series
	is.Equal(len(series), 1)
	is.Equal(series[0].Count, burn.Count{Requests: 2, Failures: 1})
	is.Equal(series[0].Versions, map[string]uint64{"v1": 1})
}
