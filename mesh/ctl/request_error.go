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

// errorKind classifies a failed request by what it means to an operator. The order
// matters: of several errors Client.send reports the highest kind.
type errorKind int

const (
	// kindUnreachable: nothing was done, because the daemon or the platform did not respond.
	kindUnreachable errorKind = iota
	// kindUnknown: the request may or may not have been carried out.
	kindUnknown
	// kindBadInput: the content of the request was refused.
	kindBadInput
	// kindFailed: anything else.
	kindFailed
)

// RequestError describes a request that a daemon did not carry out.
type RequestError struct {
	kind errorKind
	// Address is the admin address of the daemon, or "every address" if all were tried.
	Address string
	// Response is the daemon's explanation; it is empty if the daemon did not respond.
	Response admin.Error
	cause    error
}

// Error returns the address, the step, the message and every reason.
func (e *RequestError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("daemon at %s: %s%v", e.Address, e.kind.prefix(), e.cause)
	}
	lines := []string{fmt.Sprintf("daemon at %s: %s%s: %s", e.Address, e.kind.prefix(), e.Response.Step, e.Response.Message)}
	if len(e.Response.Reasons) > 0 {
		lines = []string{fmt.Sprintf("daemon at %s: %s:", e.Address, e.Response.Step)}
	}
	for _, reason := range e.Response.Reasons {
		lines = append(lines, "  "+reason)
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the error of the connection or of the decoding, if there is one.
func (e *RequestError) Unwrap() error { return e.cause }

// prefix is put before the message of an error.
func (k errorKind) prefix() string {
	if k == kindUnknown {
		return "outcome unknown: "
	}
	return ""
}

// retriable reports whether the request may succeed at another daemon.
func (k errorKind) retriable() bool { return k == kindUnreachable || k == kindUnknown }

// kindOfStatus returns the kind of an error by the HTTP status of the response.
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

// kindOfError distinguishes a request that was never sent from one that may have been.
func kindOfError(err error) errorKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kindUnreachable
	}
	return kindUnknown
}

// exitStatus returns the exit code for an error.
func exitStatus(err error) subcommands.ExitStatus {
	var requestErr *RequestError
	if !errors.As(err, &requestErr) {
		return ExitFailed
	}
	switch requestErr.kind {
	case kindUnreachable, kindUnknown:
		return ExitUnreachable
	case kindBadInput:
		return ExitBadInput
	}
	return ExitFailed
}

// isRetriable reports whether a later retry of the request may succeed.
func isRetriable(err error) bool {
	var requestErr *RequestError
	return errors.As(err, &requestErr) && requestErr.kind.retriable()
}
