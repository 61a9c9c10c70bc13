package telemetry

import (
	"fmt"
	"io"
	"net/http/httptest"
	"regexp"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/entry"
)

// tenantSeries returns the values of the tenants' counter by its labels.
func tenantSeries(t *testing.T, observe func(*RequestMetrics)) map[string]string {
	is := is.New(t)
	m, err := NewMetrics()
	is.NoErr(err)
	next := new(countingObserver)
	c, err := NewRequestMetrics(m, next, next)
	is.NoErr(err)
	observe(c)
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	page, err := io.ReadAll(recorder.Body)
	is.NoErr(err)
	series := make(map[string]string)
	line := regexp.MustCompile(`(?m)^sassafras_tenant_requests_total{.*result="(\w+)".*tenant="([^"]*)".*} (\d+)$`)
	for _, match := range line.FindAllStringSubmatch(string(page), -1) {
		series[match[2]+"/"+match[1]] = match[3]
	}
	return series
}

// Operators must tell what each tenant got from what it was refused, and refusals for its own fault or limit
// from those for lack of room. A configuration without tenants has no such series.
func TestRequestsAreCountedByTenant(t *testing.T) {
	is := is.New(t)
	series := tenantSeries(t, func(c *RequestMetrics) {
		for _, result := range []entry.Result{
			{WithTenants: true, Tenant: "north", Outcome: retry.Responded, Status: 200},
			{WithTenants: true, Tenant: "north", Outcome: retry.Responded, Status: 500},
			{WithTenants: true, Tenant: "north", Outcome: retry.Refused, Reason: reasonTenantLimit},
			{WithTenants: true, Tenant: "north", Outcome: retry.Refused, Reason: entry.ReasonOverloaded},
			{WithTenants: true, Tenant: "north", Outcome: retry.Unknown, Reason: entry.ReasonLost},
			{WithTenants: true, Outcome: retry.Refused, Reason: entry.ReasonUnauthorized},
			{WithTenants: true, Outcome: retry.Responded},
			{Outcome: retry.Responded},
		} {
			c.ObserveRequest(result)
		}
	})
	is.Equal(series, map[string]string{
		"north/served": "2", "north/limited": "1", "north/refused": "1", "north/unknown": "1",
		"/unauthorized": "1", "/served": "1",
	})
}

// A configuration with very many tenants must not grow the metrics without bound.
func TestNamedTenantsAreBounded(t *testing.T) {
	is := is.New(t)
	series := tenantSeries(t, func(c *RequestMetrics) {
		for i := range maxNamedTenants + 10 {
			for range 2 {
				c.ObserveRequest(entry.Result{WithTenants: true, Tenant: fmt.Sprint("t", i), Outcome: retry.Responded})
			}
		}
	})
	is.Equal(len(series), maxNamedTenants+1)
	is.Equal(series["other/served"], "20")
	is.Equal(series["t0/served"], "2")
}
