package confg

import (
	"encoding/json"
	"errors"
	"time"
)

// ErrDuration means that a value is not a duration string such as "1.5s".
var ErrDuration = errors.New(`must be a duration such as "1.5s"`)

// Duration is a duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the duration from a string.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return ErrDuration
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return ErrDuration
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
