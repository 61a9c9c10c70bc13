package load

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// HeaderOutcome is the header field in which the entry states the outcome of a request.
const HeaderOutcome = "X-Sassafras-Outcome"

// Outcome is the outcome of an attempt as far as the caller knows it.
type Outcome string

// Values of Outcome. The first three are stated by the entry.
const (
	OutcomeResponded Outcome = "answered"
	OutcomeRefused   Outcome = "refused"
	OutcomeUnknown   Outcome = "unknown"
	// OutcomeUnsent means that no connection to the entry could be opened.
	OutcomeUnsent Outcome = "unsent"
	// OutcomeIncomplete means that the connection ended or the timeout passed before the whole
	// response arrived.
	OutcomeIncomplete Outcome = "cut"
	// OutcomeUnstated means a whole response without a valid outcome header.
	OutcomeUnstated Outcome = "unstated"
)

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	RequestID string `json:"requestId"`
	// Attempt counts from 1; higher numbers are resends.
	Attempt int     `json:"attempt"`
	Entry   string  `json:"entry"`
	Method  string  `json:"method"`
	Path    string  `json:"path"`
	Keyed   bool    `json:"keyed,omitempty"`
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status,omitempty"`
	Version string  `json:"version,omitempty"`
	// Mismatched is set if the response belongs to another request.
	Mismatched bool `json:"crossed,omitempty"`
	// DueAt is the time at which the request was due; Latency is measured from it.
	DueAt   time.Time         `json:"at"`
	Latency revision.Duration `json:"latency"`
	Error   string            `json:"error,omitempty"`
}

// outcomeKnown reports whether the caller knows whether its request ran.
func (r AttemptResult) outcomeKnown() bool {
	return r.Outcome == OutcomeResponded || r.Outcome == OutcomeRefused
}

// responseOutcome returns the outcome that a whole response states.
func responseOutcome(resp *http.Response) Outcome {
	stated := Outcome(resp.Header.Get(HeaderOutcome))
	switch stated {
	case OutcomeResponded, OutcomeRefused, OutcomeUnknown:
		return stated
	}
	return OutcomeUnstated
}

// errorOutcome distinguishes a request that was never sent from one that may have been. The
// HTTP client sends some requests again by itself when a connection breaks, so a failure to
// connect does not prove that nothing was sent if there was a connection before.
func errorOutcome(err error, connected bool) Outcome {
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return OutcomeUnsent
	}
	return OutcomeIncomplete
}

// mismatched reports whether a target's response names another request. A response that names
// none is not counted as mismatched.
func mismatched(resp *http.Response, body []byte, requestID string) bool {
	if named := resp.Header.Get(targetserver.HeaderRequestID); named != "" && named != requestID {
		return true
	}
	var content targetserver.ResponseBody
	if json.Unmarshal(body, &content) != nil {
		return false
	}
	return content.RequestID != "" && content.RequestID != requestID
}
