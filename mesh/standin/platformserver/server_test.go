package platformserver_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/store/storetest"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/mesh/steperr"
	"sassafrasnotch.example/platform/rowstore"
	"sassafrasnotch.example/platform/wire"
)

const (
	longTimeout  = 30 * time.Second
	shortTimeout = 50 * time.Millisecond
)

func newClient(t *testing.T, url string, timeout time.Duration) *rowstore.Client {
	client := rowstore.New(rowstore.Config{URL: url, Timeout: timeout})
	t.Cleanup(client.Close)
	return client
}

func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func TestClientAndServerFulfilTheStoreContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) store.Store {
		return newClient(t, serve(t, platformserver.New().Handler()), longTimeout)
	})
}

var operations = []struct {
	name  string
	step  string // the step that errors name
	write bool
	run   func(context.Context, store.Store) error
}{
	{"get", "get row", false, func(ctx context.Context, s store.Store) error { _, err := s.Get(ctx, "a"); return err }},
	{"scan", "scan rows", false, func(ctx context.Context, s store.Store) error { _, err := s.Scan(ctx, "a", "", 1); return err }},
	{"get object", "get object", false, func(ctx context.Context, s store.Store) error { _, err := s.GetObject(ctx, "a"); return err }},
	{"txn", "commit", true, func(ctx context.Context, s store.Store) error {
		return s.Txn(ctx, nil, []store.Write{{Key: "a", Value: []byte("1")}})
	}},
	{"put object", "put object", true, func(ctx context.Context, s store.Store) error { return s.PutObject(ctx, "a", []byte("1")) }},
	{"delete object", "delete object", true, func(ctx context.Context, s store.Store) error { return s.DeleteObject(ctx, "a") }},
}

func TestErrorsOfTheClientUnderFaults(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	withFaults := func(f platformserver.Faults) http.Handler {
		server := platformserver.New()
		server.SetFaults(f)
		return server.Handler()
	}
	cases := []struct {
		name        string
		handler     http.Handler
		timeout     time.Duration
		read, write error
	}{
		{"outage", withFaults(platformserver.Faults{Outage: true}), longTimeout, store.ErrUnavailable, store.ErrUnavailable},
		{"unresponsive", withFaults(platformserver.Faults{Unresponsive: true}), shortTimeout, store.ErrUnavailable, store.ErrOutcomeUnknown},
		{"rate limited", withFaults(platformserver.Faults{RateLimited: true}), longTimeout, store.ErrUnavailable, store.ErrUnavailable},
		{"outage for one client", withFaults(platformserver.Faults{Outage: true, OnlyClients: []string{"127.0.0.1"}}), longTimeout, store.ErrUnavailable, store.ErrUnavailable},
		{"503", respond(http.StatusServiceUnavailable, "try later"), longTimeout, store.ErrUnavailable, store.ErrUnavailable},
		{"502 from an intermediary", respond(http.StatusBadGateway, "try later"), longTimeout, store.ErrUnavailable, store.ErrOutcomeUnknown},
		{"500", respond(http.StatusInternalServerError, "{}"), longTimeout, store.ErrUnavailable, store.ErrOutcomeUnknown},
		{"reset", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), longTimeout, store.ErrUnavailable, store.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		client := newClient(t, serve(t, c.handler), c.timeout)
		for _, op := range operations {
			t.Run(c.name+"/"+op.name, func(t *testing.T) {
				is := is.New(t)
				err := op.run(t.Context(), client)
				want := c.read
				if op.write {
					want = c.write
				}
				is.True(errors.Is(err, want)) // the sentinel error of the fault
				is.Equal(steperr.Step(err), op.step)
				is.True(steperr.Peer(err) != "")
			})
		}
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(listener.Close())
	client := newClient(t, "http://"+listener.Addr().String(), longTimeout)
	for _, op := range operations {
		t.Run(op.name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(op.run(t.Context(), client), store.ErrUnavailable))
		})
	}
}

func TestDroppedResponsesFollowTheWrite(t *testing.T) {
	is := is.New(t)
	server := platformserver.New()
	server.SetFaults(platformserver.Faults{DropWriteResponses: 1})
	client := newClient(t, serve(t, server.Handler()), longTimeout)
	create := func() error {
		return client.Txn(t.Context(), []store.Compare{{Key: "a"}}, []store.Write{{Key: "a", Value: []byte("1")}})
	}
	is.True(errors.Is(create(), store.ErrOutcomeUnknown))
	row, err := client.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(row.Value), "1")
	is.True(errors.Is(create(), store.ErrConflict)) // later responses are delivered again
	is.Equal(server.Counters(), platformserver.Counters{Ranges: 1, Txns: 2, Conflicts: 1, DroppedResponses: 1})
	reads, writes := client.Operations()
	is.Equal(reads, uint64(1))
	is.Equal(writes, uint64(2))
}

