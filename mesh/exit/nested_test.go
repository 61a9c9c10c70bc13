package exit_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/nested"
	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Guards against an exit that names a route as nested to hosts whose requests are those of callers.
func TestExitReportsNestedRouteToItsOriginOnly(t *testing.T) {
	is := is.New(t)
	conventions := exit.DefaultConventions
	conventions.Origin = "X-Origin"
	fx := newFixtureOf(t, []exit.Option{exit.WithConventions(conventions)})
	fx.target(2, func(http.ResponseWriter, *http.Request) {})
	reported := func(origin string) bool {
		head := requestHead(http.MethodGet, "/", "")
		head.Headers = []*peerpb.Header{{Name: "X-Origin", Value: origin}}
		return fx.roundTrip(head).GetAnswer().GetLoad().GetNestedRoute()
	}
	for range 29 {
		is.True(!reported("shop"))
	}
	for range 3 { // one more than needed, since what is learned fades
		reported("shop")
	}
	is.True(reported("shop"))
	is.True(!reported("bank"))
}

// Guards against runs that hold a slot although the requests that they make elsewhere are refused, and
// against a refusal that ran or that hits nested requests.
func TestExitRefusesRunsThatWouldFail(t *testing.T) {
	is := is.New(t)
	parents := nested.NewParents()
	fx := newFixtureOf(t, []exit.Option{exit.WithParents(parents)})
	runs := 0
	fx.target(2, func(http.ResponseWriter, *http.Request) { runs++ })
	for range 40 {
		now := time.Now()
		parents.Begin("orders")
		parents.Observe("quote", now)
		parents.End("orders", 10*time.Millisecond, now)
		parents.Throttle.RecordNested(true, now)
		parents.Throttle.End("orders", false, now)
	}
	refusals := 0
	for range 10 {
		refusal := fx.roundTrip(requestHead(http.MethodGet, "/", "")).GetRefusal()
		if refusal != nil {
			is.Equal(refusal.GetReason(), peerpb.RefusalReason_REFUSAL_REASON_DEPENDENCY)
			is.True(!refusal.GetByAdmission()) // the entry tries no other host
			refusals++
		}
	}
	is.Equal(runs, 10-refusals)
	is.True(refusals >= 5) // a probe passes now and then
	head := requestHead(http.MethodGet, "/", "")
	head.Nested = true
	is.True(fx.roundTrip(head).GetAnswer() != nil)
}
