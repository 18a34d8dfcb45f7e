package place

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// keptFraction is the least fraction of the bound that applies to a prompt which keeps
	// its place and is expected in time. With more, more short prompts are late.
	keptFraction = 0.6
	// keptLateFraction is that for one which will be late: the part of its value that its
	// answer still has.
	keptLateFraction = 1 - lateLossFraction
)

// PrefillTime returns the time that one engine takes to prefill a prompt.
func PrefillTime(e *topol.Engine, prompt ident.Tokens) time.Duration {
	v := engineView{spec: e}
	return v.prefillTime(split(prompt, 1))
}

// applyPlace changes the bound on what others may lose by a prompt that keeps its place, and
// by a first try that yields to such prompts. A size class that is behind yields less.
func (p plan) applyPlace(l *Load, r Request) {
	switch {
	case r.KeepsPlace:
		fraction := keptFraction
		if p.prefillEnd > r.Target {
			fraction = keptLateFraction
		}
		l.MaxLossOfOthers = max(l.MaxLossOfOthers, p.maxLossByDelay(r, fraction))
	case !r.IsRetry:
		l.MaxLossOfOthers *= 1 - r.Yield/max(1, l.Favour)
	}
}
