// Package storetest checks that an implementation of store.Store keeps the contract that the
// coordination packages rely on.
package storetest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"

	"sassafrasnotch.example/coord/store"
)

// Run checks the store that open returns. Each case opens a store of its own, which must be
// empty.
func Run(t *testing.T, open func(t *testing.T) store.Store) {
	cases := []struct {
		name  string
		check func(ctx context.Context, s store.Store) error
	}{
		{"an absent row is not found", absentRow},
		{"a row reads back with a version", readBack},
		{"an empty value is kept", emptyValue},
		{"a compare that fails writes nothing", failedCompare},
		{"version 0 requires absence", requireAbsence},
		{"a recreated row has a new version", recreatedRow},
		{"a transaction may only compare", compareOnly},
		{"a scan is ordered, bounded and resumes", scanPages},
		{"one of several concurrent writers commits", concurrentWriters},
		{"objects are replaced and deleted", objects},
		{"keys may contain any character", unusualKeys},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := c.check(t.Context(), open(t)); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func expectError(got, want error) error {
	if !errors.Is(got, want) {
		return fmt.Errorf("got error %v, want %v", got, want)
	}
	return nil
}

func putRow(ctx context.Context, s store.Store, key, value string) error {
	return s.Txn(ctx, nil, []store.Write{{Key: key, Value: []byte(value)}})
}

func expectValue(ctx context.Context, s store.Store, key, want string) error {
	row, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	if row.Key != key || string(row.Value) != want || row.Version == 0 {
		return fmt.Errorf("got %q = %q at version %d, want %q = %q", row.Key, row.Value, row.Version, key, want)
	}
	return nil
}

func absentRow(ctx context.Context, s store.Store) error {
	_, err := s.Get(ctx, "absent")
	return expectError(err, store.ErrNotFound)
}

func readBack(ctx context.Context, s store.Store) error {
	if err := putRow(ctx, s, "a", "1"); err != nil {
		return err
	}
	return expectValue(ctx, s, "a", "1")
}

func emptyValue(ctx context.Context, s store.Store) error {
	if err := putRow(ctx, s, "a", ""); err != nil {
		return err
	}
	return expectValue(ctx, s, "a", "")
}

func failedCompare(ctx context.Context, s store.Store) error {
	if err := putRow(ctx, s, "a", "1"); err != nil {
		return err
	}
	row, err := s.Get(ctx, "a")
	if err != nil {
		return err
	}
	compares := []store.Compare{{Key: "a", Version: row.Version}, {Key: "b", Version: row.Version}}
	writes := []store.Write{{Key: "a", Value: []byte("2")}, {Key: "c"}}
	if err := expectError(s.Txn(ctx, compares, writes), store.ErrConflict); err != nil {
		return err
	}
	if _, err := s.Get(ctx, "c"); !errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("a conflicting transaction wrote a row: got error %v", err)
	}
	return expectValue(ctx, s, "a", "1")
}

func requireAbsence(ctx context.Context, s store.Store) error {
	create := func() error {
		return s.Txn(ctx, []store.Compare{{Key: "a"}}, []store.Write{{Key: "a", Value: []byte("1")}})
	}
	if err := create(); err != nil {
		return err
	}
	return expectError(create(), store.ErrConflict)
}

func recreatedRow(ctx context.Context, s store.Store) error {
	if err := putRow(ctx, s, "a", "1"); err != nil {
		return err
	}
	before, err := s.Get(ctx, "a")
	if err != nil {
		return err
	}
	if err := s.Txn(ctx, nil, []store.Write{{Key: "a", Delete: true}}); err != nil {
		return err
	}
	if err := putRow(ctx, s, "a", "1"); err != nil {
		return err
	}
	after, err := s.Get(ctx, "a")
	if err != nil {
		return err
	}
	if after.Version <= before.Version {
		return fmt.Errorf("recreating a row changed its version from %d to %d, want a higher version", before.Version, after.Version)
	}
	return nil
}

func compareOnly(ctx context.Context, s store.Store) error {
	if err := s.Txn(ctx, []store.Compare{{Key: "a"}}, nil); err != nil {
		return err
	}
	return expectError(s.Txn(ctx, []store.Compare{{Key: "a", Version: 7}}, nil), store.ErrConflict)
}

func scanPages(ctx context.Context, s store.Store) error {
	want := []string{"p/1", "p/2", "p/3", "p/4", "p/5"}
	for _, key := range []string{"p/3", "q/1", "p/1", "p/5", "o/9", "p/2", "p/4"} {
		if err := putRow(ctx, s, key, key); err != nil {
			return err
		}
	}
	var got []string
	after := ""
	for {
		rows, err := s.Scan(ctx, "p/", after, 2)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			break
		}
		if len(rows) > 2 {
			return fmt.Errorf("a scan of 2 rows returned %d", len(rows))
		}
		for _, row := range rows {
			got = append(got, row.Key)
		}
		after = rows[len(rows)-1].Key
	}
	if !slices.Equal(got, want) {
		return fmt.Errorf("scanned %v, want %v", got, want)
	}
	return nil
}

func concurrentWriters(ctx context.Context, s store.Store) error {
	const writers = 8
	results := make([]error, writers)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			writes := []store.Write{{Key: "lease", Value: fmt.Appendf(nil, "%d", i)}}
			results[i] = s.Txn(ctx, []store.Compare{{Key: "lease"}}, writes)
		})
	}
	wg.Wait()
	winner := -1
	for i, err := range results {
		switch {
		case err == nil && winner >= 0:
			return fmt.Errorf("writers %d and %d both committed, want one", winner, i)
		case err == nil:
			winner = i
		case !errors.Is(err, store.ErrConflict):
			return err
		}
	}
	return expectValue(ctx, s, "lease", fmt.Sprint(winner))
}

func objects(ctx context.Context, s store.Store) error {
	for _, data := range [][]byte{{0, 1, 255}, []byte("second"), {}} {
		if err := s.PutObject(ctx, "o/1", data); err != nil {
			return err
		}
		got, err := s.GetObject(ctx, "o/1")
		if err != nil {
			return err
		}
		if !bytes.Equal(got, data) {
			return fmt.Errorf("read back %q, want %q", got, data)
		}
	}
	for range 2 {
		if err := s.DeleteObject(ctx, "o/1"); err != nil {
			return err
		}
	}
	_, err := s.GetObject(ctx, "o/1")
	return expectError(err, store.ErrNotFound)
}

func unusualKeys(ctx context.Context, s store.Store) error {
	for _, key := range []string{"a/b c", "a?b=c&d", "a%2Fb", "ä#b+c"} {
		if err := putRow(ctx, s, key, key); err != nil {
			return err
		}
		if err := expectValue(ctx, s, key, key); err != nil {
			return err
		}
		if err := s.PutObject(ctx, key, []byte(key)); err != nil {
			return err
		}
		if _, err := s.GetObject(ctx, key); err != nil {
			return err
		}
	}
	return nil
}
