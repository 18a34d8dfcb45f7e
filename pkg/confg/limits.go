package confg

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Limits bound what a node holds and how it serves.
type Limits struct {
	// BodyBytes bounds one request's body.
	BodyBytes ident.Bytes `json:",omitempty"`
	// MemoryBytes bounds the bodies that one node holds at a time.
	MemoryBytes ident.Bytes `json:",omitempty"`
	// ShortTokens is the longest prompt that counts as short.
	ShortTokens ident.Tokens `json:",omitempty"`
	// ReservedPercent of an engine's memory stays free of long prompts.
	ReservedPercent int `json:",omitempty"`
	// RetryPercent bounds retries as a share of first tries.
	RetryPercent int `json:",omitempty"`
	// KeyAge is the age up to which an idempotency key may be repeated.
	KeyAge Duration `json:",omitempty"`
	// SilenceTimeout is the longest wait for an engine's next token before
	// its connection counts as silent.
	SilenceTimeout Duration `json:",omitempty"`
	// MaxStrikes is how often a request may crash endpoints before it is
	// refused.
	MaxStrikes int `json:",omitempty"`
}

func (l *Limits) fillDefaults() {
	setDefault(&l.BodyBytes, 16<<20)
	setDefault(&l.MemoryBytes, 256<<20)
	setDefault(&l.ShortTokens, 16_000)
	setDefault(&l.ReservedPercent, 20)
	setDefault(&l.RetryPercent, 10)
	setDefault(&l.KeyAge, Duration(time.Hour))
	setDefault(&l.SilenceTimeout, Duration(2*time.Second))
	setDefault(&l.MaxStrikes, 3)
}

func setDefault[T comparable](field *T, v T) {
	var zero T
	if *field == zero {
		*field = v
	}
}

func (l Limits) validate(path string) Problems {
	var ps Problems
	check := func(ok bool, field, why string) {
		if !ok {
			ps = append(ps, Problem{path + "." + field, why})
		}
	}
	check(l.BodyBytes >= 1024, "BodyBytes", "must be at least 1024")
	check(l.MemoryBytes >= l.BodyBytes, "MemoryBytes", "must be at least BodyBytes")
	check(l.ShortTokens >= 1, "ShortTokens", "must be at least 1")
	check(l.ReservedPercent >= 1 && l.ReservedPercent <= 90, "ReservedPercent", "must be from 1 to 90")
	check(l.RetryPercent >= 1 && l.RetryPercent <= 100, "RetryPercent", "must be from 1 to 100")
	check(l.KeyAge.D() >= time.Second, "KeyAge", "must be at least 1s")
	check(l.SilenceTimeout.D() >= 100*time.Millisecond, "SilenceTimeout", "must be at least 100ms")
	check(l.MaxStrikes >= 2 && l.MaxStrikes <= 10, "MaxStrikes", "must be from 2 to 10")
	return ps
}
