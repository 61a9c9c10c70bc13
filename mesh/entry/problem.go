package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/coord/retry"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Header fields of the port that callers use.
const (
	// HeaderOutcome is answered, refused or unknown on every response that the entry writes. The
	// responses of net/http itself, as to a header beyond the limit of the settings, lack it.
	HeaderOutcome = "X-Sassafras-Outcome"
	// HeaderRequestID identifies the request; an id is generated if the caller sends no valid
	// one (see Conventions.RequestIDHeader).
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline is the caller's remaining time, in milliseconds: a duration, not a point in
	// time.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderHops counts the daemons whose entry has accepted a request of the chain so far.
	// Targets copy it to the requests that they send while they handle a request.
	HeaderHops = "X-Sassafras-Hops"
	// HeaderIdempotencyKey carries the idempotency key of a keyed request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTenant is the name of the tenant whose API key a request carried. Targets receive it.
	HeaderTenant = "X-Sassafras-Tenant"
	// HeaderReplayed is "true" on the recorded response of a keyed request that ran before.
	HeaderReplayed = "X-Sassafras-Replayed"
)

// Problem is the JSON body of a response that no target gave.
type Problem struct {
	// Outcome is refused or unknown.
	Outcome string `json:"outcome"`
	Reason  Reason `json:"reason"`
	// Step is the step at which the request failed.
	Step string `json:"step"`
	// Peer is the host at which it failed, or "platform" if it failed at the store; empty if
	// neither was involved.
	Peer string `json:"peer,omitempty"`
	// Message explains the reason in words.
	Message   string `json:"message,omitempty"`
	RequestID string `json:"requestId"`
}

// The steps at which a request can fail.
const (
	stepAdmit   = "admit"
	stepBody    = "read body"
	stepBalance = "balance"
	stepClaim   = "claim"
	stepOpen    = "open stream"
	stepSend    = "send request"
	stepAwait   = "await answer"
	stepRelay   = "relay answer"
)

// failure describes a request or an attempt without a response from a target.
type failure struct {
	outcome       retry.Outcome
	reason        Reason
	step          string
	peer          string
	detail        string
	retryAfter    time.Duration
	targetCrashed bool
	load          *peerpb.Load // of the host that refused; nil if it reported none
	// byAdmission means that admission control of the host refused the request: it reached no
	// target there.
	byAdmission bool
	// silent means that the host sent nothing in time, as opposed to a connection that was closed.
	silent bool
}

// withoutTarget reports whether the host had no target to run the request, or was not asked, so that
// the attempt cost no target anything.
func (f *failure) withoutTarget() bool {
	return f.outcome == retry.Refused && (f.reason.hostUnavailable() || f.reason == ReasonLocalLimit)
}

// refused returns the failure of a request that certainly was not run.
func refused(reason Reason, step, detail string) *failure {
	return &failure{outcome: retry.Refused, reason: reason, step: step, detail: detail}
}

// unknown returns the failure of a request that may have been run.
func unknown(reason Reason, step, detail string) *failure {
	return &failure{outcome: retry.Unknown, reason: reason, step: step, detail: detail}
}

// withPeer sets where the failure arose: a host, or "platform" for the store.
func (f *failure) withPeer(peer string) *failure {
	f.peer = peer
	return f
}

// minRetryAfter is the shortest time in Retry-After when it is in whole seconds.
const minRetryAfter = time.Second

// minFractionalRetryAfter is the shortest mean time in Retry-After, before its jitter, when callers
// understand fractions: about the duration of a short request, within which a slot becomes free.
const minFractionalRetryAfter = 50 * time.Millisecond

// leastFractionalRetryAfter is the shortest time in Retry-After when callers understand fractions.
const leastFractionalRetryAfter = 5 * time.Millisecond

// retryable reports whether sending the request again later can succeed.
func (f *failure) retryable() bool {
	status := f.reason.httpStatus()
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || f.reason == ReasonClaimed
}

// retryAfter formats a time for the field Retry-After.
func (c *Conventions) retryAfter(wait time.Duration) string {
	if c.FractionalRetryAfter {
		if wait == 0 {
			wait = minFractionalRetryAfter // none is known
		}
		return strconv.FormatFloat(max(wait, leastFractionalRetryAfter).Seconds(), 'f', 3, 64)
	}
	seconds := int64((max(wait, minRetryAfter) + time.Second - 1) / time.Second)
	return strconv.FormatInt(seconds, 10)
}

