package place

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// keptFraction is the fraction of the bound that applies to a prompt which keeps its place.
const keptFraction = 1

// PrefillTime returns the time that one engine takes to prefill a prompt.
func PrefillTime(e *topol.Engine, prompt ident.Tokens) time.Duration {
	v := engineView{spec: e}
	return v.prefillTime(split(prompt, 1))
}

// applyPlace changes the bound on what others may lose by a prompt that keeps its place, and
// by a first try that yields to such prompts.
func (p plan) applyPlace(l *Load, r Request) {
	if r.KeepsPlace {
		l.Favour = max(1, l.Favour)
		l.MaxLossOfOthers = max(l.MaxLossOfOthers, p.maxLossByDelay(r, keptFraction)*l.Favour)
		return
	}
	if !r.IsRetry {
		l.MaxLossOfOthers *= 1 - r.Yield
	}
}
