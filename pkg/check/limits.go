package check

import (
	"fmt"
	"slices"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// contradictions finds limits that can't take effect beside others.
func contradictions(d *confg.Document) Findings {
	return slices.Concat(timeLimits(d), strikeLimits(d), longPromptShares(d), tokenLimits(d))
}

// timeLimits finds waits that are no shorter than the time limit of the requests that wait.
func timeLimits(d *confg.Document) Findings {
	var fs Findings
	silence, age := d.Limits.SilenceTimeout, d.Limits.KeyAge
	for _, n := range ident.SortedKeys(d.Routes) {
		r, path := d.Routes[n], fmt.Sprintf("Routes.%s.TimeLimit", n)
		if r.Class == confg.Prompt && silence >= r.TimeLimit {
			fs = append(fs, warn(Limits, path, fmt.Sprintf("%s is not above Limits.SilenceTimeout, %s: silent engines are never queried", r.TimeLimit.Std(), silence.Std())))
		}
		if r.Class == confg.Plain && !r.Idempotent && age < r.TimeLimit {
			fs = append(fs, warn(Limits, path, fmt.Sprintf("%s is above Limits.KeyAge, %s: a key may expire while its request runs", r.TimeLimit.Std(), age.Std())))
		}
	}
	return fs
}

// strikeLimits finds models with fewer engines than one request may crash. It is rejected after
// MaxStrikes-1 crashes in which it was the only suspect.
func strikeLimits(d *confg.Document) Findings {
	crashes := d.Limits.MaxStrikes - 1
	engines := enginesByModel(d)
	var fs Findings
	for _, m := range ident.SortedKeys(engines) {
		if n := len(engines[m]); n < crashes {
			fs = append(fs, warn(Limits, "Limits.MaxStrikes", fmt.Sprintf("a request may crash %d engines before it is rejected, model %s has %d", crashes, m, n)))
		}
	}
	return fs
}

// longPromptShares finds engines whose share of the memory for long prompts holds none.
func longPromptShares(d *confg.Document) Findings {
	var fs Findings
	l := d.Limits
	for _, n := range ident.SortedKeys(d.Endpoints) {
		e := d.Endpoints[n]
		share := e.MemoryTokens - e.MemoryTokens*ident.Tokens(l.ReservedPercent)/100
		if e.Kind == confg.Engine && share <= l.ShortTokens {
			fs = append(fs, warn(Limits, fmt.Sprintf("Endpoints.%s.MemoryTokens", n), fmt.Sprintf("Limits.ReservedPercent leaves %d tokens to long prompts, which have more than Limits.ShortTokens, %d", share, l.ShortTokens)))
		}
	}
	return fs
}

// tokenLimits finds workspaces that may have more prompt tokens in flight than all engines
// have memory for. The default is above that of many fleets and stands for no limit.
func tokenLimits(d *confg.Document) Findings {
	memory := ident.Tokens(0)
	for _, e := range d.Endpoints {
		memory += e.MemoryTokens
	}
	var fs Findings
	for _, n := range ident.SortedKeys(d.Workspaces) {
		if t := d.Workspaces[n].MaxTokens; memory > 0 && t > memory && t != confg.DefaultMaxTokens {
			fs = append(fs, warn(Limits, fmt.Sprintf("Workspaces.%s.MaxTokens", n), fmt.Sprintf("%d is above the memory of all engines, %d tokens", t, memory)))
		}
	}
	return fs
}
