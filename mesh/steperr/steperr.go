// Package steperr annotates errors with the step that failed and the peer that it concerned.
package steperr

import (
	"errors"

	"github.com/joomcode/errorx"
)

var (
	propertyStep = errorx.RegisterPrintableProperty("step")
	propertyPeer = errorx.RegisterPrintableProperty("peer")
)

// stepError is an error with a step and a peer. It wraps an errorx error, because errors.Is and
// errors.As do not reach the cause of an errorx error.
type stepError struct {
	decorated *errorx.Error
	cause     error
}

// Error returns the message with the step, the peer and the causes.
func (e *stepError) Error() string { return e.decorated.Error() }

// Unwrap returns the error without the step and the peer.
func (e *stepError) Unwrap() error { return e.cause }

// Wrap adds the step that failed and the peer that it concerned to an error. It returns nil if err is
// nil. errors.Is and errors.As reach the error and its causes.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	decorated := errorx.Decorate(err, "%s", step).
		WithProperty(propertyStep, step).
		WithProperty(propertyPeer, peer)
	return &stepError{decorated: decorated, cause: err}
}

// Step returns the step of the error, or "" if it has none.
func Step(err error) string { return stringProperty(err, propertyStep) }

// Peer returns the peer of the error, or "" if it has none.
func Peer(err error) string { return stringProperty(err, propertyPeer) }

// stringProperty returns a property of the outermost stepError in the chain of err, or "" if there is
// none.
func stringProperty(err error, key errorx.Property) string {
	var wrapped *stepError
	if !errors.As(err, &wrapped) {
		return ""
	}
	value, _ := wrapped.decorated.Property(key)
	text, _ := value.(string)
	return text
}
