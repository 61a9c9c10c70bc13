package targetserver

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"sassafrasnotch.example/coord/revision"
)

// Behaviour makes the requests that match its conditions fail or slows them down. All
// conditions that are set must hold; without any, it applies to every request from the start.
type Behaviour struct {
	// After is the least time since the target's start.
	After revision.Duration `json:"after,omitempty"`
	// AboveOutstanding is a number of running and waiting requests that must be exceeded.
	AboveOutstanding int `json:"aboveOutstanding,omitempty"`
	// Prefix is the required prefix of the request's path.
	Prefix string `json:"prefix,omitempty"`

	// FailStatus is the response status in place of 200; 0 means no failure.
	FailStatus int `json:"failStatus,omitempty"`
	// AddedLatency is added to the duration of the request.
	AddedLatency revision.Duration `json:"slow,omitempty"`
}

// requestState holds the values that the conditions of a behaviour are compared with.
type requestState struct {
	age         time.Duration
	outstanding int
	path        string
}

// effect is the combination of the matching behaviours.
type effect struct {
	status       int
	addedLatency time.Duration
}

func (b Behaviour) matches(s requestState) bool {
	if s.age < b.After.Std() {
		return false
	}
	if b.AboveOutstanding > 0 && s.outstanding <= b.AboveOutstanding {
		return false
	}
	return strings.HasPrefix(s.path, b.Prefix)
}

// evaluate returns the combined effect of the matching behaviours: latencies add up, and the
// status is that of the first failure.
func evaluate(behaviours []Behaviour, s requestState) effect {
	result := effect{status: http.StatusOK}
	for _, b := range behaviours {
		if !b.matches(s) {
			continue
		}
		result.addedLatency += b.AddedLatency.Std()
		if b.FailStatus != 0 && result.status == http.StatusOK {
			result.status = b.FailStatus
		}
	}
	return result
}

func validateBehaviours(behaviours []Behaviour) error {
	for _, b := range behaviours {
		if b.FailStatus != 0 && (b.FailStatus < 400 || b.FailStatus > 599) {
			return errors.New("targetserver: failStatus must be 0 or from 400 to 599")
		}
		if b.After < 0 || b.AddedLatency < 0 || b.AboveOutstanding < 0 {
			return errors.New("targetserver: after, slow and aboveOutstanding must be 0 or greater")
		}
	}
	return nil
}
