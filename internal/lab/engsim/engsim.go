// Package engsim models a model engine: continuous batching, chunked prefill
// by priority, KV memory, a prefix cache and reservations. It is pure: time
// comes in with each call.
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
	ErrTooLarge = errors.New("prompt is larger than the engine's memory")
	ErrNoMemory = errors.New("not enough free memory")
	ErrLeaving  = errors.New("engine is leaving")
	ErrUnknown  = errors.New("unknown owner")
)

// Settings describe an engine.
type Settings struct {
	// Memory is the size of the KV cache.
	Memory ident.Tokens
	// PrefillRate is in tokens a second.
	PrefillRate ident.Tokens
	// Chunk bounds the prefill tokens of one step.
	Chunk ident.Tokens
	// Block is the unit of the prefix cache.
	Block ident.Tokens
	// StepBase is the time of an empty step.
	StepBase time.Duration
	// StepPerSequence is added for each sequence that decodes.
	StepPerSequence time.Duration
	// FloorPercent of each chunk is kept for lower priorities.
	FloorPercent int
	// MaxSequences bounds the batch.
	MaxSequences int
}

// DefaultSettings returns the engine of the example fleets.
func DefaultSettings() Settings {
	return Settings{
		Memory:          400_000,
		PrefillRate:     200_000,
		Chunk:           4096,
		Block:           1024,
		StepBase:        4 * time.Millisecond,
		StepPerSequence: 50 * time.Microsecond,
		FloorPercent:    25,
		MaxSequences:    256,
	}
}

// Sequence is one prompt and its answer.
type Sequence struct {
	ID ident.RequestID
	// Prompt is the number of prompt tokens that this engine holds.
	Prompt ident.Tokens
	// Blocks are the chained digests of the prompt's blocks.
	Blocks []uint64
	// Output is the number of tokens to generate.
	Output ident.Tokens
	// Priority orders sequences; lower goes first.
	Priority int
	// Produced is the number of tokens generated so far; a resumed sequence
	// begins above zero.
	Produced ident.Tokens
	// Reserved tells that a reservation holds the sequence's memory.
	Reserved bool

	arrived   time.Time
	running   bool
	prefilled ident.Tokens
	cached    ident.Tokens
}

// Cached returns the prompt tokens that the prefix cache spared.
func (s *Sequence) Cached() ident.Tokens { return s.cached }

// need is the memory that the sequence takes from the free memory.
func (s *Sequence) need() ident.Tokens {
	if s.Reserved {
		return 0
	}
	return s.Prompt + s.Output
}

func (s *Sequence) left() ident.Tokens { return s.Prompt - s.prefilled }

// Engine is the state of one engine. It is not safe for concurrent use.
type Engine struct {
	Settings
	Leaving bool

	waiting  []*Sequence
	running  []*Sequence
	reserved map[string]ident.Tokens
	cache    cache
	held     ident.Tokens
	lastStep time.Duration
}

// New returns an idle engine.
func New(s Settings) *Engine {
	return &Engine{Settings: s, reserved: map[string]ident.Tokens{}, cache: newCache()}
}

// Submit queues a sequence.
func (e *Engine) Submit(now time.Time, s *Sequence) error {
	if e.Leaving {
		return ErrLeaving
	}
	if s.need() > e.Memory {
		return ErrTooLarge
	}
	s.arrived = now
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, func(a, b *Sequence) int { return cmp.Compare(a.Priority, b.Priority) })
	return nil
}

// Cancel removes a sequence and frees its memory. It reports whether the
// sequence was there.
func (e *Engine) Cancel(id ident.RequestID) bool {
	match := func(s *Sequence) bool { return s.ID == id }
	if i := slices.IndexFunc(e.waiting, match); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	if i := slices.IndexFunc(e.running, match); i >= 0 {
		e.drop(i)
		return true
	}
	return false
}

func (e *Engine) drop(i int) {
	e.held -= e.running[i].need()
	e.running = slices.Delete(e.running, i, i+1)
}

// Reserve holds memory for an owner until Release. It is idempotent.
func (e *Engine) Reserve(owner string, n ident.Tokens) error {
	if e.Leaving {
		return ErrLeaving
	}
	if _, ok := e.reserved[owner]; ok {
		return nil
	}
	if n > e.Free() {
		return ErrNoMemory
	}
	e.reserved[owner] = n
	e.held += n
	return nil
}

// Reserved returns the memory held for an owner.
func (e *Engine) Reserved(owner string) (ident.Tokens, bool) {
	n, ok := e.reserved[owner]
	return n, ok
}

// Release frees an owner's memory. It is idempotent.
func (e *Engine) Release(owner string) {
	e.held -= e.reserved[owner]
	delete(e.reserved, owner)
}

// Free returns the memory that no sequence and no reservation holds.
func (e *Engine) Free() ident.Tokens { return e.Memory - e.held }

// Held returns the memory that sequences and reservations hold.
func (e *Engine) Held() ident.Tokens { return e.held }

// Load is a view of the engine's work.
type Load struct {
	Running, Waiting int
	// ShortQueue and LongQueue are prompt tokens not yet prefilled, with
	// priority zero and above zero.
	ShortQueue, LongQueue ident.Tokens
	Held                  ident.Tokens
	Step                  time.Duration
}

// Load returns the engine's present work.
func (e *Engine) Load() Load {
	l := Load{Running: len(e.running), Waiting: len(e.waiting), Held: e.held, Step: e.lastStep}
	for _, ss := range [][]*Sequence{e.waiting, e.running} {
		for _, s := range ss {
			if s.Priority == 0 {
				l.ShortQueue += s.left()
			} else {
				l.LongQueue += s.left()
			}
		}
	}
	return l
}
