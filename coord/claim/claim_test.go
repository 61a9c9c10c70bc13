package claim

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/store"
)

func TestDecide(t *testing.T) {
	now := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	outcome := &Outcome{Status: 201}
	request := &Request{Service: "orders", Key: "k", Attempt: "a", Fingerprint: 1}
	valid := now.Add(time.Hour)
	tests := []struct {
		name string
		row  Row
		want Verdict
	}{
		{"own attempt", Row{Attempt: "a", Fingerprint: 1, Expires: valid}, Granted},
		{"another attempt, no outcome", Row{Attempt: "b", Fingerprint: 1, Expires: valid}, Pending},
		{"another attempt, recorded", Row{Attempt: "b", Fingerprint: 1, Expires: valid, Outcome: outcome}, Recorded},
		{"another request, no outcome", Row{Attempt: "b", Fingerprint: 2, Expires: valid}, Mismatch},
		{"another request, recorded", Row{Attempt: "b", Fingerprint: 2, Expires: valid, Outcome: outcome}, Mismatch},
		{"expired", Row{Attempt: "b", Fingerprint: 2, Expires: now.Add(-time.Second), Outcome: outcome}, Expired},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			data, err := test.row.Encode()
			is.NoErr(err)
			row, err := DecodeRow(data)
			is.NoErr(err)
			is.Equal(Decide(row, request, now).Verdict, test.want)
		})
	}
}

func TestDecodeRowReportsCorruptRow(t *testing.T) {
	for _, data := range []string{"", "{}", "[1]", `{"attempt":3}`} {
		_, err := DecodeRow([]byte(data))
		is.New(t).True(errors.Is(err, ErrCorrupt))
	}
}

func TestRowKeysOfDifferentServicesDiffer(t *testing.T) {
	is := is.New(t)
	is.True(RowKey("a", "b/c") != RowKey("a/b", "c"))
}

func TestFingerprint(t *testing.T) {
	is := is.New(t)
	base := Fingerprint("POST", "/order", 4, []byte("swan"))
	is.Equal(base, Fingerprint("POST", "/order", 4, []byte("swan")))
	is.True(base != Fingerprint("PUT", "/order", 4, []byte("swan")))
	is.True(base != Fingerprint("POST", "/order", 4, []byte("swam")))
	is.True(base != Fingerprint("POST", "/orders", 4, []byte("swan")))
}

func TestBatchHoldsOneWriteOfARow(t *testing.T) {
	is := is.New(t)
	batch := new(Batch)
	is.True(batch.Add(0, store.Write{Key: "a"}))
	is.True(!batch.Add(0, store.Write{Key: "a"}))
	for i := range MaxBatchRows - 1 {
		is.True(batch.Add(0, store.Write{Key: string(rune('b' + i))}))
	}
	is.True(!batch.Add(0, store.Write{Key: "beyond the bound"}))
	is.Equal(len(batch.Compares), MaxBatchRows)
}
