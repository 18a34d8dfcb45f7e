// Package engsim simulates a model engine: continuous batching, chunked prefill
// by priority, KV memory, a prefix cache and reservations. It reads no clock:
// callers pass the time.
package engsim

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Errors of an engine.
var (
	// ErrTooLarge means that a prompt and its answer don't fit into the engine's
	// memory.
	ErrTooLarge = errors.New("prompt is larger than the engine's memory")
	// ErrNoMemory means that a reservation doesn't fit into the free memory.
	ErrNoMemory = errors.New("not enough free memory")
	// ErrLeaving means that the engine is leaving and accepts nothing new.
	ErrLeaving = errors.New("engine is leaving")
	// ErrNoReservation means that an owner has no reservation. Engine doesn't
	// return it; it is for callers of ReservedMemory.
	ErrNoReservation = errors.New("unknown owner")
)

// Settings holds the capacity and the speed of an engine. Memory sizes are in
// tokens.
type Settings struct {
	// Memory is the size of the KV memory.
	Memory ident.Tokens
	// PrefillRate is in tokens per second.
	PrefillRate ident.Tokens
	// PrefillChunk is the maximum number of prompt tokens prefilled in one step.
	PrefillChunk ident.Tokens
	// BlockSize is the number of tokens in a block of the prefix cache.
	BlockSize ident.Tokens
	// StepBase is the base duration of a step, to which the times for prefill and
	// decoding are added.
	StepBase time.Duration
	// StepPerSequence is added for each decoding sequence.
	StepPerSequence time.Duration
	// LowPriorityPercent is the percentage of each chunk that is reserved for
	// sequences below the highest priority, while any of them needs prefill.
	LowPriorityPercent int
	// MaxSequences is the maximum size of the batch.
	MaxSequences int
}

// DefaultSettings returns the settings of an engine in the example fleets.
func DefaultSettings() Settings {
	return Settings{
		Memory:             400_000,
		PrefillRate:        200_000,
		PrefillChunk:       4096,
		BlockSize:          1024,
		StepBase:           4 * time.Millisecond,
		StepPerSequence:    50 * time.Microsecond,
		LowPriorityPercent: 25,
		MaxSequences:       256,
	}
}

// Sequence is the state of a prompt and of the generation of its answer.
type Sequence struct {
	ID ident.RequestID
	// Prompt is the number of prompt tokens that this engine has to prefill,
	// including those that it finds in the prefix cache.
	Prompt ident.Tokens
	// Blocks are the chained digests of the prompt's blocks.
	Blocks []uint64
	// Output is the number of tokens to generate.
	Output ident.Tokens
	// Priority orders sequences; lower values go first.
	Priority int
	// Produced is the number of tokens generated so far; a resumed sequence
	// starts above zero.
	Produced ident.Tokens
	// HasReservation is set if the sequence uses reserved memory, so that it
	// takes no free memory.
	HasReservation bool

	arrived   time.Time
	running   bool
	prefilled ident.Tokens
	cached    ident.Tokens
}

// Cached returns the number of prompt tokens found in the prefix cache.
func (s *Sequence) Cached() ident.Tokens { return s.cached }

// requiredMemory returns the memory that the sequence needs while it runs, in
// addition to reserved memory.
func (s *Sequence) requiredMemory() ident.Tokens {
	if s.HasReservation {
		return 0
	}
	return s.Prompt + s.Output
}

// prefillLeft returns the number of prompt tokens not yet prefilled.
func (s *Sequence) prefillLeft() ident.Tokens { return s.Prompt - s.prefilled }

// Engine is a simulated engine. It is not safe for concurrent use.
type Engine struct {
	Settings
	// Leaving is set while the engine drains: it rejects new sequences and
	// reservations.
	Leaving bool

	waiting      []*Sequence
	running      []*Sequence
	reservations map[string]ident.Tokens
	cache        cache
	usedMemory   ident.Tokens
	lastStepTime time.Duration
}

// New returns an idle engine.
func New(s Settings) *Engine {
	return &Engine{Settings: s, reservations: map[string]ident.Tokens{}, cache: newCache()}
}

// Submit adds a sequence to the queue, behind others of the same priority. It
// returns ErrLeaving or ErrTooLarge if the engine rejects it.
func (e *Engine) Submit(now time.Time, s *Sequence) error {
	if e.Leaving {
		return ErrLeaving
	}
	if s.requiredMemory() > e.Memory {
		return ErrTooLarge
	}
	s.arrived = now
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, func(a, b *Sequence) int { return cmp.Compare(a.Priority, b.Priority) })
	return nil
}

// Cancel removes a sequence and frees its memory. It reports whether the engine
// had the sequence.
func (e *Engine) Cancel(id ident.RequestID) bool {
	match := func(s *Sequence) bool { return s.ID == id }
	if i := slices.IndexFunc(e.waiting, match); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	if i := slices.IndexFunc(e.running, match); i >= 0 {
		e.removeRunning(i)
		return true
	}
	return false
}

func (e *Engine) removeRunning(i int) {
	e.usedMemory -= e.running[i].requiredMemory()
	e.running = slices.Delete(e.running, i, i+1)
}

// Reserve reserves memory for an owner until Release. If the owner already has a
// reservation, of any size, Reserve keeps it and returns nil. It returns
// ErrLeaving or ErrNoMemory if the engine rejects the reservation.
func (e *Engine) Reserve(owner string, n ident.Tokens) error {
	if e.Leaving {
		return ErrLeaving
	}
	if _, ok := e.reservations[owner]; ok {
		return nil
	}
	if n > e.FreeMemory() {
		return ErrNoMemory
	}
	e.reservations[owner] = n
	e.usedMemory += n
	return nil
}

// ReservedMemory returns the size of an owner's reservation and whether there is
// one.
func (e *Engine) ReservedMemory(owner string) (ident.Tokens, bool) {
	n, ok := e.reservations[owner]
	return n, ok
}

// Release ends an owner's reservation, if there is one.
func (e *Engine) Release(owner string) {
	e.usedMemory -= e.reservations[owner]
	delete(e.reservations, owner)
}

// FreeMemory returns the memory not used by running sequences and reservations.
func (e *Engine) FreeMemory() ident.Tokens { return e.Memory - e.usedMemory }

// UsedMemory returns the memory used by running sequences and reservations.
func (e *Engine) UsedMemory() ident.Tokens { return e.usedMemory }

// Load is a snapshot of an engine's load.
type Load struct {
	Running, Waiting int
	// ShortQueue and LongQueue are the prompt tokens not yet prefilled, of
	// sequences with priority zero and of all others.
	ShortQueue, LongQueue ident.Tokens
	UsedMemory            ident.Tokens
	// StepTime is the duration of the last step, or zero before the first.
	StepTime time.Duration
}

// Load returns the engine's current load.
func (e *Engine) Load() Load {
	l := Load{Running: len(e.running), Waiting: len(e.waiting), UsedMemory: e.usedMemory, StepTime: e.lastStepTime}
	for _, ss := range [][]*Sequence{e.waiting, e.running} {
		for _, s := range ss {
			if s.Priority == 0 {
				l.ShortQueue += s.prefillLeft()
			} else {
				l.LongQueue += s.prefillLeft()
			}
		}
	}
	return l
}
