package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	meshclaim "sassafrasnotch.example/mesh/claim"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// sendKeyed sends an order with an idempotency key and returns the response with its body.
func sendKeyed(t *testing.T, f *fixture, key, body string) (*http.Response, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(http.MethodPost, f.url+"/keyed", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set(HeaderIdempotencyKey, key)
	response, err := f.client.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response, string(data)
}

// unavailableTable is a table of an unavailable store.
type unavailableTable struct{ store.Table }

func (unavailableTable) Txn(context.Context, []store.Compare, []store.Write) error {
	return store.ErrUnavailable
}

// A keyed request that is sent again to another entry is not run a second time once it may
// have run, and receives the recorded response if there is one.
func TestResentKeyedRequest(t *testing.T) {
	large := strings.Repeat("x", claim.MaxBodyBytes+1)
	type callerView struct {
		status  int
		outcome string
	}
	tests := []struct {
		name   string
		host   hostHandler
		first  callerView
		second callerView
		runs   int
	}{
		{"answered", respondsWith(201, "swan 7"), callerView{201, "answered"}, callerView{201, "answered"}, 1},
		{"answered with an error", respondsWith(500, "broken"), callerView{500, "answered"}, callerView{500, "answered"}, 1},
		{"response too large to record", respondsWith(200, large), callerView{200, "answered"}, callerView{409, "unknown"}, 1},
		{"lost", closesStream, callerView{502, "unknown"}, callerView{409, "unknown"}, 1},
		{"crashed", fails(true), callerView{502, "unknown"}, callerView{409, "unknown"}, 1},
		{"refused", refusesWith(peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED), callerView{503, "refused"}, callerView{503, "refused"}, 2},
		{"unreachable", nil, callerView{503, "refused"}, callerView{503, "refused"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := store.NewMemory()
			send := func(expected callerView, hosts map[string]hostHandler, runs int) string {
				claims := meshclaim.New(table, zap.NewNop())
				f := newFixture(t, testSettings(), claims, hosts) // another entry
				response, body := sendKeyed(t, f, "k", "a swan")
				is.Equal(response.StatusCode, expected.status)
				is.Equal(response.Header.Get(HeaderOutcome), expected.outcome)
				f.stop(t)
				claims.Close(t.Context())
				is.Equal(f.hosts.dispatched(), runs)
				return body
			}
			host := map[string]hostHandler{"a0": test.host}
			firstRuns := min(test.runs, 1)
			first := send(test.first, host, firstRuns)
			second := send(test.second, host, test.runs-firstRuns)
			is.Equal(first == second, test.first == test.second && test.first.outcome == "answered")
		})
	}
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	is := is.New(t)
	claims := meshclaim.New(store.NewMemory(), zap.NewNop())
	f := newFixture(t, testSettings(), claims, twoHosts(respondsWith(201, "swan"), nil))
	_, _ = sendKeyed(t, f, "k", "a swan")
	response, _ := sendKeyed(t, f, "k", "a bear")
	is.Equal(response.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(response.Header.Get(HeaderOutcome), "refused")
	is.Equal(f.hosts.dispatched(), 1)
}

func TestKeyedRequestIsRefusedWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	claims := meshclaim.New(unavailableTable{store.NewMemory()}, zap.NewNop())
	f := newFixture(t, testSettings(), claims, twoHosts(respondsWith(201, "swan"), nil))
	response, _ := sendKeyed(t, f, "k", "a swan")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(HeaderOutcome), "refused")
	is.Equal(f.hosts.dispatched(), 0)
}

// A caller that disconnects early learns the outcome when it sends the request again.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	table := store.NewMemory()
	claims := meshclaim.New(table, zap.NewNop())
	f := newFixture(t, testSettings(), claims, twoHosts(func(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
		<-proceed
		respondsWith(201, "swan 7")(stream, head, attempt)
	}, nil))
	conn := dial(t, f)
	_, err := io.WriteString(conn, "POST /keyed HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 6\r\n\r\na swan")
	is.NoErr(err)
	waitFor(t, func() bool { return f.hosts.dispatched() == 1 })
	is.NoErr(conn.Close())
	response, _ := sendKeyed(t, f, "k", "a swan")
	is.Equal(response.StatusCode, http.StatusConflict) // while it runs
	close(proceed)
	waitFor(t, func() bool {
		row, err := table.Get(context.Background(), claim.RowKey("orders", "k"))
		is.NoErr(err)
		return strings.Contains(string(row.Value), `"status":201`)
	})
	response, body := sendKeyed(t, f, "k", "a swan")
	is.Equal(response.StatusCode, 201)
	is.Equal(response.Header.Get(HeaderReplayed), "true")
	is.Equal(body, "swan 7")
	is.Equal(f.hosts.dispatched(), 1)
}

// Two tenants that use the same idempotency key must not receive each other's responses, nor must a caller
// without a tenant; each of them is still run once.
func TestClaimBelongsToItsTenant(t *testing.T) {
	is := is.New(t)
	claims := meshclaim.New(store.NewMemory(), zap.NewNop())
	defer claims.Close(t.Context())
	f := newTenantFixture(t, claims)
	f.configuration.Store(applyChange(t, f.configuration.Snapshot(), revision.Resource{
		Route: &revision.Route{Name: "open-keyed", Service: "orders", Prefix: "/open-keyed", Repeat: revision.RepeatKeyed, Public: true},
	}))
	for _, c := range []struct {
		path, credentials string
		replayed          string
	}{
		{"/keyed/1", "Bearer key-n", ""},
		{"/keyed/1", "Bearer key-e", ""},
		{"/keyed/1", "Bearer key-n", "true"},
		{"/keyed/1", "Bearer key-e", "true"},
		{"/open-keyed/1", "", ""},
		{"/open-keyed/1", "Bearer key-n", ""},
		{"/open-keyed/1", "", "true"},
	} {
		request := withAuthorization(c.path, c.credentials)
		request.Header.Set(HeaderIdempotencyKey, "k"+c.path[:3])
		var response *httptest.ResponseRecorder
		waitFor(t, func() bool { // until the response of the run is recorded
			response = f.serveRecorded(request)
			return response.Code == http.StatusOK
		})
		is.Equal(response.Header().Get(HeaderReplayed), c.replayed)
	}
	is.Equal(f.hosts.dispatched(), 4)
}
