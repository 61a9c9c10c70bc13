package peer

import (
	"errors"
	"fmt"

	"sassafrasnotch.example/mesh/steperr"
)

// Errors of this package wrap one of these and carry the failed step and the host concerned.
var (
	// ErrDial means that no connection, session or stream to the host could be opened, or that a
	// listener failed to accept.
	ErrDial = errors.New("peer: cannot open a connection")
	// ErrHandshake means that the TLS handshake, the exchange of Hello frames or the start of a
	// session failed, for example because the other end is not the expected daemon or has another
	// protocol version.
	ErrHandshake = errors.New("peer: handshake failed")
	// ErrStream means that a frame could not be sent or received, or that requests were still in
	// flight at the end of a shutdown.
	ErrStream = errors.New("peer: stream failed")
	// ErrLimit means that the limit on streams to one host is reached.
	ErrLimit = errors.New("peer: stream limit reached")
)

// stepError wraps one of the errors above and its cause, and adds the step and the host.
func stepError(sentinel error, step, host string, cause error) error {
	return steperr.Wrap(fmt.Errorf("%w: %w", sentinel, cause), step, host)
}
