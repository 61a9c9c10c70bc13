package settings

import (
	"encoding/json"
	"errors"
	"strconv"
)

// Switch is a bool that may also be written as a string such as "true", where an empty string means false:
// a template can render a value that not every deployment has.
type Switch bool

// errNotSwitch is the error for any other value.
var errNotSwitch = errors.New("must be true or false")

// UnmarshalJSON implements json.Unmarshaler.
func (s *Switch) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) != nil {
		text = string(data) // not a string
	}
	if text == "" {
		*s = false
		return nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return errNotSwitch
	}
	*s = Switch(value)
	return nil
}
