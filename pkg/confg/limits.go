package confg

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Limits holds the limits that apply to all nodes and requests.
type Limits struct {
	// BodyBytes limits the body of one request.
	BodyBytes ident.Bytes `json:",omitempty"`
	// MemoryBytes limits the total size of the request bodies that a node holds
	// in memory.
	MemoryBytes ident.Bytes `json:",omitempty"`
	// ShortTokens is the maximum length of a prompt that counts as short.
	ShortTokens ident.Tokens `json:",omitempty"`
	// ReservedPercent is the percentage of an engine's KV memory that is not
	// given to long prompts.
	ReservedPercent int `json:",omitempty"`
	// RetryPercent is the number of retries that a node allows for each hundred
	// first attempts.
	RetryPercent int `json:",omitempty"`
	// KeyAge is how long after its first use an idempotency key may be
	// repeated. Nodes limit it to a third of their log retention.
	KeyAge Duration `json:",omitempty"`
	// SilenceTimeout is how long an engine may send no token of a stream before
	// the node checks whether it still makes progress.
	SilenceTimeout Duration `json:",omitempty"`
	// MaxStrikes limits how many endpoints may crash while they run a request. The
	// request is rejected after MaxStrikes-1 crashes in which it was the only
	// suspect, or after 2*MaxStrikes crashes in total.
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

// setDefault assigns v to a field that has the zero value.
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
	check(l.KeyAge.Std() >= time.Second, "KeyAge", "must be at least 1s")
	check(l.SilenceTimeout.Std() >= 100*time.Millisecond, "SilenceTimeout", "must be at least 100ms")
	check(l.MaxStrikes >= 2 && l.MaxStrikes <= 10, "MaxStrikes", "must be from 2 to 10")
	return ps
}
