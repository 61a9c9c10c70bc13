package entry

import (
	"net/http"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Reason states why a request has no response of a target.
type Reason string

// Reasons of requests that were not run (outcome refused), unless a comment states otherwise.
const (
	// ReasonOverloaded means that the host or its targets have no capacity for the request.
	ReasonOverloaded Reason = "overloaded"
	// ReasonLeaving means that the daemon or the target is stopping.
	ReasonLeaving Reason = "leaving"
	// ReasonNoTarget means that no target of the service, or none at the host, can run the
	// request.
	ReasonNoTarget Reason = "no-target"
	// ReasonExpired means that the deadline passed, or the caller disconnected, before the
	// request was dispatched. After the dispatch, ReasonTimeout and ReasonCallerDisconnected apply.
	ReasonExpired Reason = "expired"
	// ReasonQuarantined means that the host refuses the request because it was in flight at
	// several crashes of targets.
	ReasonQuarantined Reason = "quarantined"
	// ReasonNotConfigured means that the daemon has not applied a configuration yet.
	ReasonNotConfigured Reason = "not-configured"
	// ReasonStoreUnavailable means that the key of a keyed request could not be claimed in the
	// store.
	ReasonStoreUnavailable Reason = "platform-down"
	// ReasonLimit means that the entry has too many connections, or that the request exceeds a
	// limit of the target's host.
	ReasonLimit Reason = "limit"
	// ReasonTenantLimit means that the tenant's requests exceed its rate limit.
	ReasonTenantLimit Reason = "tenant-limit"
	// ReasonUnreachable means that no stream to the host could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonLocalLimit means that this daemon is short of descriptors, of memory, or of streams
	// to the host.
	ReasonLocalLimit Reason = "local-limit"
	// ReasonNoRoute means that no route matches the request.
	ReasonNoRoute Reason = "no-route"
	// ReasonBadRequest means that the path or a header field of the request is malformed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonBodyTooLarge means that the body exceeds the limit of the settings or the
	// configuration. If the excess is found while the body is streamed to a host, the outcome is
	// unknown, not refused.
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonHeaderTooLarge means that the header exceeds the configuration's limit.
	ReasonHeaderTooLarge Reason = "header-too-large"
	// ReasonLoop means that the chain of requests exceeds the hop limit.
	ReasonLoop Reason = "loop"
	// ReasonKeyMissing means that a keyed request has no idempotency key.
	ReasonKeyMissing Reason = "key-missing"
	// ReasonKeyReused means that the idempotency key was used for a different request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonUnauthorized means that the request carries no valid API key on a route that requires one.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonKeysOutdated means that this daemon can't decide on the request's API key, because its copy
	// of the configuration may lack changes of the keys.
	ReasonKeysOutdated Reason = "keys-outdated"
	// ReasonDependency means that the requests that a run makes at other services are refused, so that
	// most runs fail. It is a matter of the services, so no other host is tried.
	ReasonDependency Reason = "dependency"
	// ReasonUnspecified means that a peer refused the request for a reason that is unknown to
	// this daemon.
	ReasonUnspecified Reason = "unspecified"
)

// Reasons of requests of which it is unknown whether they ran (outcome unknown), unless a comment
// states otherwise.
const (
	// ReasonClaimed means that an earlier arrival of a keyed request may have run it and no
	// response is recorded yet. If a host refuses an attempt with this reason, the outcome of the
	// attempt is refused.
	ReasonClaimed Reason = "claimed"
	// ReasonResponseDropped means that a keyed request ran before and its response was too
	// large to record.
	ReasonResponseDropped Reason = "answer-dropped"
	// ReasonLost means that the stream broke after the request was sent.
	ReasonLost Reason = "lost"
	// ReasonCallerDisconnected means that the caller disconnected before a response arrived.
	ReasonCallerDisconnected Reason = "departed"
	// ReasonFailed means that the target accepted the request and sent no complete response.
	ReasonFailed Reason = "failed"
	// ReasonInvalidResponse means that the response belongs to another attempt or is not
	// valid.
	ReasonInvalidResponse Reason = "crossed"
	// ReasonTimeout means that the deadline passed after the request was dispatched and before a
	// response arrived; before the dispatch, ReasonExpired applies.
	ReasonTimeout Reason = "timeout"
	// ReasonBodyCut means that the caller's body was truncated or malformed. If nothing was
	// sent to a host by then, the outcome is refused, not unknown.
	ReasonBodyCut Reason = "body-cut"
)

var refusalReasons = map[peerpb.RefusalReason]Reason{
	peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED:     ReasonOverloaded,
	peerpb.RefusalReason_REFUSAL_REASON_LEAVING:        ReasonLeaving,
	peerpb.RefusalReason_REFUSAL_REASON_NO_TARGET:      ReasonNoTarget,
	peerpb.RefusalReason_REFUSAL_REASON_EXPIRED:        ReasonExpired,
	peerpb.RefusalReason_REFUSAL_REASON_QUARANTINED:    ReasonQuarantined,
	peerpb.RefusalReason_REFUSAL_REASON_NOT_CONFIGURED: ReasonNotConfigured,
	peerpb.RefusalReason_REFUSAL_REASON_CLAIMED:        ReasonClaimed,
	peerpb.RefusalReason_REFUSAL_REASON_PLATFORM_DOWN:  ReasonStoreUnavailable,
	peerpb.RefusalReason_REFUSAL_REASON_LIMIT:          ReasonLimit,
	peerpb.RefusalReason_REFUSAL_REASON_DEPENDENCY:     ReasonDependency,
}

// refusalReason converts the reason of a peer, which may be newer than this daemon.
func refusalReason(reason peerpb.RefusalReason) Reason {
	if known, ok := refusalReasons[reason]; ok {
		return known
	}
	return ReasonUnspecified
}

// httpStatus returns the HTTP status of a response with the reason.
func (r Reason) httpStatus() int {
	switch r {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonBadRequest, ReasonKeyMissing, ReasonBodyCut:
		return http.StatusBadRequest
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReasonLimit, ReasonTenantLimit:
		return http.StatusTooManyRequests
	case ReasonLoop:
		return http.StatusLoopDetected
	case ReasonClaimed, ReasonResponseDropped:
		return http.StatusConflict
	case ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case ReasonTimeout:
		return http.StatusGatewayTimeout
	case ReasonLost, ReasonCallerDisconnected, ReasonFailed, ReasonInvalidResponse:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// countsAgainstHost reports whether the reason indicates an unhealthy host rather than a
// problem of the request or the load.
func (r Reason) countsAgainstHost() bool {
	switch r {
	case ReasonUnreachable, ReasonLost, ReasonFailed, ReasonInvalidResponse, ReasonTimeout:
		return true
	}
	return false
}

// isFinal reports whether no other host can do better: the request is refused on every host, or too
// little time is left.
func (r Reason) isFinal() bool {
	return r == ReasonQuarantined || r == ReasonDependency || r == ReasonExpired
}

// causedByCaller reports whether the caller caused the reason.
func (r Reason) causedByCaller() bool {
	switch r {
	case ReasonCallerDisconnected, ReasonBodyCut, ReasonBodyTooLarge:
		return true
	}
	return false
}

// hostUnavailable reports whether the host accepts no requests for the moment.
func (r Reason) hostUnavailable() bool {
	switch r {
	case ReasonUnreachable, ReasonLeaving, ReasonNoTarget, ReasonNotConfigured:
		return true
	}
	return false
}
