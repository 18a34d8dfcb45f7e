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

// candidates holds the engines of a prompt's model and what is needed to
// estimate their load at one moment.
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
// Excluded engines, and those that get no new requests, stay in the list and
// are marked as out by at.
func (c *Core) candidatesFor(r *Request, p *chat.Prompt, suspect bool, excluded ident.Set[ident.EndpointName]) candidates {
	es := c.engines(r, p, suspect)
	return candidates{
		endpoints: es, model: p.Model, excluded: excluded, cached: c.cachedTokens(p),
		nodes: c.longPools.nodeCount(), longPoolSize: c.longPools.size(p.Model, len(es)), now: time.Now(),
	}
}

func (cs candidates) source() route.Source { return route.Source{N: len(cs.endpoints), At: cs.at} }

func (cs candidates) at(i int) route.Candidate {
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

// engines returns the engines of the prompt's model. A suspect request runs
// only on those that fall to this node by its rank, so that suspect requests
// of different nodes don't share an engine. If none of them is up, it may run
// on all.
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

// addHints records that an endpoint will have the prompt in its prefix cache.
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

// decideAdmission decides whether a prompt is admitted, given the estimates
// for the best endpoint (ch) and the time to the first token on an idle one
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
	if sum := c.inFlight.Load(); sum != nil {
		in.FleetInFlight, in.TotalWeight = sum.total, sum.weights
	}
	if in.WorkspaceInFlight.Requests == 0 {
		in.TotalWeight += w.Weight
	}
	return admit.Decide(in)
}
