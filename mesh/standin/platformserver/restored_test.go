package platformserver_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/platform/rowstore"
	"sassafrasnotch.example/platform/wire"
)

// restoredServer returns a server that has come back from a copy without the second of two rows, and
// a client that has read both.
func restoredServer(t *testing.T) (server *platformserver.Server, client *rowstore.Client, read store.Position) {
	t.Helper()
	server = platformserver.New()
	client = newClient(t, serve(t, server.Handler()), longTimeout)
	server.Write(wire.Put{Table: "op", Key: "config", Value: []byte("1")})
	copied := time.Now()
	server.Write(wire.Put{Table: "op", Key: "config", Value: []byte("2")})
	_, read, err := client.ReadTable(t.Context(), "op")
	if err != nil {
		t.Fatal(err)
	}
	server.Restore(copied)
	return server, client, read
}

func TestFeedOfAFormerEraMissesNoRow(t *testing.T) {
	for _, c := range []struct {
		name string
		// written is the number of rows written after the restore; with two the counter has passed the
		// position from which the feed continues.
		written int
	}{{"the counter is behind", 0}, {"the counter has caught up", 1}, {"the counter has passed", 2}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server, client, read := restoredServer(t)
			for range c.written {
				server.Write(wire.Put{Table: "op", Key: "config", Value: []byte("3")})
			}
			_, _, err := client.AwaitChanges(t.Context(), "op", read, shortTimeout)
			is.True(errors.Is(err, store.ErrTrimmed))
			rows, position, err := client.ReadTable(t.Context(), "op")
			is.NoErr(err)
			is.True(position > read)
			is.True(position.At(rows[0].Version) > read) // newer, whatever its version
			_, _, err = client.AwaitChanges(t.Context(), "op", read, shortTimeout)
			is.True(errors.Is(err, store.ErrTrimmed)) // known without a request
		})
	}
}

func TestVersionGivenOutAgainFulfilsNoConditionOfAFormerEra(t *testing.T) {
	is := is.New(t)
	server := platformserver.New()
	url := serve(t, server.Handler())
	former, other := newClient(t, url, longTimeout), newClient(t, url, longTimeout)
	copied := time.Now()
	is.NoErr(former.Txn(t.Context(), nil, []store.Write{{Key: "lease/a", Value: []byte("former")}}))
	row, err := former.Get(t.Context(), "lease/a")
	is.NoErr(err)
	server.Restore(copied)
	is.NoErr(other.Txn(t.Context(), []store.Compare{{Key: "lease/a"}}, []store.Write{{Key: "lease/a", Value: []byte("other")}}))
	again, err := other.Get(t.Context(), "lease/a")
	is.NoErr(err)
	is.Equal(again.Version.Version(), row.Version.Version()) // the same number
	is.True(again.Version != row.Version)

	_, err = former.Get(t.Context(), "lease/b") // any response states the new era
	is.True(errors.Is(err, store.ErrNotFound))
	err = former.Txn(t.Context(), []store.Compare{{Key: "lease/a", Version: row.Version}}, []store.Write{{Key: "lease/a", Value: []byte("former")}})
	is.True(errors.Is(err, store.ErrConflict))
	kept, err := other.Get(t.Context(), "lease/a")
	is.NoErr(err)
	is.Equal(string(kept.Value), "other")
}

func TestWriteUnderAConditionOfAFormerEraHasAnUnknownOutcome(t *testing.T) {
	is := is.New(t)
	server := platformserver.New()
	client := newClient(t, serve(t, server.Handler()), longTimeout)
	is.NoErr(client.Txn(t.Context(), nil, []store.Write{{Key: "lease/a", Value: []byte("1")}}))
	row, err := client.Get(t.Context(), "lease/a")
	is.NoErr(err)
	server.Restore(time.Now()) // with the row
	err = client.Txn(t.Context(), []store.Compare{{Key: "lease/a", Version: row.Version}}, []store.Write{{Key: "lease/a", Value: []byte("2")}})
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
}

func TestTableReadAcrossARestoreIsNotMixed(t *testing.T) {
	is := is.New(t)
	server := platformserver.New()
	for i := range wire.MaxRangeRows + 1 {
		server.Write(wire.Put{Table: "op", Key: fmt.Sprintf("rollout/%04d", i), Value: []byte("1")})
	}
	pages := 0
	handler := server.Handler()
	client := newClient(t, serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if pages++; pages == 2 {
			server.Restore(time.Now())
		}
		handler.ServeHTTP(w, r)
	})), longTimeout)
	_, _, err := client.ReadTable(t.Context(), "op")
	is.True(errors.Is(err, store.ErrUnavailable))
	rows, _, err := client.ReadTable(t.Context(), "op")
	is.NoErr(err)
	is.Equal(len(rows), wire.MaxRangeRows+1)
}

func TestLateResponseOfAFormerEraIsNotBelieved(t *testing.T) {
	is := is.New(t)
	era := "2"
	client := newClient(t, serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderStoreEra, era)
		_, _ = io.WriteString(w, `{"Rows":[],"Ver":7,"NowMs":1}`)
	})), longTimeout)
	_, position, err := client.ReadTable(t.Context(), "op")
	is.NoErr(err)
	is.Equal(position.String(), "2:7")
	for _, former := range []string{"1", "", "x", "18446744073709551615"} {
		era = former
		_, _, err = client.ReadTable(t.Context(), "op")
		is.True(errors.Is(err, store.ErrUnavailable))
		err = client.Txn(t.Context(), nil, []store.Write{{Key: "a", Value: []byte("1")}})
		is.True(errors.Is(err, store.ErrOutcomeUnknown))
	}
}
