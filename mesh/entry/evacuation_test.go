package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

// Guards against an entry that still offers requests to a zone that is evacuated, also its own, and against
// one that leaves the zone out once the order is taken back.
func TestEvacuatedZoneHasNoEndpoints(t *testing.T) {
	is := is.New(t)
	r := newRouting(balance.Locality{Host: "a0", Zone: "a"}, settings.Default().Entry.Retry, 0)
	r.setMembers([]gossip.Member{hostMember("a0", "a", "v1"), hostMember("b0", "b", "v1"), hostMember("c0", "c", "v1")})
	zonesLeft := func(evacuated ...string) (zones []string) {
		r.setEvacuated(evacuated)
		if group := r.index.Load().Group("orders", "v1"); group != nil {
			for _, endpoint := range group.Endpoints() {
				zones = append(zones, endpoint.Zone)
			}
		}
		return zones
	}
	is.Equal(zonesLeft("a"), []string{"b", "c"})
	is.Equal(zonesLeft("a", "elsewhere"), []string{"b", "c"}) // an unknown zone changes nothing
	is.Equal(zonesLeft("a", "b", "c"), nil)
	is.Equal(zonesLeft(), []string{"a", "b", "c"})
}

// Guards against a request that waits in the queue of a host whose zone is then evacuated, and fails although a host
// of another zone has room by then: with no attempts to spare and an empty retry budget, and if it may not be repeated.
func TestQueuedRequestLeavesAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	full := func(wait int64) hostHandler {
		return func(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
			refusal := &peerpb.Refusal{Reason: peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED, ByAdmission: true,
				Load: &peerpb.Load{Outstanding: 4, Slots: 4, WaitMicros: wait}}
			if head.MaxWaitMicros == nil { // it queues, and then the zone is evacuated
				refusal.Reason = peerpb.RefusalReason_REFUSAL_REASON_LEAVING
			}
			_ = stream.Send(&peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_Refusal{Refusal: refusal}})
		}
	}
	var asked atomic.Int64
	elsewhere := func(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
		if asked.Add(1) == 1 {
			full(1_000_000)(stream, head, attempt) // at first it has no room
			return
		}
		respondsWith(200, "elsewhere")(stream, head, attempt)
	}
	limits := testSettings()
	limits.Retry.Reserve = 0
	f := newFixture(t, limits, nil, map[string]hostHandler{"a0": full(1000), "a1": full(1000), "b0": elsewhere})
	f.configuration.Store(applyChange(t, f.configuration.Load(), revision.Resource{Route: &revision.Route{
		Name: "order", Service: "orders", Prefix: "/order", Repeat: revision.RepeatNever, MaxAttempts: 1,
	}}))
	response := f.serveRecorded(httptest.NewRequest(http.MethodPost, "/order", strings.NewReader("a swan")))
	is.Equal(response.Code, 200)
	is.Equal(response.Body.String(), "elsewhere")
}
