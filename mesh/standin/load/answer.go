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

// HeaderOutcome is the header in which the entry states the outcome.
const HeaderOutcome = "X-Sassafras-Outcome"

// Outcome is what the caller was told about its request.
type Outcome string

// The outcomes. The first three are stated by the entry.
const (
	OutcomeResponded Outcome = "answered"
	OutcomeRefused   Outcome = "refused"
	OutcomeUnknown   Outcome = "unknown"
	// OutcomeUnsent means that no connection to the entry could be made.
	OutcomeUnsent Outcome = "unsent"
	// OutcomeIncomplete means that the connection ended or the time ran out before
	// the whole answer was there.
	OutcomeIncomplete Outcome = "cut"
	// OutcomeUnstated means a whole answer without an outcome header.
	OutcomeUnstated Outcome = "unstated"
)

// AttemptResult is what became of one attempt.
type AttemptResult struct {
	RequestID string `json:"requestId"`
	// Attempt counts from 1; higher ones are resends.
	Attempt int     `json:"attempt"`
	Entry   string  `json:"entry"`
	Method  string  `json:"method"`
	Path    string  `json:"path"`
	Keyed   bool    `json:"keyed,omitempty"`
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status,omitempty"`
	Version string  `json:"version,omitempty"`
	// Mismatched is set if the answer belongs to another request.
	Mismatched bool `json:"crossed,omitempty"`
	// DueAt is the time at which the request was due, from which Latency counts.
	DueAt   time.Time         `json:"at"`
	Latency revision.Duration `json:"latency"`
	Error   string            `json:"error,omitempty"`
}

// settled reports whether the caller knows what became of its request.
func (a AttemptResult) settled() bool {
	return a.Outcome == OutcomeResponded || a.Outcome == OutcomeRefused
}

// outcomeOf reads the outcome of a whole answer.
func outcomeOf(resp *http.Response) Outcome {
	stated := Outcome(resp.Header.Get(HeaderOutcome))
	switch stated {
	case OutcomeResponded, OutcomeRefused, OutcomeUnknown:
		return stated
	}
	return OutcomeUnstated
}

// outcomeOfError tells a request that was never sent from one that may have
// been. The HTTP client sends some requests again by itself when a connection
// breaks, so a failure to connect proves nothing once there was a connection.
func outcomeOfError(err error, connected bool) Outcome {
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return OutcomeUnsent
	}
	return OutcomeIncomplete
}

// crossed reports whether a target's answer names another request. Answers
// that name none are not judged.
func crossed(resp *http.Response, body []byte, requestID string) bool {
	if named := resp.Header.Get(targetserver.HeaderRequestID); named != "" && named != requestID {
		return true
	}
	var answer targetserver.ResponseBody
	if json.Unmarshal(body, &answer) != nil {
		return false
	}
	return answer.RequestID != "" && answer.RequestID != requestID
}
