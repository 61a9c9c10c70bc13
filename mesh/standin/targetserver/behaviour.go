package targetserver

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"sassafrasnotch.example/coord/revision"
)

// Behaviour makes matching requests fail or slow. All conditions that are set
// must hold; without any, it takes hold from the start and on every request.
type Behaviour struct {
	// After is the time since the target started.
	After revision.Duration `json:"after,omitempty"`
	// AboveOutstanding is a number of requests, running or waiting, that must
	// be exceeded.
	AboveOutstanding int `json:"aboveOutstanding,omitempty"`
	// Prefix is the start of the request's path.
	Prefix string `json:"prefix,omitempty"`

	// FailStatus is the status answered in place of 200; 0 means no failure.
	FailStatus int `json:"failStatus,omitempty"`
	// AddedLatency is added to the time that the request takes.
	AddedLatency revision.Duration `json:"slow,omitempty"`
}

// situation is what the conditions of a behaviour look at.
type situation struct {
	age         time.Duration
	outstanding int
	path        string
}

// effect is what the matching behaviours add up to.
type effect struct {
	status int
	slow   time.Duration
}

func (b Behaviour) matches(s situation) bool {
	if s.age < b.After.Std() {
		return false
	}
	if b.AboveOutstanding > 0 && s.outstanding <= b.AboveOutstanding {
		return false
	}
	return strings.HasPrefix(s.path, b.Prefix)
}

// evaluate returns the effect of the behaviours; the first failure wins.
func evaluate(behaviours []Behaviour, s situation) effect {
	result := effect{status: http.StatusOK}
	for _, b := range behaviours {
		if !b.matches(s) {
			continue
		}
		result.slow += b.AddedLatency.Std()
		if b.FailStatus != 0 && result.status == http.StatusOK {
			result.status = b.FailStatus
		}
	}
	return result
}

func checkBehaviours(behaviours []Behaviour) error {
	for _, b := range behaviours {
		if b.FailStatus != 0 && (b.FailStatus < 400 || b.FailStatus > 599) {
			return errors.New("targetserver: failStatus must be 0 or from 400 to 599")
		}
		if b.After < 0 || b.AddedLatency < 0 || b.AboveOutstanding < 0 {
			return errors.New("targetserver: after, slow and aboveOutstanding must not be negative")
		}
	}
	return nil
}
