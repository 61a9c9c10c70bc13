package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/store"
)

// fault is the effect injected into one transaction.
type fault int

const (
	noFault fault = iota
	unavailable
	unknownNotWritten    // the outcome is unknown; the write had no effect
	unknownWritten       // the outcome is unknown; the write took effect
	unknownThenReadFails // as unknownWritten, and the next read fails
)

// faultyTable is a table that injects the faults into its transactions, one into each in order.
type faultyTable struct {
	*store.Memory
	mutex        sync.Mutex
	faults       []fault
	failNextRead bool
	txns         int // number of transactions
}

// nextFault returns the fault of the next transaction.
func (f *faultyTable) nextFault() fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.txns++
	if len(f.faults) == 0 {
		return noFault
	}
	first := f.faults[0]
	f.faults = f.faults[1:]
	f.failNextRead = first == unknownThenReadFails
	return first
}

func (f *faultyTable) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) error {
	switch f.nextFault() {
	case unavailable:
		return store.ErrUnavailable
	case unknownNotWritten:
		return store.ErrOutcomeUnknown
	case unknownWritten, unknownThenReadFails:
		_ = f.Memory.Txn(ctx, compares, writes)
		return store.ErrOutcomeUnknown
	}
	return f.Memory.Txn(ctx, compares, writes)
}

func (f *faultyTable) Get(ctx context.Context, key string) (store.Row, error) {
	f.mutex.Lock()
	fails := f.failNextRead
	f.failNextRead = false
	f.mutex.Unlock()
	if fails {
		return store.Row{}, store.ErrUnavailable
	}
	return f.Memory.Get(ctx, key)
}

func newTable(faults ...fault) *faultyTable {
	return &faultyTable{Memory: store.NewMemory(), faults: faults}
}

// testClaimer returns a claimer with short times.
func testClaimer(table store.Table) *Claimer {
	return newClaimer(table, zap.NewNop(), time.Millisecond, time.Now)
}

func request(key, attempt string) claim.Request {
	return claim.Request{Service: "orders", Key: key, Attempt: attempt, Fingerprint: 1}
}

func TestClaimByFault(t *testing.T) {
	const refused = claim.Verdict(-1)
	tests := []struct {
		name   string
		faults []fault
		want   claim.Verdict
		// resend is the verdict on a repetition of the request after the first claimer is closed.
		resend claim.Verdict
	}{
		{"no fault", nil, claim.Granted, claim.Pending},
		{"store unavailable", []fault{unavailable}, refused, claim.Granted},
		{"response lost, write in effect", []fault{unknownWritten}, claim.Granted, claim.Pending},
		{"response lost, write without effect", []fault{unknownNotWritten}, claim.Granted, claim.Pending},
		{"response lost twice", []fault{unknownNotWritten, unknownWritten}, claim.Granted, claim.Pending},
		{"response lost, write in effect, then store unavailable", []fault{unknownWritten, unavailable}, claim.Granted, claim.Pending},
		{"response lost, write without effect, then store unavailable", []fault{unknownNotWritten, unavailable}, refused, claim.Granted},
		{"response lost, then read fails", []fault{unknownThenReadFails}, refused, claim.Granted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(test.faults...)
			first := testClaimer(table)
			got := refused
			decision, err := first.Claim(t.Context(), request("k", "first"))
			if err == nil {
				got = decision.Verdict
			} else {
				is.True(errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown))
			}
			is.Equal(got, test.want)
			first.Close(t.Context())

			table.faults = nil
			second := testClaimer(table)
			decision, err = second.Claim(t.Context(), request("k", "second"))
			is.NoErr(err)
			is.Equal(decision.Verdict, test.resend)
			second.Close(t.Context())
		})
	}
}

