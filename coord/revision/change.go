package revision

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Errors of reading and applying changes. They are wrapped with details.
var (
	// ErrGap means that the change's revision is not the one after the snapshot's revision.
	ErrGap = errors.New("revision: change does not follow the snapshot")
	// ErrInvalid means that the resulting state holds a dangling reference or an invalid value.
	ErrInvalid = errors.New("revision: resulting state is invalid")
	// ErrHash means that the hash of the resulting state differs from the hash in the change.
	ErrHash = errors.New("revision: state hash mismatch")
	// ErrCorrupt means that an encoded change or snapshot can't be decoded, has a wrong
	// checksum or is missing from the log.
	ErrCorrupt = errors.New("revision: corrupt encoding")
)

// Change is the set of resource updates that produces one revision. It is applied in full or
// not at all.
type Change struct {
	Revision uint64 `json:"revision"`
	// ID is unique for each append, so that a writer finds its own change in the log after a
	// lost response.
	ID string `json:"id"`
	// Ticket is the number of the ticket that the change comes from.
	Ticket uint64     `json:"ticket"`
	Put    []Resource `json:"put,omitempty"`
	Delete []Ref      `json:"delete,omitempty"`
	// StateHash is the hash of the whole state after the change.
	StateHash uint64 `json:"stateHash,string"`
}

// Encode returns the JSON encoding that the log stores.
func (c *Change) Encode() ([]byte, error) { return json.Marshal(c) }

// DecodeChange decodes a stored change. The error wraps ErrCorrupt if the data is not a valid
// encoding or has no revision.
func DecodeChange(data []byte) (*Change, error) {
	change := new(Change)
	if err := json.Unmarshal(data, change); err != nil {
		return nil, fmt.Errorf("%w: change: %w", ErrCorrupt, err)
	}
	if change.Revision == 0 {
		return nil, fmt.Errorf("%w: change without a revision", ErrCorrupt)
	}
	return change, nil
}
