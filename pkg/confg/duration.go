package confg

import (
	"encoding/json"
	"errors"
	"time"
)

// ErrDuration reports a duration that is not written like "1.5s".
var ErrDuration = errors.New(`must be a duration such as "1.5s"`)

// Duration is a time span that is written like "1.5s" in JSON.
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads the duration from a string.
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

// D returns the duration in the type of the standard library.
func (d Duration) D() time.Duration { return time.Duration(d) }
