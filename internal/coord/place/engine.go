package place

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// view is the state of one engine, as far as the nodes know. An engine works
// in passes: each writes one event of every writer and reads what waits to be
// read. So reading delays the writers, and a prompt waits for the pass before
// it.
type view struct {
	endpoint *topol.Endpoint
	spec     *topol.Engine
	avoid    bool
	// suspect engines read no parts for others.
	suspect bool
	// short marks the engines in the lane for callers who bear short pauses
	// only.
	short bool
	// rank is the place in an order that all nodes share.
	rank int
	// requests counts those that occupy a slot, writers those that write.
	requests, writers int
	// helping counts the prompts of others that it reads parts of.
	helping int
	// gap is the least pause that the callers of its requests accept; zero
	// without requests.
	gap time.Duration
	// value weighs its requests together.
	value float64
	// context is what the writers have in memory, used all that is or will be.
	context, used ident.Tokens
	// cost is what speaks against the engine as a helper of the request that is
	// placed.
	cost float64
	// reads is what the engine has still to read.
	reads reads
	// backlog is the time until all of that is read.
	backlog time.Duration
}

// part is what one engine reads of a prompt.
type part struct {
	tokens ident.Tokens
	// pairs is in millions of pairs of a token and an earlier one.
	pairs float64
}

// split returns the part that each of n engines reads of a prompt.
func split(prompt ident.Tokens, n int) part {
	p := float64(prompt)
	return part{
		tokens: (prompt + ident.Tokens(n) - 1) / ident.Tokens(n),
		pairs:  p * p / 2 / 1e6 / float64(n),
	}
}

// writing is the time that the writers take in each pass.
func (v *view) writing() time.Duration {
	if v.writers == 0 {
		return 0
	}
	step := v.spec.StepTime + time.Duration(v.writers)*v.spec.PerSequence + time.Duration(float64(v.context)/1000*float64(v.spec.PerThousandContext))
	return time.Duration(v.spec.DecodeSteps) * step
}

// read is the time to read a part alone.
func (v *view) read(p part) time.Duration {
	steps := (p.tokens + v.spec.PrefillChunk - 1) / v.spec.PrefillChunk
	return time.Duration(float64(p.tokens)/v.spec.PrefillRate*float64(time.Second)) +
		time.Duration(p.pairs*float64(v.spec.PerMillionPairs)) + time.Duration(steps)*v.spec.StepTime/2
}

// finish is the time until a new part is read, if it waits for all that are
// there. A part for another engine goes before them where nobody writes, but
// others that come later go before it.
func (v *view) finish(p part) time.Duration {
	return v.backlog + v.writing()/2 + v.read(p)
}

// fits reports whether the engine has memory for more tokens.
func (v *view) fits(n ident.Tokens) bool {
	return v.used+n <= v.spec.Memory*memoryPercent/100
}

// views works out the state of all engines that may get requests, in an order
// that all nodes share.
func views(s Scene) []*view {
	vs := make([]*view, 0, len(s.Endpoints))
	byName := make(map[ident.EndpointName]*view, len(s.Endpoints))
	for _, e := range s.Endpoints {
		v := &view{endpoint: e, spec: s.Engine, avoid: s.Avoid(e.Name), suspect: s.Suspect(e.Name)}
		byName[e.Name] = v
		if !e.Leaving {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b *view) int { return cmp.Compare(a.endpoint.Name, b.endpoint.Name) })
	for i, v := range vs {
		v.rank = i
	}
	markLane(vs, s)
	for _, w := range s.Works {
		addRequest(byName[w.First], w)
		for _, h := range w.Held {
			if v := byName[h.Endpoint]; v != nil {
				v.used += h.Tokens
			}
		}
	}
	for _, w := range s.Works {
		if !w.Writing && w.Prompt > 0 {
			addReading(byName, w, s.Now)
		}
	}
	weight := delayWeight(len(vs))
	for _, v := range vs {
		v.backlog = v.reads.settle()
		v.reads.weight = weight
	}
	return vs
}

func addRequest(v *view, w works.Request) {
	if v == nil {
		return
	}
	v.requests++
	v.value += value(w.Prompt)
	v.used += w.Share + w.Output
	if v.gap == 0 || w.Gap < v.gap {
		v.gap = w.Gap
	}
	if w.Writing {
		v.writers++
		v.context += w.Share
	}
}

// addReading adds the parts of a prompt to what its engines have to read.
func addReading(byName map[ident.EndpointName]*view, w works.Request, now time.Time) {
	p := split(w.Prompt, len(w.Helpers)+1)
	at := -now.Sub(w.Since)
	risk := delayRisk(w)
	if v := byName[w.First]; v != nil {
		t := v.read(p)
		u := unread{left: t, risk: risk}
		if len(w.Helpers) == 0 {
			// No other engine can be the one that the prompt waits for.
			u.least = t / 4
		}
		v.reads.own(u, at)
	}
	for _, h := range w.Helpers {
		if v := byName[h]; v != nil {
			v.helping++
			v.reads.lend(unread{left: v.read(p), risk: risk}, at)
		}
	}
}
