package engsim

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// blockQueueAfter is how long after its arrival a sequence that doesn't fit into
// the free memory may be overtaken by those behind it. After that they wait for
// it, so that smaller sequences can't starve it.
const blockQueueAfter = 5 * time.Second

// Token is a generated token of a sequence.
type Token struct {
	Sequence *Sequence
	// Index is the position of the token in the answer, from zero.
	Index ident.Tokens
	// IsLast is set on the token that ends the sequence.
	IsLast bool
}

// Step is the result of one step of the batch. A step prefills up to one chunk and
// generates a token for each decoding sequence.
type Step struct {
	// Duration is how long the step takes. Tokens are generated at the end of the
	// step.
	Duration time.Duration
	Tokens   []Token
}

// Step runs one step that starts now. The duration is zero if no sequence can
// run.
func (e *Engine) Step(now time.Time) Step {
	e.admit(now)
	if len(e.running) == 0 {
		return Step{}
	}
	tokens := e.prefill()
	st := Step{Duration: e.StepBase + e.prefillTime(tokens)}
	for i := 0; i < len(e.running); {
		s := e.running[i]
		if s.prefillLeft() > 0 {
			i++
			continue
		}
		st.Duration += e.StepPerSequence
		last := s.Produced+1 >= s.Output
		st.Tokens = append(st.Tokens, Token{s, s.Produced, last})
		s.Produced++
		if last {
			e.removeRunning(i)
			continue
		}
		i++
	}
	e.lastStepTime = st.Duration
	return st
}

func (e *Engine) prefillTime(n ident.Tokens) time.Duration {
	return time.Duration(float64(n) / float64(e.PrefillRate) * float64(time.Second))
}

// admit adds waiting sequences that fit into the free memory to the batch.
func (e *Engine) admit(now time.Time) {
	for i := 0; i < len(e.waiting) && len(e.running) < e.MaxSequences; {
		s := e.waiting[i]
		if s.requiredMemory() > e.FreeMemory() {
			if now.Sub(s.arrived) > blockQueueAfter {
				return
			}
			i++
			continue
		}
		e.usedMemory += s.requiredMemory()
		s.cached = min(e.cache.match(s.Blocks, e.BlockSize), max(0, s.Prompt-1))
		s.prefilled = s.cached
		s.running = true
		e.running = append(e.running, s)
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.cache.shrink(e.FreeMemory(), e.BlockSize)
	}
}

// prefill prefills up to one chunk of tokens and returns their number. The
// highest priority goes first, with a part of the chunk reserved for lower ones.
// Tokens that lower priorities don't need go to the highest again.
func (e *Engine) prefill() ident.Tokens {
	top, rest := e.splitByPriority()
	budget := e.PrefillChunk
	if len(rest) > 0 {
		budget -= e.PrefillChunk * ident.Tokens(e.LowPriorityPercent) / 100
	}
	spent := e.prefillSequences(top, budget)
	spent += e.prefillSequences(rest, e.PrefillChunk-spent)
	spent += e.prefillSequences(top, e.PrefillChunk-spent)
	return spent
}

// splitByPriority splits the sequences that still need prefill into those of the
// highest priority and the others.
func (e *Engine) splitByPriority() (top, rest []*Sequence) {
	var all []*Sequence
	for _, s := range e.running {
		if s.prefillLeft() > 0 {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return nil, nil
	}
	highest := slices.MinFunc(all, func(a, b *Sequence) int { return cmp.Compare(a.Priority, b.Priority) }).Priority
	for _, s := range all {
		if s.Priority == highest {
			top = append(top, s)
		} else {
			rest = append(rest, s)
		}
	}
	return top, rest
}

// prefillSequences prefills up to budget tokens of sequences in their order and
// returns the number of tokens. It adds the blocks of each sequence whose prefill
// is complete to the prefix cache.
func (e *Engine) prefillSequences(ss []*Sequence, budget ident.Tokens) ident.Tokens {
	var spent ident.Tokens
	for _, s := range ss {
		n := min(s.prefillLeft(), budget-spent)
		if n <= 0 {
			continue
		}
		s.prefilled += n
		spent += n
		if s.prefillLeft() == 0 {
			e.cache.add(s.Blocks, e.FreeMemory()/e.BlockSize)
		}
	}
	return spent
}
