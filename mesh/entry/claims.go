package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Claims records the claims and the responses of keyed requests. A claim.Outcome is the recorded
// response of a claim; it is unrelated to retry.Outcome (answered, refused or unknown).
type Claims interface {
	// Claim requests the right to run a request. The request may be dispatched only if the
	// verdict of the decision is claim.Granted, never after an error.
	Claim(ctx context.Context, request claim.Request) (claim.Decision, error)
	// Record stores the response of a granted request; it does not block.
	Record(request claim.Request, response claim.Outcome)
	// Release releases the claim of a request that certainly was not run; it does not block.
	Release(request claim.Request)
}

// requestClaim is the claim of a keyed request; nil for other requests.
type requestClaim struct {
	claims  Claims
	request claim.Request
	granted bool
	// recorded is the recorded response; nil unless the request ran before.
	recorded *claim.Outcome
}

// acquireClaim claims the key of a keyed request. It returns why the request must not be
// dispatched, or nil.
func (c *callerRequest) acquireClaim() *failure {
	if c.route.Repeat != revision.RepeatKeyed {
		return nil
	}
	claims := c.entry.deps.Claims
	if claims == nil {
		return refused(ReasonStoreUnavailable, stepClaim, "this daemon cannot claim idempotency keys").withPeer(c.entry.self.Host)
	}
	c.claim = &requestClaim{claims: claims, request: c.claimRequest()}
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	decision, err := claims.Claim(ctx, c.claim.request)
	if err != nil {
		return refused(ReasonStoreUnavailable, stepClaim, err.Error()).withPeer("platform")
	}
	return c.claim.apply(decision)
}

func (c *callerRequest) claimRequest() claim.Request {
	path := c.httpRequest.URL.RequestURI()
	key := c.httpRequest.Header.Get(HeaderIdempotencyKey)
	if c.tenant != nil {
		key = claim.TenantKey(c.tenant.Name, key)
	}
	return claim.Request{
		Service:     c.service,
		Key:         key,
		Attempt:     c.entry.self.Host + "/" + strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36),
		Fingerprint: claim.Fingerprint(c.httpRequest.Method, path, c.httpRequest.ContentLength, c.inlineBody),
	}
}

// apply stores the recorded response, if any. It returns why the request must not be
// dispatched, or nil.
func (k *requestClaim) apply(decision claim.Decision) *failure {
	switch decision.Verdict {
	case claim.Granted:
		k.granted = true
		return nil
	case claim.Mismatch:
		return refused(ReasonKeyReused, stepClaim, "the key was used for a different request")
	case claim.Recorded:
		if decision.Outcome.BodyDropped {
			return unknown(ReasonResponseDropped, stepClaim,
				"the request ran before with status "+strconv.Itoa(decision.Outcome.Status)+"; its response was too large to record")
		}
		k.recorded = decision.Outcome
		return nil
	}
	return unknown(ReasonClaimed, stepClaim, "an earlier request with this key may have been run; no response to it is recorded")
}

// hasRecorded reports whether the request ran before and its response is recorded.
func (k *requestClaim) hasRecorded() bool { return k != nil && k.recorded != nil }

// releaseIfRefused releases the granted claim of a request that certainly was not run. A request
// that may have run keeps its claim.
func (k *requestClaim) releaseIfRefused(failed *failure) {
	if k != nil && k.granted && failed.outcome == retry.Refused {
		k.claims.Release(k.request)
	}
}

// replay responds with the recorded response.
func (c *callerRequest) replay() {
	recorded := c.claim.recorded
	c.result = Result{Outcome: retry.Responded, Status: int(recorded.Status)}
	header := c.writer.Header()
	for _, field := range recorded.Headers {
		header.Add(field.Name, field.Value)
	}
	header.Set(HeaderOutcome, retry.Responded.String())
	header.Set(HeaderReplayed, "true")
	header.Set(c.entry.deps.Conventions.RequestIDHeader, c.requestID)
	if recorded.Status != http.StatusNoContent {
		header.Set("Content-Length", strconv.Itoa(len(recorded.Body)))
	}
	c.writer.WriteHeader(recorded.Status)
	_, _ = c.writer.Write(recorded.Body)
}

// recording keeps a response for later arrivals of a keyed request; nil for other requests.
type recording struct {
	claim   *requestClaim
	outcome claim.Outcome
}

// newRecording starts the recording of a response with its status and header fields.
func (k *requestClaim) newRecording(head *peerpb.AnswerHead) *recording {
	if k == nil {
		return nil
	}
	r := &recording{claim: k, outcome: claim.Outcome{Status: int(head.GetStatus())}}
	for _, field := range head.GetHeaders() {
		if !isHopByHop(field.GetName()) && !setByMesh(field.GetName()) {
			r.outcome.Headers = append(r.outcome.Headers, claim.Header{Name: field.GetName(), Value: field.GetValue()})
		}
	}
	return r
}

// add appends body data. A body longer than claim.MaxBodyBytes is dropped; the status is kept.
func (r *recording) add(data []byte) {
	if r == nil || r.outcome.BodyDropped {
		return
	}
	if len(r.outcome.Body)+len(data) > claim.MaxBodyBytes {
		r.outcome.BodyDropped = true
		r.outcome.Body = nil
		return
	}
	r.outcome.Body = append(r.outcome.Body, data...)
}

// save records the complete response.
func (r *recording) save() {
	if r != nil {
		r.claim.claims.Record(r.claim.request, r.outcome)
	}
}
