package topol

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrInvalid means that a catalog has a value that no deployment needs, and with which
// times or sums could overflow.
const ErrInvalid = errors.ConstError("invalid configuration")

// Bounds of the values of a catalog.
const (
	// MaxTime bounds all times but those of an engine, maxEngineTime these.
	MaxTime       = 365 * 24 * time.Hour
	maxEngineTime = time.Minute
	// maxCount bounds priorities, weights, attempts and slots.
	maxCount = 1 << 20
	// maxDecodeSteps bounds the steps in an iteration of an engine.
	maxDecodeSteps = 10_000
	// maxMemory bounds the KV memory of one engine and its prefill chunk.
	maxMemory ident.Tokens = 1e12
	// maxRequestBytes bounds the limits on the size of a request.
	maxRequestBytes = 1 << 30
	// maxQuotedBytes bounds what an error quotes.
	maxQuotedBytes = 80
	// MaxColdTime bounds the times for which endpoints are cold, MaxColdRate the requests
	// per second that they tolerate meanwhile.
	MaxColdTime = 10 * time.Minute
	MaxColdRate = 1e9
	// maxNameBytes bounds the names of endpoints, and of their services and data centres.
	maxNameBytes = 255
	// MaxSlots bounds the number of requests that an endpoint runs at once.
	MaxSlots = 1 << 16
	// MaxBorn bounds the Unix time of a start in milliseconds; it is the end of the year
	// 9999.
	MaxBorn = 253_402_300_799_999
	// firstMulticast is the first byte of the lowest multicast address. Those above are
	// multicast, reserved or the broadcast address.
	firstMulticast = 224
)

// bound is a value that must be within a range.
type bound struct {
	name            string
	value, min, max int64
}

// within returns an error for the first value that is out of its range.
func within(kind, name string, bs ...bound) error {
	for _, b := range bs {
		if b.value < b.min || b.value > b.max {
			return errors.Annotatef(ErrInvalid, "%s: %s is %d", quoted(kind, name), b.name, b.value)
		}
	}
	return nil
}

func quoted(kind, name string) string {
	return fmt.Sprintf("%s %q", kind, name[:min(len(name), maxQuotedBytes)])
}

// Validate returns an error that wraps ErrInvalid if a value is out of its range. Values
// may be zero.
func (c *Catalog) Validate() error {
	if err := c.Limits.validate(); err != nil {
		return err
	}
	for _, r := range c.Routes {
		if err := r.validate(); err != nil {
			return err
		}
	}
	for _, s := range c.Services {
		if err := s.validate(); err != nil {
			return err
		}
	}
	for k, w := range c.Keys {
		if err := w.validate(k); err != nil {
			return err
		}
	}
	return nil
}

func (l *Limits) validate() error {
	return within("limits", "",
		bound{"size of the header", int64(l.MaxHeaderBytes), 0, maxRequestBytes},
		bound{"size of the body", int64(l.MaxBodyBytes), 0, maxRequestBytes},
		bound{"time of the header", int64(l.HeaderTimeout), 0, int64(MaxTime)},
		bound{"idle time", int64(l.IdleTimeout), 0, int64(MaxTime)})
}

func (r *Route) validate() error {
	bs := []bound{
		{"kind", int64(r.Kind), int64(Once), int64(Stream)},
		{"timeout", int64(r.Timeout), 0, int64(MaxTime)},
		{"target", int64(r.Target), 0, int64(MaxTime)},
		{"gap", int64(r.Gap), 0, int64(MaxTime)},
		{"priority", int64(r.Priority), -maxCount, maxCount},
		{"number of attempts", int64(r.Attempts), 0, maxCount},
	}
	for _, s := range r.Services {
		bs = append(bs, bound{"weight", int64(s.Weight), 0, maxCount})
	}
	if err := r.Homes.validate("route", string(r.Name)); err != nil {
		return err
	}
	return within("route", string(r.Name), bs...)
}

func (s *Service) validate() error {
	if !(s.ColdRate >= 0 && s.ColdRate <= MaxColdRate) {
		return errors.Annotatef(ErrInvalid, "%s: requests per second of cold endpoints are %g", quoted("service", string(s.Name)), s.ColdRate)
	}
	if err := within("service", string(s.Name), bound{"time of cold endpoints", int64(s.ColdStart), 0, int64(MaxColdTime)}); err != nil {
		return err
	}
	e := s.Engine
	if e == nil {
		return nil
	}
	bs := []bound{
		{"number of slots", int64(e.Slots), 0, maxCount},
		{"memory", int64(e.Memory), 0, int64(maxMemory)},
		{"number of steps", int64(e.DecodeSteps), 0, maxDecodeSteps},
		{"prefill chunk", int64(e.PrefillChunk), 0, int64(maxMemory)},
	}
	for _, d := range []time.Duration{e.StepTime, e.PerSequence, e.PerThousandContext, e.PerMillionPairs, e.HopDelay} {
		bs = append(bs, bound{"time of the engine", int64(d), 0, int64(maxEngineTime)})
	}
	return within("service", string(s.Name), bs...)
}

// validate checks a workspace with one of its keys. The name is sent in a header field.
func (w *Workspace) validate(key string) error {
	if strings.ContainsFunc(string(w.Name), unicode.IsControl) {
		return errors.Annotatef(ErrInvalid, "%s: control character", quoted("workspace", string(w.Name)))
	}
	if key == "" {
		return errors.Annotatef(ErrInvalid, "%s: empty key", quoted("workspace", string(w.Name)))
	}
	if err := w.Homes.validate("workspace", string(w.Name)); err != nil {
		return err
	}
	return within("workspace", string(w.Name), bound{"priority", int64(w.Priority), -maxCount, maxCount})
}

// Validate returns an error that wraps ErrInvalid if requests can't be sent to the endpoint.
func (e *Endpoint) Validate() error {
	switch {
	case !isName(string(e.Name)) || !isName(string(e.Service)) || !isName(string(e.DataCentre)):
		return errors.Annotate(ErrInvalid, "invalid name, service or data centre")
	case !isHostAddress(e.Address):
		return errors.Annotate(ErrInvalid, "invalid address")
	case e.Slots < 1 || e.Slots > MaxSlots:
		return errors.Annotatef(ErrInvalid, "%d slots", e.Slots)
	case e.Born < 0 || e.Born > MaxBorn:
		return errors.Annotatef(ErrInvalid, "start at %d", e.Born)
	}
	return nil
}

// isName reports whether s is a text of sane length that can be sent as the value of a
// header field.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, func(c rune) bool { return unicode.IsControl(c) || c == unicode.ReplacementChar })
}

// isHostAddress reports whether a is an IPv4 address of a single host with a port, in the form
// in which both are usually written.
func isHostAddress(a string) bool {
	ap, err := netip.ParseAddrPort(a)
	if err != nil || ap.String() != a || ap.Port() == 0 || !ap.Addr().Is4() {
		return false
	}
	first := ap.Addr().As4()[0]
	return first > 0 && first < firstMulticast
}
