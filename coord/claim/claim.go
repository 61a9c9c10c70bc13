// Package claim decides which attempt of a request with an idempotency key may run. A request with
// an idempotency key is one on a route with revision.RepeatKeyed, where the caller must send a key;
// it runs at most once for each key, however often its caller sends it and to whichever host. Each
// time it is sent is a new attempt. Before the first attempt is dispatched, a row is written on the
// condition that the row is absent: the claim. Repetitions of the request are decided on by that
// row. The outcome in the row is the recorded response.
package claim

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Prefix is the prefix of the keys of all claim rows in the store.
const Prefix = "claim/"

const (
	// TTL is the time from the first attempt for which a claim is kept.
	TTL = 24 * time.Hour
	// MaxKeyBytes bounds the length of an idempotency key, in bytes.
	MaxKeyBytes = 128
	// MaxBodyBytes bounds the recorded body of a response, in bytes.
	MaxBodyBytes = 32 << 10
	// MaxReleased bounds the released attempts that a row remembers.
	MaxReleased = 16
	// ExpiredRetention is how long an expired row is kept before it may be deleted. While the row
	// exists, a write of an earlier attempt that takes effect late still fails its condition.
	ExpiredRetention = 10 * time.Minute
)

// ErrCorrupt is returned for the bytes of a row that are not an encoded claim.
var ErrCorrupt = errors.New("claim: corrupt row")

// Request is one attempt of a request with an idempotency key.
type Request struct {
	Service string
	// Key is the idempotency key that the caller sent, or the result of TenantKey.
	Key string
	// Attempt identifies the attempt; it is unique for each.
	Attempt string
	// Fingerprint distinguishes different requests under the same key; see the function
	// Fingerprint.
	Fingerprint uint64
}

// TenantKey returns the key of a tenant's request that carries an idempotency key. It differs from the keys of
// all other tenants and of requests without one, since an idempotency key contains no space.
func TenantKey(tenant, key string) string { return tenant + " " + key }

// RowKey returns the key of the request's claim row in the store.
func (r *Request) RowKey() string { return RowKey(r.Service, r.Key) }

// RowKey returns the key of a claim row in the store.
func RowKey(service, key string) string {
	return Prefix + url.PathEscape(service) + "/" + url.PathEscape(key)
}

// Header is a header field of a recorded response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Outcome is the recorded response to a request with an idempotency key.
type Outcome struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// BodyDropped is set if the body exceeds MaxBodyBytes and is not recorded.
	BodyDropped bool `json:"dropped,omitempty"`
}

// Row is a claim as stored, encoded as JSON.
type Row struct {
	// Attempt identifies the attempt that holds the claim.
	Attempt     string    `json:"attempt"`
	Fingerprint uint64    `json:"fingerprint,string"`
	Expires     time.Time `json:"expires"`
	// Outcome is nil until the response is recorded.
	Outcome *Outcome `json:"outcome,omitempty"`
	// Released lists the latest attempts that gave up their claim; they certainly were not run and
	// must not be granted. If Attempt is among them, nobody holds the claim.
	Released []string `json:"released,omitempty"`
}

// NewRow returns the row that claims the request's key in place of previous, which is nil if there
// is no row. It expires TTL after now.
func NewRow(request *Request, previous *Row, now time.Time) *Row {
	row := &Row{
		Attempt:     request.Attempt,
		Fingerprint: request.Fingerprint,
		Expires:     now.Add(TTL),
	}
	if previous != nil {
		row.Released = previous.Released
	}
	return row
}

// Encode returns the encoded row.
func (r *Row) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRow decodes a row. Its errors wrap ErrCorrupt.
func DecodeRow(data []byte) (*Row, error) {
	row := new(Row)
	if err := json.Unmarshal(data, row); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if row.Attempt == "" {
		return nil, fmt.Errorf("%w: attempt is missing", ErrCorrupt)
	}
	return row, nil
}

// Expired reports whether the claim is no longer valid.
func (r *Row) Expired(now time.Time) bool { return now.After(r.Expires) }

// Deletable reports whether the row expired at least ExpiredRetention ago.
func (r *Row) Deletable(now time.Time) bool { return r.Expired(now.Add(-ExpiredRetention)) }

// hasReleased reports whether the attempt gave up its claim.
func (r *Row) hasReleased(attempt string) bool { return slices.Contains(r.Released, attempt) }

// Release returns the row to store in place of row so that the attempt neither holds the claim nor
// is granted it later, or nil if the stored row ensures that already. The row is nil if there is
// none. The attempt must not have been dispatched.
//
// Rows are replaced, never deleted: a write of the attempt that is still under way has the version
// of an earlier row, or the absence of the row, as its condition, which then fails for good.
func Release(row *Row, request *Request, now time.Time) *Row {
	if row == nil {
		return &Row{Attempt: request.Attempt, Fingerprint: request.Fingerprint, Expires: now, Released: []string{request.Attempt}}
	}
	if row.Outcome != nil || row.hasReleased(request.Attempt) {
		return nil
	}
	next := *row
	next.Released = append(slices.Clone(row.Released), request.Attempt)
	next.Released = next.Released[max(0, len(next.Released)-MaxReleased):]
	if row.Attempt == request.Attempt {
		next.Expires = now
	} else if row.hasReleased(row.Attempt) {
		next.Attempt = request.Attempt // so that the row stays one that nobody holds
	}
	return &next
}

// Verdict is the decision on an attempt.
type Verdict int

// The verdicts on an attempt.
const (
	// Pending means that another attempt holds the claim and no response is recorded: the
	// request may have run, may be running or may still run.
	Pending Verdict = iota
	// Granted means that this attempt holds the claim and is dispatched.
	Granted
	// Recorded means that the request ran and its recorded response is available.
	Recorded
	// Mismatch means that the key was used for a request with another fingerprint.
	Mismatch
	// Expired means that the claim is released or no longer valid and its row may be replaced.
	Expired
	// Withdrawn means that this attempt was released before. It must not be dispatched.
	Withdrawn
)

// Decision is a verdict; Outcome, the recorded response, is set with Recorded only.
type Decision struct {
	Verdict Verdict
	Outcome *Outcome
}

// Decide returns the decision on an attempt by the row that is stored under its key. An attempt
// whose own identifier is in the row holds the claim: its write took effect, but the response of
// the store was lost.
func Decide(row *Row, request *Request, now time.Time) Decision {
	switch {
	case row.hasReleased(request.Attempt):
		return Decision{Verdict: Withdrawn}
	case row.Attempt == request.Attempt:
		return Decision{Verdict: Granted}
	case row.hasReleased(row.Attempt), row.Expired(now):
		return Decision{Verdict: Expired}
	case row.Fingerprint != request.Fingerprint:
		return Decision{Verdict: Mismatch}
	case row.Outcome != nil:
		return Decision{Verdict: Recorded, Outcome: row.Outcome}
	}
	return Decision{Verdict: Pending}
}

// Fingerprint returns a 64-bit xxHash of a request's method, its path with the query, the stated
// length of its body in bytes and the start of the body.
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
