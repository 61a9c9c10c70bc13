package ctl

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/google/subcommands"

	"sassafrasnotch.example/mesh/admin"
)

// errorKind says what a failed request means to an operator.
type errorKind int

const (
	// kindUnreachable: nothing was done, since no daemon or no platform
	// answered.
	kindUnreachable errorKind = iota
	// kindUnknown: the request may or may not have been carried out.
	kindUnknown
	// kindBadInput: the request was refused for what it says.
	kindBadInput
	// kindFailed: anything else.
	kindFailed
)

// RequestError is a request that a daemon did not carry out.
type RequestError struct {
	kind errorKind
	// Address is the admin address of the daemon.
	Address string
	// Response is the daemon's explanation; it is empty if none answered.
	Response admin.Error
	cause    error
}

// Error returns the address, the step, the message and every reason.
func (f *RequestError) Error() string {
	if f.cause != nil {
		return fmt.Sprintf("daemon at %s: %s%v", f.Address, f.kind.prefix(), f.cause)
	}
	lines := []string{fmt.Sprintf("daemon at %s: %s%s: %s", f.Address, f.kind.prefix(), f.Response.Step, f.Response.Message)}
	if len(f.Response.Reasons) > 0 {
		lines = []string{fmt.Sprintf("daemon at %s: %s:", f.Address, f.Response.Step)}
	}
	for _, reason := range f.Response.Reasons {
		lines = append(lines, "  "+reason)
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the error of the connection, if there was one.
func (f *RequestError) Unwrap() error { return f.cause }

func (k errorKind) prefix() string {
	if k == kindUnknown {
		return "outcome unknown: "
	}
	return ""
}

// retriable reports whether another daemon may do better.
func (k errorKind) retriable() bool { return k == kindUnreachable || k == kindUnknown }

// kindOfStatus returns what the status of an answer means.
func kindOfStatus(status int) errorKind {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return kindBadInput
	case http.StatusServiceUnavailable:
		return kindUnreachable
	case http.StatusGatewayTimeout:
		return kindUnknown
	}
	return kindFailed
}

// kindOfError tells a request that was never sent from one that may have been.
func kindOfError(err error) errorKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kindUnreachable
	}
	return kindUnknown
}

// exitStatus returns the exit code that an error stands for.
func exitStatus(err error) subcommands.ExitStatus {
	var failure *RequestError
	if !errors.As(err, &failure) {
		return ExitFailed
	}
	switch failure.kind {
	case kindUnreachable, kindUnknown:
		return ExitUnreachable
	case kindBadInput:
		return ExitBadInput
	}
	return ExitFailed
}

// isRetriable reports whether asking again later may help.
func isRetriable(err error) bool {
	var failure *RequestError
	return errors.As(err, &failure) && failure.kind.retriable()
}