func TestRecordedOutcomeIsReturned(t *testing.T) {
	for _, faults := range [][]fault{nil, {noFault, unavailable}, {noFault, unknownNotWritten}, {noFault, unknownWritten}} {
		is := is.New(t)
		table := newTable(faults...)
		first := testClaimer(table)
		_, err := first.Claim(t.Context(), request("k", "first"))
		is.NoErr(err)
		first.Record(request("k", "first"), claim.Outcome{Status: 201, Body: []byte("order 7")})
		first.Close(t.Context())

		second := testClaimer(table)
		decision, err := second.Claim(t.Context(), request("k", "second"))
		is.NoErr(err)
		is.Equal(decision.Verdict, claim.Recorded)
		is.Equal(string(decision.Outcome.Body), "order 7")

		other := request("k", "third")
		other.Fingerprint = 2
		decision, err = second.Claim(t.Context(), other)
		is.NoErr(err)
		is.Equal(decision.Verdict, claim.Mismatch)
		second.Close(t.Context())
	}
}

func TestReleaseDeletesOnlyOwnClaim(t *testing.T) {
	is := is.New(t)
	table := newTable()
	claimer := testClaimer(table)
	_, err := claimer.Claim(t.Context(), request("k", "first"))
	is.NoErr(err)
	claimer.Release(request("k", "other"))
	claimer.Close(t.Context())
	_, err = table.Memory.Get(t.Context(), claim.RowKey("orders", "k"))
	is.NoErr(err)
}

func TestAbandonedClaimIsReleased(t *testing.T) {
	is := is.New(t)
	table := newTable()
	claimer := newClaimer(table, zap.NewNop(), 20*time.Millisecond, time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := claimer.Claim(ctx, request("k", "first"))
	is.True(err != nil)
	claimer.Close(t.Context())
	again := testClaimer(table)
	decision, err := again.Claim(t.Context(), request("k", "second"))
	is.NoErr(err)
	is.Equal(decision.Verdict, claim.Granted)
	again.Close(t.Context())
}

// Of many attempts under one key, through several claimers at once, exactly one is granted, and the
// attempts under other keys are not affected.
func TestOneArrivalIsGranted(t *testing.T) {
	is := is.New(t)
	table := newTable()
	claimers := []*Claimer{testClaimer(table), testClaimer(table), testClaimer(table)}
	var mutex sync.Mutex
	granted := map[string]int{}
	var attempts sync.WaitGroup
	for i := range 120 {
		attempts.Go(func() {
			key := fmt.Sprint("k", i%4)
			decision, err := claimers[i%3].Claim(t.Context(), request(key, fmt.Sprint("attempt", i)))
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				granted["error"]++
			} else if decision.Verdict == claim.Granted {
				granted[key]++
			}
		})
	}
	attempts.Wait()
	is.Equal(granted, map[string]int{"k0": 1, "k1": 1, "k2": 1, "k3": 1})
}

func TestWritesShareTransactions(t *testing.T) {
	is := is.New(t)
	table := newTable()
	w := newWriter(table, time.Hour)
	var results []<-chan error
	for i := range 3 * claim.MaxBatchRows {
		results = append(results, w.submit(0, store.Write{Key: fmt.Sprint(i)}))
	}
	w.flush()
	for _, result := range results {
		is.NoErr(<-result)
	}
	is.Equal(table.txns, 3)
}

func TestSweepDeletesExpiredClaims(t *testing.T) {
	is := is.New(t)
	table := newTable()
	now := time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)
	claimer := newClaimer(table, zap.NewNop(), time.Millisecond, func() time.Time { return now })
	for i := range 2*sweepPageSize + 5 {
		row := claim.NewRow(&claim.Request{Attempt: "a"}, nil, now.Add(time.Duration(-i%2)*2*claim.TTL))
		value, err := row.Encode()
		is.NoErr(err)
		is.NoErr(table.Memory.Txn(t.Context(), nil, []store.Write{{Key: claim.RowKey("orders", fmt.Sprint(i)), Value: value}}))
	}
	deleted, err := claimer.Sweep(t.Context())
	is.NoErr(err)
	is.Equal(deleted, sweepPageSize+2)
	rows, err := table.Scan(t.Context(), claim.Prefix, "", 1000)
	is.NoErr(err)
	is.Equal(len(rows), sweepPageSize+3)
}
