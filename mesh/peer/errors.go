package peer

import (
	"errors"
	"fmt"

	"sassafrasnotch.example/mesh/steperr"
)

// Every error of this package wraps one of these and carries its step and the
// host concerned.
var (
	// ErrDial means that no session or stream to the host could be opened.
	ErrDial = errors.New("peer: no session")
	// ErrHandshake means that the other end is not the daemon that was asked
	// for, or does not speak the protocol.
	ErrHandshake = errors.New("peer: handshake failed")
	// ErrStream means that a frame could not be sent or received.
	ErrStream = errors.New("peer: stream cut")
	// ErrLimit means that the bound on streams left no room.
	ErrLimit = errors.New("peer: limit reached")
)

func stepError(sentinel error, step, host string, cause error) error {
	return steperr.Wrap(fmt.Errorf("%w: %w", sentinel, cause), step, host)
}
