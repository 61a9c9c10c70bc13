package report

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/burn"
	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/entry"
)

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ snapshot *revision.Snapshot }

func (f fixedConfiguration) Snapshot() *revision.Snapshot { return f.snapshot }

func testConfiguration(is *is.I) fixedConfiguration {
	snapshot, err := revision.Empty().Preview(&revision.Change{Revision: 1, Put: []revision.Resource{
		{Service: &revision.Service{
			Name: "orders", LatencyBound: revision.Duration(time.Second),
			Objective: revision.Objective{Success: 9900},
		}},
		{Service: &revision.Service{Name: "studio"}},
	}})
	is.NoErr(err)
	return fixedConfiguration{snapshot}
}

func TestRecorder(t *testing.T) {
	cases := []struct {
		name             string
		result           entry.Result
		counted, failure uint64
	}{
		{"answered", entry.Result{Outcome: retry.Responded, Status: 200}, 1, 0},
		{"client error", entry.Result{Outcome: retry.Responded, Status: 404}, 1, 0},
		{"server error", entry.Result{Outcome: retry.Responded, Status: 500}, 1, 1},
		{"late", entry.Result{Outcome: retry.Responded, Status: 200, Duration: 2 * time.Second}, 1, 1},
		{"truncated", entry.Result{Outcome: retry.Responded, Status: 200, Truncated: true}, 1, 1},
		{"refused", entry.Result{Outcome: retry.Refused, Status: 503}, 1, 1},
		{"unauthorized", entry.Result{Outcome: retry.Refused, Reason: entry.ReasonUnauthorized, Status: 401}, 0, 0},
		{"unknown", entry.Result{Outcome: retry.Unknown, Status: 502}, 1, 1},
		{"caller disconnected", entry.Result{CallerDisconnected: true}, 0, 0},
		{"caller disconnected after the bound", entry.Result{CallerDisconnected: true, Duration: 2 * time.Second}, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1700000000, 0)
			r := NewRecorder("h1", testConfiguration(is), func() time.Time { return now })
			for _, service := range []string{"orders", "studio"} {
				c.result.Service = service
				r.ObserveRequest(c.result)
			}
			report := r.Report()
			is.Equal(len(report.Services), 1) // studio has no objective
			is.Equal(report.Services[0].Service, "orders")
			total := report.Services[0].Spans.Over(burn.DefaultWindow)
			is.Equal(total, burn.Count{Requests: c.counted, Failures: c.failure})
		})
	}
}

func TestMerge(t *testing.T) {
	is := is.New(t)
	objective := revision.Objective{Success: 9900}
	host := func(requests, failures uint64) admin.Report {
		h := burn.NewHistory()
		now := time.Unix(1700000000, 0)
		h.Add(now, burn.Count{Requests: requests, Failures: failures})
		return admin.Report{Services: []admin.ServiceCounts{{
			Service: "orders", Objective: objective, Spans: burn.NewSpans(objective, historyAt{h, now}),
		}}}
	}
	merged := MergeReports([]admin.Report{host(1000, 0), {}, host(1000, 400)})
	is.Equal(len(merged), 1)
	is.Equal(merged[0].Burn.Total, burn.Count{Requests: 2000, Failures: 400})
	is.True(merged[0].Burning)
	is.Equal(len(MergeReports(nil)), 0)
}
