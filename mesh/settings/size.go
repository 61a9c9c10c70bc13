package settings

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
)

// Size is a number of bytes that may also be written as a string of megabytes such as "184MB", where "0MB" and
// an empty string mean 0: a template can render a value that not every deployment has.
type Size int64

const megabyte = 1_000_000 // bytes

// maxSizeMegabytes bounds a Size, in megabytes.
const maxSizeMegabytes = 1 << 30

// errNotSize is the error for any other value.
var errNotSize = errors.New(`must be a number of bytes or a text such as "184MB"`)

// UnmarshalJSON implements json.Unmarshaler.
func (s *Size) UnmarshalJSON(data []byte) error {
	var bytes int64
	if json.Unmarshal(data, &bytes) == nil {
		*s = Size(bytes)
		return nil
	}
	var text string
	if json.Unmarshal(data, &text) != nil {
		return errNotSize
	}
	if text == "" {
		*s = 0
		return nil
	}
	number, found := strings.CutSuffix(text, "MB")
	megabytes, err := strconv.ParseFloat(number, 64)
	if !found || err != nil || !(megabytes >= 0 && megabytes <= maxSizeMegabytes) {
		return errNotSize
	}
	*s = Size(megabytes * megabyte)
	return nil
}

const (
	// maxSoftLimit is the soft limit where the settings state no memory, and the highest that follows from it:
	// half of the 256 MB that a daemon may use for control.
	maxSoftLimit = 128 * mebibyte
	// minSoftLimit keeps a daemon working where the memory that is stated is less than one needs.
	minSoftLimit = 16 * mebibyte
)

// SoftLimit returns the soft memory limit of the Go runtime, in bytes: MemoryLimit if it is set, else half of
// Memory within bounds.
func (r Runtime) SoftLimit() int64 {
	if r.MemoryLimit != 0 {
		return r.MemoryLimit
	}
	if r.Memory == 0 {
		return maxSoftLimit
	}
	return min(max(int64(r.Memory)/2, minSoftLimit), maxSoftLimit)
}

// ClientMemory returns what connections and requests of clients may hold, in bytes. It is half of the soft
// limit, so that the garbage of as much fits beside it. Where neither Memory nor MemoryLimit is set, it is all of
// the soft limit: as many idle connections as entry.maxConnections allows by default (100 MB) are kept then.
func (r Runtime) ClientMemory() int64 {
	if r.Memory == 0 && r.MemoryLimit == 0 {
		return maxSoftLimit
	}
	return r.SoftLimit() / 2
}
