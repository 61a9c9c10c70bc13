package exit_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/entry"
	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/settings"
)

// dialer adapts a peer pool to the dialer of an entry.
type dialer struct{ *peer.Pool }

func (d dialer) OpenStream(ctx context.Context, host, address string) (entry.Stream, error) {
	return d.Pool.OpenStream(ctx, host, address)
}

// fixedConfiguration is a configuration source with one snapshot.
type fixedConfiguration struct{ snapshot *revision.Snapshot }

func (c fixedConfiguration) Snapshot() *revision.Snapshot { return c.snapshot }

func deskSnapshot(t testing.TB) *revision.Snapshot {
	t.Helper()
	is := is.New(t)
	snapshot, err := revision.Empty().Preview(&revision.Change{Revision: 1, Put: []revision.Resource{
		{Service: &revision.Service{Name: "desk"}},
		{Version: &revision.Version{Service: "desk", Name: "v1"}},
		{Split: &revision.Split{Service: "desk", Shares: []revision.Share{{Version: "v1", Weight: revision.FullShare}}}},
		{Route: &revision.Route{Name: "orders", Service: "desk", Prefix: "/", Repeat: revision.RepeatNever}},
	}})
	is.NoErr(err)
	return snapshot
}

// serveEntry serves an entry whose only member is the host of the fixture.
func (fx *fixture) serveEntry() *httptest.Server {
	fx.t.Helper()
	deps := entry.Deps{Configuration: fixedConfiguration{deskSnapshot(fx.t)}, Dialer: dialer{fx.pool}, Log: zap.NewNop()}
	e := entry.New(settings.Default().Entry, balance.Locality{Host: "h1", Zone: "a"}, deps)
	e.SetMembers([]gossip.Member{{Record: gossip.Record{
		Host: "h2", Zone: "b", PeerAddress: fx.address,
		Targets: []gossip.Target{{Service: "desk", Version: "v1", Slots: 1, State: gossip.TargetReady}},
	}}})
	server := httptest.NewServer(e)
	fx.t.Cleanup(server.Close)
	return server
}

// TestBodiesThroughEntryAndExit sends bodies of sizes around the limits of a frame from a caller
// to a target and back.
func TestBodiesThroughEntryAndExit(t *testing.T) {
	fx := newFixture(t)
	fx.target(1, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Write(body)
	})
	server := fx.serveEntry()
	sizes := []int{0, 1, 2048, 16<<10 - 1, 16 << 10, 16<<10 + 1, peer.MaxInlineBody + 1, peer.MaxDataChunk + 1, 3 << 20}
	for _, size := range sizes {
		for _, chunked := range []bool{false, true} {
			is := is.New(t)
			sent := randomBody(size)
			var reader io.Reader = bytes.NewReader(sent)
			if chunked {
				reader = io.MultiReader(reader) // hides the length
			}
			response, err := server.Client().Post(server.URL+"/orders", "application/octet-stream", reader)
			is.NoErr(err)
			got, err := io.ReadAll(response.Body)
			response.Body.Close()
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.True(bytes.Equal(got, sent)) // body
		}
	}
}

// A body that is streamed can be sent to one host only. Where that host has no free slot, the request
// waits for one like any other.
func TestStreamedBodyWaitsForASlot(t *testing.T) {
	const busyFor = 200 * time.Millisecond
	is := is.New(t)
	fx := newFixture(t)
	busy := make(chan struct{})
	fx.target(1, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/orders/slow" {
			close(busy)
			time.Sleep(busyFor)
		}
	})
	server := fx.serveEntry()
	post := func(path string, size int) int {
		response, err := server.Client().Post(server.URL+path, "application/octet-stream", bytes.NewReader(randomBody(size)))
		if err != nil {
			t.Error(err)
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	slow := make(chan int)
	go func() { slow <- post("/orders/slow", 1) }()
	<-busy
	for _, size := range []int{peer.MaxInlineBody + 1, 1} {
		is.Equal(post("/orders", size), http.StatusOK)
	}
	is.Equal(<-slow, http.StatusOK)
}
