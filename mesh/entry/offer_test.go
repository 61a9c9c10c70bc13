package entry

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// refusesOffers returns a host that has no free slot: it refuses each request by admission
// control, and takes one that may wait if queues is set.
func refusesOffers(queues bool) hostHandler {
	return func(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
		if queues && head.MaxWaitMicros == nil {
			respondsWith(200, "queued")(stream, head, attempt)
			return
		}
		_ = stream.Send(&peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_Refusal{Refusal: &peerpb.Refusal{
			Reason: peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED, ByAdmission: true, RetryAfterMillis: 300,
			Load: &peerpb.Load{Outstanding: 4, Queued: 1, Slots: 4, WaitMicros: 300000},
		}}})
	}
}

// Refusals by admission control reached no target: the request goes on to other hosts even if
// the retry budget is empty and its route allows one attempt only.
func TestRequestIsOfferedUntilAHostHasRoom(t *testing.T) {
	full := refusesOffers(false)
	tests := []struct {
		name   string
		hosts  map[string]hostHandler
		status int
		body   string
	}{
		{"a free slot in the zone", map[string]hostHandler{"a1": full, "a2": full, "a3": respondsWith(200, "free")}, 200, "free"},
		{"a free slot in another zone", map[string]hostHandler{"a1": full, "a2": full, "b1": respondsWith(200, "free")}, 200, "free"},
		{"a queue", map[string]hostHandler{"a1": refusesOffers(true), "b1": refusesOffers(true)}, 200, "queued"},
		{"no room", map[string]hostHandler{"a1": full, "a2": full, "b1": full, "b2": full}, 503, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			settings := testSettings()
			settings.Retry.Reserve = 0
			f := newFixture(t, settings, nil, test.hosts)
			f.configuration.Store(applyChange(t, f.configuration.Load(), revision.Resource{Route: &revision.Route{
				Name: "order", Service: "orders", Prefix: "/order", Repeat: revision.RepeatNever, MaxAttempts: 1,
			}}))
			response, err := f.client.Post(f.url+"/order", "text/plain", strings.NewReader("a swan"))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			if test.status == 200 {
				is.Equal(string(body), test.body)
			} else {
				is.Equal(response.Header.Get(HeaderOutcome), "refused")
				is.True(response.Header.Get("Retry-After") != "")
			}
		})
	}
}
