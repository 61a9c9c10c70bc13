package exit_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

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
