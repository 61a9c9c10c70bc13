// Package claim decides who may run a keyed request: a request that runs at most
// once for each key, however often and wherever its caller sends it. The first
// arrival writes a row that must be absent before it dispatches; later arrivals
// are judged by that row.
package claim

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Prefix starts the keys of all claim rows.
const Prefix = "claim/"

const (
	// TTL is the time for which a key is remembered.
	TTL = 24 * time.Hour
	// MaxKeyBytes bounds the length of a key, in bytes.
	MaxKeyBytes = 128
	// MaxBodyBytes bounds the recorded body of an answer, in bytes.
	MaxBodyBytes = 32 << 10
)

// ErrCorrupt means that a row is no claim.
var ErrCorrupt = errors.New("claim: corrupt row")

// Request is one arrival of a keyed request.
type Request struct {
	Service string
	Key     string
	// Attempt is unique for each arrival.
	Attempt string
	// Fingerprint tells different requests under the same key apart.
	Fingerprint uint64
}

// RowKey returns the key of the claim's row.
func (r *Request) RowKey() string { return RowKey(r.Service, r.Key) }

// RowKey returns the key of a claim's row.
func RowKey(service, key string) string {
	return Prefix + url.PathEscape(service) + "/" + url.PathEscape(key)
}

// Header is a header field of a recorded answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Outcome is the recorded answer of a keyed request.
type Outcome struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// BodyDropped means that the body was above MaxBody and is not kept.
	BodyDropped bool `json:"dropped,omitempty"`
}

// Row is the stored claim.
type Row struct {
	Attempt     string    `json:"attempt"`
	Fingerprint uint64    `json:"fingerprint,string"`
	Expires     time.Time `json:"expires"`
	// Outcome is nil while it is not recorded.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// NewRow returns the row that claims the request's key.
func NewRow(request *Request, now time.Time) *Row {
	return &Row{
		Attempt:     request.Attempt,
		Fingerprint: request.Fingerprint,
		Expires:     now.Add(TTL),
	}
}

// Encode returns the row as stored.
func (r *Row) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRow reads a stored row. It returns ErrCorrupt if the bytes are not one.
func DecodeRow(data []byte) (*Row, error) {
	row := new(Row)
	if err := json.Unmarshal(data, row); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if row.Attempt == "" {
		return nil, fmt.Errorf("%w: no attempt", ErrCorrupt)
	}
	return row, nil
}

// Expired reports whether the key is no longer remembered.
func (r *Row) Expired(now time.Time) bool { return now.After(r.Expires) }

// Verdict is what an arrival may do.
type Verdict int

// The verdicts on an arrival.
const (
	// Pending means that another arrival holds the claim and no outcome is
	// recorded: the request may have run, may be running or may run yet.
	Pending Verdict = iota
	// Granted means that this arrival holds the claim and dispatches.
	Granted
	// Recorded means that the request ran and its outcome is at hand.
	Recorded
	// Mismatch means that the key was used for a different request.
	Mismatch
	// Expired means that the row no longer counts and may be replaced.
	Expired
)

// Decision is the verdict with the recorded outcome, if there is one.
type Decision struct {
	Verdict Verdict
	Outcome *Outcome
}

// Decide decides on an arrival by the row that is stored under its key. An
// arrival that finds its own attempt holds the claim: its write took effect
// though the answer was lost.
func Decide(row *Row, request *Request, now time.Time) Decision {
	switch {
	case row.Attempt == request.Attempt:
		return Decision{Verdict: Granted}
	case row.Expired(now):
		return Decision{Verdict: Expired}
	case row.Fingerprint != request.Fingerprint:
		return Decision{Verdict: Mismatch}
	case row.Outcome != nil:
		return Decision{Verdict: Recorded, Outcome: row.Outcome}
	}
	return Decision{Verdict: Pending}
}

// Fingerprint identifies a request by its method, its path with the query, the
// stated length of its body and the start of the body.
func Fingerprint(method, path string, length int64, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{method, path, fmt.Sprint(length)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}
