package serve

import (
	"math/rand/v2"
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/coord/admit"
	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/proto/chat"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/ident"
)

// candidates holds the engines of a prompt's model, and the data from which
// their load at a given time is estimated.
type candidates struct {
	endpoints    []*table.Endpoint
	model        ident.ModelName
	excluded     ident.Set[ident.EndpointName]
	cached       map[ident.EndpointName]ident.Tokens
	nodes        int
	longPoolSize int
	now          time.Time
}

// candidatesFor returns the engines of the prompt's model as candidates.
// Excluded engines, and those that get no new requests, stay in the list, but
// the method candidate marks them as unavailable.
func (c *Core) candidatesFor(r *Request, p *chat.Prompt, suspect bool, excluded ident.Set[ident.EndpointName]) candidates {
	es := c.engines(r, p, suspect)
	return candidates{
		endpoints: es, model: p.Model, excluded: excluded, cached: c.cachedTokens(p),
		nodes: c.longPools.nodeCount(), longPoolSize: c.longPools.size(p.Model, len(es)), now: time.Now(),
	}
}

func (cs candidates) source() route.Source {
	return route.Source{N: len(cs.endpoints), At: cs.candidate}
}

// candidate returns the i-th engine in the form that routing policies use.
func (cs candidates) candidate(i int) route.Candidate {
	e := cs.endpoints[i]
	if !cs.ready(e) {
		return route.Candidate{Name: e.Name, Unavailable: true}
	}
	return route.Candidate{
		Name: e.Name, Load: e.EstimateLoad(cs.now, cs.nodes), Cached: cs.cached[e.Name],
		Suspects: e.Suspects.Load() + e.PeerSuspects.Load(), InLongPool: i < cs.longPoolSize,
	}
}

// anyReady reports whether one of the engines may get new requests.
func (cs candidates) anyReady() bool {
	return slices.ContainsFunc(cs.endpoints, cs.ready)
}

// ready reports whether an engine may get new requests and has loaded the
// model.
func (cs candidates) ready(e *table.Endpoint) bool {
	if e.State() != table.Up || cs.excluded.Has(e.Name) {
		return false
	}
	models := e.Load().Models
	return models == nil || slices.Contains(models, cs.model)
}

// engines returns the engines of the prompt's model. With n live nodes, a suspect
// request runs only on every n-th engine, starting at the rank of this node, so
// that suspect requests of different nodes don't share an engine. If none of
// these engines is up, it may run on all.
func (c *Core) engines(r *Request, p *chat.Prompt, suspect bool) []*table.Endpoint {
	all := r.Table.Engines(p.Model)
	if !suspect {
		return all
	}
	i, n := c.Rank()
	var own []*table.Endpoint
	up := false
	for j := i; j < len(all); j += n {
		own = append(own, all[j])
		up = up || all[j].State() == table.Up
	}
	if !up {
		return all
	}
	return own
}

// cachedTokens returns how many tokens of the prompt each endpoint has
// probably cached.
func (c *Core) cachedTokens(p *chat.Prompt) map[ident.EndpointName]ident.Tokens {
	var m map[ident.EndpointName]ident.Tokens
	for _, x := range p.Prefixes {
		for _, e := range c.Hints.Get(x.Digest) {
			if m == nil {
				m = map[ident.EndpointName]ident.Tokens{}
			}
			m[e] = x.Tokens
		}
	}
	return m
}

// addHints records that the prompt is probably in the prefix cache of an
// endpoint.
func (c *Core) addHints(p *chat.Prompt, e ident.EndpointName) {
	for _, x := range p.Prefixes {
		c.Hints.Add(x.Digest, e)
	}
}

func (c *Core) choose(cs candidates, q route.Request) (route.Choice, error) {
	var ch route.Choice
	var err error
	c.withRandom(func(r *rand.Rand) { ch, err = c.Policy.Choose(cs.source(), q, r) })
	return ch, err
}

// jitter returns a random number between 0 and 1.
func (c *Core) jitter() float64 {
	var f float64
	c.withRandom(func(r *rand.Rand) { f = r.Float64() })
	return f
}

// routeRequest returns the description of a prompt for the routing policy.
func routeRequest(r *Request, p *chat.Prompt, suspect bool) route.Request {
	l := r.Table.Document.Limits
	return route.Request{
		Prompt:          p.Tokens,
		Output:          p.MaxTokens,
		Short:           p.Tokens <= l.ShortTokens,
		Suspect:         suspect,
		ReservedPercent: l.ReservedPercent,
	}
}

// decideAdmission decides whether a prompt is admitted, given the estimates for
// the chosen endpoint (ch) and the time to the first token there if it were idle
// (idleFirst).
func (c *Core) decideAdmission(r *Request, p *chat.Prompt, ch route.Choice, idleFirst time.Duration) admit.Decision {
	w := r.Table.Document.Workspaces[r.Workspace]
	in := admit.Input{
		Prompt: p.Tokens, TimeLeft: r.Remaining(),
		FirstToken: ch.FirstToken, LastToken: ch.LastToken,
		Wait:        max(0, ch.FirstToken-idleFirst),
		Weight:      w.Weight,
		MaxRequests: int64(w.MaxRequests),
		MaxTokens:   w.MaxTokens,
	}
	in.WorkspaceInFlight = admit.InFlight(c.Tally.TotalOf(r.Workspace))
	if sum := c.fleetInFlight.Load(); sum != nil {
		in.FleetInFlight, in.TotalWeight = sum.total, sum.weights
	}
	// The sum has only the weights of workspaces with requests in flight.
	if in.WorkspaceInFlight.Requests == 0 {
		in.TotalWeight += w.Weight
	}
	return admit.Decide(in)
}
