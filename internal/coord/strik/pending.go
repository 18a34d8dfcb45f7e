package strik

import (
	"slices"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Pending is a strike that is not counted yet, since it isn't known whether the endpoint has
// crashed.
type Pending struct {
	strike Strike
	// isVoid is set if the request has ended well since.
	isVoid bool
}

// Await keeps a strike until Resolve is called with it. Proofs that arrive meanwhile void it.
func (t *Parts) Await(s Strike) *Pending {
	p := &Pending{strike: s}
	p.strike.Parts = slices.Clone(s.Parts)
	t.pending[p] = struct{}{}
	return p
}

// Resolve ends the wait for the cause of a strike. It returns the strike against the parts that
// have not ended well since, and false if the request itself has.
func (t *Parts) Resolve(p *Pending) (s Strike, stands bool) {
	delete(t.pending, p)
	return p.strike, !p.isVoid
}

// PendingLen returns the number of strikes whose cause is not known yet.
func (t *Parts) PendingLen() int { return len(t.pending) }

// MayBar reports whether strikes whose cause is not known yet may bar one of some parts. Those at one
// endpoint are probably of one crash.
func (t *Parts) MayBar(ps []ident.PartID) bool {
	return slices.ContainsFunc(ps, func(p ident.PartID) bool {
		n := t.pendingEndpoints(p)
		if st := t.states[p]; st != nil && n > 0 {
			n += st.Strikes
		}
		return n >= maxPartStrikes
	})
}

// pendingEndpoints returns the number of endpoints at which a part has strikes whose cause is not
// known yet.
func (t *Parts) pendingEndpoints(p ident.PartID) int {
	es := ident.Set[ident.EndpointName]{}
	for o := range t.pending {
		if o.strike.Digest.Part() == p || slices.Contains(o.strike.Parts, p) {
			es.Add(o.strike.Endpoint)
		}
	}
	return len(es)
}

// voidPending removes the parts of a proof from the strikes that are older.
func (t *Parts) voidPending(proof Proof) {
	for p := range t.pending {
		if proof.At.Before(p.strike.At) {
			continue
		}
		p.isVoid = p.isVoid || slices.Contains(proof.Parts, p.strike.Digest.Part())
		p.strike.Parts = slices.DeleteFunc(p.strike.Parts, func(id ident.PartID) bool { return slices.Contains(proof.Parts, id) })
	}
}
