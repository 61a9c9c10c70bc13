package entry

import (
	"net/http"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Reason states why a request has no answer of a target.
type Reason string

// The reasons for which a request was not run.
const (
	ReasonOverloaded       Reason = "overloaded"
	ReasonLeaving          Reason = "leaving"
	ReasonNoTarget         Reason = "no-target"
	ReasonExpired          Reason = "expired"
	ReasonQuarantined      Reason = "quarantined"
	ReasonNotConfigured    Reason = "not-configured"
	ReasonStoreUnavailable Reason = "platform-down"
	ReasonLimit            Reason = "limit"
	ReasonUnreachable      Reason = "unreachable"
	ReasonNoRoute          Reason = "no-route"
	ReasonBadRequest       Reason = "bad-request"
	ReasonBodyTooLarge     Reason = "body-too-large"
	// ReasonHeaderTooLarge means that the header is above the configuration's limit.
	ReasonHeaderTooLarge Reason = "header-too-large"
	ReasonLoop           Reason = "loop"
	ReasonKeyMissing     Reason = "key-missing"
	ReasonKeyReused      Reason = "key-reused"
	ReasonUnspecified    Reason = "unspecified"
)

// The reasons for which it is not known whether a request ran.
const (
	// ReasonClaimed means that an earlier arrival of a keyed request may have
	// run it and has no recorded outcome yet.
	ReasonClaimed Reason = "claimed"
	// ReasonResponseDropped means that a keyed request ran before and its answer
	// was too large to keep.
	ReasonResponseDropped Reason = "answer-dropped"
	// ReasonLost means that the stream broke after the request was sent.
	ReasonLost Reason = "lost"
	// ReasonCallerDisconnected means that the caller left before an answer came.
	ReasonCallerDisconnected Reason = "departed"
	// ReasonFailed means that the target took the request and gave no whole
	// answer.
	ReasonFailed Reason = "failed"
	// ReasonInvalidResponse means that an answer of another attempt arrived.
	ReasonInvalidResponse Reason = "crossed"
	// ReasonTimeout means that the deadline passed before an answer came.
	ReasonTimeout Reason = "timeout"
	// ReasonBodyCut means that the caller's body broke off or was malformed.
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
}

// refusalReason translates the reason of a peer, which may be newer than this
// daemon.
func refusalReason(reason peerpb.RefusalReason) Reason {
	if known, ok := refusalReasons[reason]; ok {
		return known
	}
	return ReasonUnspecified
}

// httpStatus returns the HTTP httpStatus that tells the reason.
func (r Reason) httpStatus() int {
	switch r {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonBadRequest, ReasonKeyMissing, ReasonBodyCut:
		return http.StatusBadRequest
	case ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReasonLimit:
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

// countsAgainstHost reports whether the reason speaks against the host's health
// rather than the request or the load.
func (r Reason) countsAgainstHost() bool {
	switch r {
	case ReasonUnreachable, ReasonLost, ReasonFailed, ReasonInvalidResponse, ReasonTimeout:
		return true
	}
	return false
}

// causedByCaller reports whether the caller brought the reason about.
func (r Reason) causedByCaller() bool {
	switch r {
	case ReasonCallerDisconnected, ReasonBodyCut, ReasonBodyTooLarge:
		return true
	}
	return false
}

// hostUnavailable reports whether the host takes no work for the moment.
func (r Reason) hostUnavailable() bool {
	switch r {
	case ReasonUnreachable, ReasonLeaving, ReasonNoTarget, ReasonNotConfigured:
		return true
	}
	return false
}
