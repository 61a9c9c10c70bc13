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

// fault is what becomes of one transaction.
type fault int

const (
	none fault = iota
	unavailable
	lostBefore // the outcome is unknown; the write had no effect
	lostAfter  // the outcome is unknown; the write took effect
	noReads    // as lostAfter, and the next read fails
)

// faultyTable is a table whose transactions meet faults in turn.
type faultyTable struct {
	*store.Memory
	mutex  sync.Mutex
	faults []fault
	blind  bool
	txns   int
}

func (f *faultyTable) next() fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.txns++
	if len(f.faults) == 0 {
		return none
	}
	first := f.faults[0]
	f.faults = f.faults[1:]
	f.blind = first == noReads
	return first
}

func (f *faultyTable) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) error {
	switch f.next() {
	case unavailable:
		return store.ErrUnavailable
	case lostBefore:
		return store.ErrOutcomeUnknown
	case lostAfter, noReads:
		_ = f.Memory.Txn(ctx, compares, writes)
		return store.ErrOutcomeUnknown
	}
	return f.Memory.Txn(ctx, compares, writes)
}

func (f *faultyTable) Get(ctx context.Context, key string) (store.Row, error) {
	f.mutex.Lock()
	blind := f.blind
	f.blind = false
	f.mutex.Unlock()
	if blind {
		return store.Row{}, store.ErrUnavailable
	}
	return f.Memory.Get(ctx, key)
}

func newTable(faults ...fault) *faultyTable {
	return &faultyTable{Memory: store.NewMemory(), faults: faults}
}

func testClaimer(table store.Table) *Claimer {
	claimer := newClaimer(table, zap.NewNop(), time.Millisecond, time.Now)
	claimer.lateFor = time.Millisecond // one try
	return claimer
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
		// resend is the verdict on a second arrival after the first settled.
		resend claim.Verdict
	}{
		{"no fault", nil, claim.Granted, claim.Pending},
		{"platform out", []fault{unavailable}, refused, claim.Granted},
		{"answer lost, write in effect", []fault{lostAfter}, claim.Granted, claim.Pending},
		{"answer lost, write lost", []fault{lostBefore}, claim.Granted, claim.Pending},
		{"answer lost twice", []fault{lostBefore, lostAfter}, claim.Granted, claim.Pending},
		{"answer lost, then platform out", []fault{lostAfter, unavailable}, claim.Granted, claim.Pending},
		{"write lost, then platform out", []fault{lostBefore, unavailable}, refused, claim.Granted},
		{"answer lost, then read fails", []fault{noReads}, refused, claim.Granted},
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

func TestRecordedOutcomeIsHandedOut(t *testing.T) {
	for _, faults := range [][]fault{nil, {none, unavailable}, {none, lostBefore}, {none, lostAfter}} {
		is := is.New(t)
		table := newTable(faults...)
		first := testClaimer(table)
		_, err := first.Claim(t.Context(), request("k", "first"))
		is.NoErr(err)
		first.Record(request("k", "first"), claim.Outcome{Status: 201, Body: []byte("swan 7")})
		first.Close(t.Context())

		second := testClaimer(table)
		decision, err := second.Claim(t.Context(), request("k", "second"))
		is.NoErr(err)
		is.Equal(decision.Verdict, claim.Recorded)
		is.Equal(string(decision.Outcome.Body), "swan 7")

		other := request("k", "third")
		other.Fingerprint = 2
		decision, err = second.Claim(t.Context(), other)
		is.NoErr(err)
		is.Equal(decision.Verdict, claim.Mismatch)
		second.Close(t.Context())
	}
}

func TestReleaseTouchesOnlyTheOwnClaim(t *testing.T) {
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
	_, err = table.Memory.Get(t.Context(), claim.RowKey("orders", "k"))
	is.True(errors.Is(err, store.ErrNotFound))
}

// Of many arrivals under one key, through several claimers at once, one is
// granted; arrivals under other keys are not held up by them.
func TestOneArrivalIsGranted(t *testing.T) {
	is := is.New(t)
	table := newTable()
	claimers := []*Claimer{testClaimer(table), testClaimer(table), testClaimer(table)}
	var mutex sync.Mutex
	granted := map[string]int{}
	var arrivals sync.WaitGroup
	for i := range 120 {
		arrivals.Go(func() {
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
	arrivals.Wait()
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
	for i := range 2*sweepPage + 5 {
		row := claim.NewRow(&claim.Request{Attempt: "a"}, now.Add(time.Duration(-i%2)*2*claim.TTL))
		value, err := row.Encode()
		is.NoErr(err)
		is.NoErr(table.Memory.Txn(t.Context(), nil, []store.Write{{Key: claim.RowKey("orders", fmt.Sprint(i)), Value: value}}))
	}
	deleted, err := claimer.Sweep(t.Context())
	is.NoErr(err)
	is.Equal(deleted, sweepPage+2)
	rows, err := table.Scan(t.Context(), claim.Prefix, "", 1000)
	is.NoErr(err)
	is.Equal(len(rows), sweepPage+3)
}