func TestDelayedWriteTakesEffectAfterTheClientDisconnects(t *testing.T) {
	is := is.New(t)
	server := platformserver.New()
	server.SetFaults(platformserver.Faults{Delay: revision.Duration(4 * shortTimeout)})
	url := serve(t, server.Handler())
	err := newClient(t, url, shortTimeout).PutObject(t.Context(), "a", []byte("1"))
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
	server.SetFaults(platformserver.Faults{})
	ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
	defer cancel()
	for {
		if _, err = server.Object("YQ"); err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	is.NoErr(err)
}

func TestSetFaultsOverHTTP(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
		want       platformserver.Faults
	}{
		{"valid", `{"outage":true,"delay":"5ms","loseWriteAnswers":2}`, http.StatusNoContent,
			platformserver.Faults{Outage: true, Delay: revision.Duration(5 * time.Millisecond), DropWriteResponses: 2}},
		{"malformed", `{"delay":5}`, http.StatusBadRequest, platformserver.Faults{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := platformserver.New()
			request := httptest.NewRequest(http.MethodPut, platformserver.PathFaults, strings.NewReader(c.body))
			recorder := httptest.NewRecorder()
			server.Handler().ServeHTTP(recorder, request)
			is.Equal(recorder.Code, c.status)
			is.Equal(server.Faults(), c.want)
		})
	}
}

func TestLocalIP(t *testing.T) {
	is := is.New(t)
	remoteAddress := make(chan string, 1)
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remoteAddress <- r.RemoteAddr
		w.WriteHeader(http.StatusNoContent)
	}))
	client := rowstore.New(rowstore.Config{URL: url, Timeout: longTimeout, LocalIP: "127.0.0.9"})
	defer client.Close()
	is.NoErr(client.DeleteObject(t.Context(), "a"))
	is.True(strings.HasPrefix(<-remoteAddress, "127.0.0.9:"))
}

func TestFeedReturnsChangesInOrder(t *testing.T) {
	is := is.New(t)
	server := platformserver.New()
	client := newClient(t, serve(t, server.Handler()), longTimeout)
	first := server.Write(wire.Put{Table: "op", Key: "config", Value: []byte("1")})
	rows, version, err := client.ReadTable(t.Context(), "op")
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(version, store.Position(first))

	go server.Write(wire.Put{Table: "op", Key: "config", Value: []byte("2")})
	rows, version, err = client.AwaitChanges(t.Context(), "op", version, longTimeout)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(string(rows[0].Value), "2")
	is.True(version > store.Position(first))

	rows, unchanged, err := client.AwaitChanges(t.Context(), "op", version, shortTimeout) // without a change
	is.NoErr(err)
	is.Equal(len(rows), 0)
	is.Equal(unchanged, version)

	server.SetFaults(platformserver.Faults{DropHistory: true})
	_, _, err = client.AwaitChanges(t.Context(), "op", version, shortTimeout)
	is.True(errors.Is(err, store.ErrTrimmed))
}

func TestOperatorsTableIsReadOnly(t *testing.T) {
	is := is.New(t)
	client := newClient(t, serve(t, platformserver.New().Handler()), longTimeout)
	err := client.Txn(t.Context(), nil, []store.Write{{Key: "op/config", Value: []byte("1")}})
	is.True(errors.Is(err, store.ErrUnavailable))
}

func TestScanReadsAllPages(t *testing.T) {
	is := is.New(t)
	server := platformserver.New()
	client := newClient(t, serve(t, server.Handler()), longTimeout)
	const count = wire.MaxRangeRows + 20
	for i := range count {
		server.Write(wire.Put{Table: "host", Key: strings.Repeat("x", i%7+1) + "-" + time.Duration(i).String()})
	}
	rows, err := client.Scan(t.Context(), "host/", "", 0)
	is.NoErr(err)
	is.Equal(len(rows), count)
	bounded, err := client.Scan(t.Context(), "host/", rows[9].Key, 5)
	is.NoErr(err)
	is.Equal(bounded, rows[10:15])
}

// Guards against a wrong address that reads as absent rows: the protocol returns 404 for an
// object that is absent and never for a row.
func TestNotFoundFromAWrongAddress(t *testing.T) {
	client := newClient(t, serve(t, http.NotFoundHandler()), longTimeout)
	want := map[string]error{
		"get": store.ErrUnavailable, "scan": store.ErrUnavailable, "txn": store.ErrUnavailable,
		"get object": store.ErrNotFound, "put object": store.ErrUnavailable, "delete object": nil,
	}
	for _, op := range operations {
		t.Run(op.name, func(t *testing.T) {
			err := op.run(t.Context(), client)
			is.New(t).True(errors.Is(err, want[op.name]))
			is.New(t).True(!errors.Is(err, store.ErrNotFound) || op.name == "get object")
		})
	}
}

func TestReadAfterASilentConnectionUsesANewOne(t *testing.T) {
	is := is.New(t)
	type epochKey struct{}
	var epoch atomic.Int64
	handler := platformserver.New().Handler()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(epochKey{}).(int64) != epoch.Load() {
			<-r.Context().Done() // the connection was opened before the silence
			return
		}
		handler.ServeHTTP(w, r)
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, epochKey{}, epoch.Load())
	}
	server.Start()
	t.Cleanup(server.Close)
	client := newClient(t, server.URL, 200*time.Millisecond)
	read := func() error { _, err := client.Scan(t.Context(), "a", "", 1); return err }
	var parallel sync.WaitGroup
	for range 3 { // leaves several idle connections
		parallel.Go(func() { _ = read() })
	}
	parallel.Wait()
	epoch.Add(1)
	is.True(errors.Is(read(), store.ErrUnavailable))
	is.NoErr(read())
}
