package tree

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "370ms".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "370ms".
//
// Errors: NotValid for anything but a duration string with a unit.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.NewNotValid(err, "Duration.UnmarshalJSON")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.NewNotValid(err, "Duration.UnmarshalJSON")
	}
	*d = Duration(parsed)
	return nil
}
