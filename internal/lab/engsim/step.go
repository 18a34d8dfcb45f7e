package engsim

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// patience is the wait after which a sequence that doesn't fit holds back
// those behind it.
const patience = 5 * time.Second

// Token is one generated token of a sequence.
type Token struct {
	Sequence *Sequence
	Index    ident.Tokens
	// Last tells that the sequence ended with this token.
	Last bool
}

// Step is the result of one batch iteration.
type Step struct {
	// Took is the time of the iteration; its tokens appear at its end.
	Took   time.Duration
	Tokens []Token
}

// Step runs one iteration that begins now. An engine with nothing that can
// run returns a zero duration.
func (e *Engine) Step(now time.Time) Step {
	e.admit(now)
	if len(e.running) == 0 {
		return Step{}
	}
	done := e.prefill()
	st := Step{Took: e.StepBase + e.prefillTime(done)}
	for i := 0; i < len(e.running); {
		s := e.running[i]
		if s.left() > 0 {
			i++
			continue
		}
		st.Took += e.StepPerSequence
		last := s.Produced+1 >= s.Output
		st.Tokens = append(st.Tokens, Token{s, s.Produced, last})
		s.Produced++
		if last {
			e.drop(i)
			continue
		}
		i++
	}
	e.lastStep = st.Took
	return st
}

func (e *Engine) prefillTime(n ident.Tokens) time.Duration {
	return time.Duration(float64(n) / float64(e.PrefillRate) * float64(time.Second))
}

// admit moves waiting sequences that fit into the batch.
func (e *Engine) admit(now time.Time) {
	for i := 0; i < len(e.waiting) && len(e.running) < e.MaxSequences; {
		s := e.waiting[i]
		if s.need() > e.Free() {
			if now.Sub(s.arrived) > patience {
				return
			}
			i++
			continue
		}
		e.held += s.need()
		s.cached = min(e.cache.match(s.Blocks, e.Block), max(0, s.Prompt-1))
		s.prefilled = s.cached
		s.running = true
		e.running = append(e.running, s)
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.cache.shrink(e.Free(), e.Block)
	}
}

// prefill spends one chunk on the batch and returns the tokens spent.
func (e *Engine) prefill() ident.Tokens {
	top, rest := e.byPriority()
	budget := e.Chunk
	if len(rest) > 0 {
		budget -= e.Chunk * ident.Tokens(e.FloorPercent) / 100
	}
	spent := e.spend(top, budget)
	spent += e.spend(rest, e.Chunk-spent)
	spent += e.spend(top, e.Chunk-spent)
	return spent
}

// byPriority splits the sequences in prefill into the first priority and the
// others.
func (e *Engine) byPriority() (top, rest []*Sequence) {
	var all []*Sequence
	for _, s := range e.running {
		if s.left() > 0 {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return nil, nil
	}
	first := slices.MinFunc(all, func(a, b *Sequence) int { return cmp.Compare(a.Priority, b.Priority) }).Priority
	for _, s := range all {
		if s.Priority == first {
			top = append(top, s)
		} else {
			rest = append(rest, s)
		}
	}
	return top, rest
}

func (e *Engine) spend(ss []*Sequence, budget ident.Tokens) ident.Tokens {
	var spent ident.Tokens
	for _, s := range ss {
		n := min(s.left(), budget-spent)
		if n <= 0 {
			continue
		}
		s.prefilled += n
		spent += n
		if s.left() == 0 {
			e.cache.add(s.Blocks, e.Free()/e.Block)
		}
	}
	return spent
}
