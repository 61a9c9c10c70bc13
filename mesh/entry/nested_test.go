package entry

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// reportsNested returns a host that reports its route as nested.
func reportsNested(stream *pipeStream, _ *peerpb.CallHead, attempt uint64) {
	_ = stream.Send(responseFrame(attempt, &peerpb.AnswerHead{
		Status: 200, Complete: true, Load: &peerpb.Load{Slots: 4, NestedRoute: true, NestedCallsPermille: 2000},
	}))
}

// Guards against nested requests that the exit can't tell from those of callers, and against callers
// that are taken for targets because most hosts run the service of this one.
func TestEntryMarksNestedRequests(t *testing.T) {
	tests := []struct {
		name    string
		service string
		other   int // hosts of other services
		hops    string
		host    hostHandler
		want    bool
	}{
		{"reported route", "orders", 1, "", reportsNested, true},
		{"no report", "orders", 1, "", respondsWith(200, ""), false},
		{"service of most hosts", "orders", 0, "", reportsNested, false},
		{"no service", "", 1, "", reportsNested, false},
		{"a chain", "orders", 1, "1", respondsWith(200, ""), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, testSettings(), nil, map[string]hostHandler{"a0": test.host})
			f.entry.Configure(test.service, testSettings().Retry)
			members := []gossip.Member{hostMember("a0", "a", "v1")}
			for range test.other {
				other := hostMember("b1", "b")
				other.Targets = []gossip.Target{{Service: "shop", Version: "v1", Slots: 1, State: gossip.TargetReady}}
				members = append(members, other)
			}
			f.entry.SetMembers(members)
			for range 3 {
				request := httptest.NewRequest("GET", "/catalog", nil)
				if test.hops != "" {
					request.Header.Set(HeaderHops, test.hops)
				}
				is.Equal(f.serveRecorded(request).Code, 200)
			}
			is.Equal(f.hosts.heads[2].GetNested(), test.want)
		})
	}
}

// A run that would fail at one host would fail at the others: the refusal ends the search at once.
func TestRefusedDependencyIsNotTriedElsewhere(t *testing.T) {
	is := is.New(t)
	refuses := refusesWith(peerpb.RefusalReason_REFUSAL_REASON_DEPENDENCY)
	f := newFixture(t, testSettings(), nil, map[string]hostHandler{"a0": refuses, "b0": refuses})
	recorder := f.serveRecorded(httptest.NewRequest("GET", "/catalog", nil))
	is.Equal(recorder.Code, 503)
	is.Equal(recorder.Header().Get(HeaderOutcome), "refused")
	is.Equal(f.hosts.dispatched(), 1)
}

// Guards against retries for a nested request whose run has ended, which take those of others.
func TestNestedRequestIsRetriedOnlyWhileItsRunLasts(t *testing.T) {
	for _, running := range []bool{false, true} {
		is := is.New(t)
		refuses := refusesWith(peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED)
		f := newFixture(t, testSettings(), nil, twoHosts(reportsNested, reportsNested))
		f.entry.Configure("shop", testSettings().Retry)
		for range 3 {
			is.Equal(f.serveRecorded(httptest.NewRequest("GET", "/catalog", nil)).Code, 200)
		}
		f.hosts.set("a0", refuses)
		f.hosts.set("b0", refuses)
		if running {
			f.entry.deps.Parents.Begin("order")
		}
		before := f.hosts.dispatched()
		is.Equal(f.serveRecorded(httptest.NewRequest("GET", "/catalog", nil)).Code, 503)
		attempts := 1
		if running {
			attempts = 2
		}
		is.Equal(f.hosts.dispatched()-before, attempts)
	}
}
