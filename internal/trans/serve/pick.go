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

// candidates are the engines of a prompt's model, with their load at a time.
type candidates struct {
	endpoints []*table.Endpoint
	model     ident.ModelName
	without   ident.Set[ident.EndpointName]
	cached    map[ident.EndpointName]ident.Tokens
	nodes     int
	lane      int
	now       time.Time
}

// candidatesFor lists the engines of a model. Those excluded, and those that
// get no new work, count as out.
func (c *Core) candidatesFor(r *Request, p *chat.Prompt, suspect bool, without ident.Set[ident.EndpointName]) candidates {
	es := c.engines(r, p, suspect)
	return candidates{
		endpoints: es, model: p.Model, without: without, cached: c.cachedAt(p),
		nodes: c.lanes.nodeCount(), lane: c.lanes.size(p.Model, len(es)), now: time.Now(),
	}
}

func (cs candidates) source() route.Source { return route.Source{N: len(cs.endpoints), At: cs.at} }

func (cs candidates) at(i int) route.Candidate {
	e := cs.endpoints[i]
	if !cs.ready(e) {
		return route.Candidate{Name: e.Name, Unavailable: true}
	}
	return route.Candidate{
		Name: e.Name, View: e.View(cs.now, cs.nodes), Cached: cs.cached[e.Name],
		Suspects: e.Suspects.Load() + e.PeerSuspects.Load(), InLongPool: i < cs.lane,
	}
}

// up reports whether one of the engines may get work.
func (cs candidates) up() bool {
	return slices.ContainsFunc(cs.endpoints, cs.ready)
}

// ready reports whether an engine gets work and has loaded the model.
func (cs candidates) ready(e *table.Endpoint) bool {
	if e.State() != table.Up || cs.without.Has(e.Name) {
		return false
	}
	models := e.Load().Models
	return models == nil || slices.Contains(models, cs.model)
}

// engines lists the engines of a model. Suspect requests run on a part of
// them that this node has to itself, so that suspects of different nodes don't
// meet, unless none of that part is up.
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

// cachedAt returns how much of the prompt the endpoints probably cache.
func (c *Core) cachedAt(p *chat.Prompt) map[ident.EndpointName]ident.Tokens {
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

// hint notes that an endpoint will cache a prompt.
func (c *Core) hint(p *chat.Prompt, e ident.EndpointName) {
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

// routeRequest describes a prompt to the policy.
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

// admit decides whether a prompt is taken, given the estimates for the best
// endpoint and the time to first token on an idle one.
func (c *Core) admit(r *Request, p *chat.Prompt, ch route.Choice, alone time.Duration) admit.Decision {
	w := r.Table.Document.Workspaces[r.Workspace]
	in := admit.Input{
		Prompt: p.Tokens, Remaining: r.Remaining(),
		FirstToken: ch.FirstToken, LastToken: ch.LastToken,
		Wait:        max(0, ch.FirstToken-alone),
		Weight:      w.Weight,
		MaxRequests: int64(w.MaxRequests),
		MaxTokens:   w.MaxTokens,
	}
	in.WorkspaceInFlight = admit.InFlight(c.Tally.Of(r.Workspace))
	if b := c.busy.Load(); b != nil {
		in.FleetInFlight, in.TotalWeight = b.all, b.weights
	}
	if in.WorkspaceInFlight.Requests == 0 {
		in.TotalWeight += w.Weight
	}
	return admit.Decide(in)
}