// writeFailure responds to the caller with a failure.
func (c *callerRequest) writeFailure(failed *failure) {
	c.result = Result{Outcome: failed.outcome, Reason: failed.reason, Status: failed.reason.httpStatus()}
	header := c.writer.Header()
	header.Set(HeaderOutcome, failed.outcome.String())
	header.Set(c.entry.deps.Conventions.RequestIDHeader, c.requestID)
	header.Set("Content-Type", "application/json")
	if failed.reason == ReasonUnauthorized {
		header.Set("WWW-Authenticate", bearerScheme)
	}
	if failed.retryable() {
		header.Set("Retry-After", c.entry.deps.Conventions.retryAfter(failed.retryAfter))
	}
	if c.mustClose(failed) {
		header.Set("Connection", "close")
	}
	limitTail(c.writer)
	c.writer.WriteHeader(failed.reason.httpStatus())
	_ = json.NewEncoder(c.writer).Encode(Problem{
		Outcome:   failed.outcome.String(),
		Reason:    failed.reason,
		Step:      failed.step,
		Peer:      failed.peer,
		Message:   failed.detail,
		RequestID: c.requestID,
	})
	c.logFailure(failed)
}

// logFailure logs a request to which no target responded.
func (c *callerRequest) logFailure(failed *failure) {
	line := c.entry.deps.Log.Check(zap.InfoLevel, "call not answered")
	if line == nil {
		return
	}
	line.Write(append(c.failureFields(failed), zap.Int("status", failed.reason.httpStatus()), zap.Int("attempts", c.attempts),
		zap.Duration("retry_after", failed.retryAfter))...)
}

// logRetry logs that another attempt follows.
func (c *callerRequest) logRetry(failed *failure) {
	if line := c.entry.deps.Log.Check(zap.InfoLevel, "call attempted again"); line != nil {
		line.Write(append(c.failureFields(failed), zap.Int("attempts", c.attempts))...)
	}
}

// responseLogInterval is the interval of logged successful responses: one in this many is logged,
// by attempt number.
const responseLogInterval = 256

// logResponse logs a request to which a target responded: each one that failed or was truncated,
// and one in responseLogInterval of the others.
func (c *callerRequest) logResponse(e *exchange) {
	good := !e.truncated && e.status < http.StatusInternalServerError
	if good && e.attempt%responseLogInterval != 0 {
		return
	}
	line := c.entry.deps.Log.Check(zap.InfoLevel, "call answered")
	if line == nil {
		return
	}
	line.Write(zap.String("request_id", c.requestID), zap.String("service", c.service),
		zap.String("route", c.route.Name), c.tenantField(), zap.String("peer", e.endpoint.Host), zap.String("peer_zone", e.endpoint.Zone),
		zap.String("version", e.endpoint.Version), zap.Stringer("outcome", retry.Responded), zap.Int("status", e.status),
		zap.Bool("cut", e.truncated), zap.Int("attempts", c.attempts), zap.Uint64("revision", c.snapshot.Revision()),
		zap.Duration("took", time.Since(c.startedAt)), zap.Duration("left", time.Until(c.deadline)))
}

// maxLoggedPath bounds the path in a log line, in bytes.
const maxLoggedPath = 128

// failureFields returns the log fields that explain a decision on the request.
func (c *callerRequest) failureFields(failed *failure) []zap.Field {
	fields := []zap.Field{
		zap.String("request_id", c.requestID),
		zap.String("service", c.service),
		zap.String("step", failed.step),
		zap.String("peer", failed.peer),
		zap.Stringer("outcome", failed.outcome),
		zap.String("reason", string(failed.reason)),
		zap.String("detail", failed.detail),
	}
	if c.nested {
		fields = append(fields, zap.Bool("nested", true))
	}
	if failed.load != nil {
		fields = append(fields, zap.Int32("outstanding", failed.load.GetOutstanding()),
			zap.Int32("queued", failed.load.GetQueued()), zap.Int32("slots", failed.load.GetSlots()))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name))
	} else {
		path := c.httpRequest.URL.Path
		fields = append(fields, zap.String("authority", c.httpRequest.Host), zap.String("path", path[:min(len(path), maxLoggedPath)]))
	}
	fields = append(fields, c.tenantField())
	if c.snapshot != nil {
		fields = append(fields, zap.Uint64("revision", c.snapshot.Revision()))
	}
	if !c.deadline.IsZero() {
		fields = append(fields, zap.Duration("left", time.Until(c.deadline)), zap.Duration("took", time.Since(c.startedAt)))
	}
	return fields
}

// reportResult passes the result of the request to the observer.
func (c *callerRequest) reportResult() {
	if c.route == nil {
		return
	}
	c.result.Service = c.service
	c.result.WithTenants = len(c.snapshot.Tenants()) > 0
	if c.tenant != nil {
		c.result.Tenant = c.tenant.Name
	}
	c.result.CallerDisconnected = c.httpRequest.Context().Err() != nil
	if !c.startedAt.IsZero() {
		c.result.Duration = time.Since(c.startedAt)
	}
	c.entry.deps.RequestObserver.ObserveRequest(c.result)
}

// mustClose reports whether the connection is closed after the failure because it is beyond the limit or
// the entry is leaving. That a body was not read is decided by bodyGuard.
func (c *callerRequest) mustClose(failed *failure) bool {
	return failed.reason == ReasonLimit || c.closesConnection()
}

// closesConnection reports whether the connection is closed after the response because the daemon
// stops.
func (c *callerRequest) closesConnection() bool {
	return c.entry.keepAlivesDisabled.Load() && c.conn.startClosing()
}
