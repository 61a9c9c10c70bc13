package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
)

// Guards against a request, or a retry of it, that leaves the regions of its route, also when no host there
// serves it: it is refused then, and no other host sees its body.
func TestRequestStaysInTheRegionsOfItsRoute(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, "west"), closesStream))
	east := hostMember("b0", "b", "v1")
	east.Region = "east"
	f.entry.SetMembers([]gossip.Member{hostMember("a0", "a", "v1"), east})
	serve := func(regions ...string) *httptest.ResponseRecorder {
		f.configuration.Store(applyChange(t, f.configuration.Load(), revision.Resource{Route: &revision.Route{
			Name: "catalog", Service: "orders", Prefix: "/catalog", Repeat: revision.RepeatIdempotent, Regions: regions}}))
		return f.serveRecorded(httptest.NewRequest(http.MethodPost, "/catalog", strings.NewReader("body")))
	}
	is.Equal(serve("west").Body.String(), "west")
	is.Equal(serve("east").Code, http.StatusBadGateway) // not retried at the host that would serve it
	sent := f.hosts.dispatched()
	refused := serve("north")
	is.Equal(refused.Code, http.StatusServiceUnavailable)
	is.Equal(f.hosts.dispatched(), sent)
	is.Equal(serve().Body.String(), "west")
}
