package ctl

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/burn"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/admin"
)

func TestReport(t *testing.T) {
	is := is.New(t)
	objective := revision.Objective{Success: 9900, Window: revision.Duration(24 * time.Hour)}
	d, address := daemonWith(t, "GET "+admin.PathReport, response{http.StatusOK, admin.Report{
		Services: []admin.ServiceCounts{{
			Service: "orders", Objective: objective,
			Spans: burn.Spans{{Span: objective.Window, Count: burn.Count{Requests: 1000, Failures: 5}}},
		}},
	}})
	d.responses["GET "+admin.PathStatus] = []response{{http.StatusOK, admin.Status{Members: []admin.MemberStatus{
		{Host: "h1", AdminAddress: address},
		{Host: "h2", AdminAddress: closedPort(t)},
	}}}}
	got := run(t, "", "report", "-admin", address)
	is.Equal(got.exit, ExitSuccess)
	is.True(strings.Contains(got.stdout, "orders"))
	is.True(strings.Contains(got.stdout, "99% in 24h0m0s"))
	is.True(strings.Contains(got.stdout, "50%")) // budget left
	is.True(strings.Contains(got.stdout, "of 2 hosts no answer from: h2"))
}
