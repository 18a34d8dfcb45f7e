package serve

import (
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/internal/coord/admit"
	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/proto/chat"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/ident"
)

// candidates are the endpoints that may take a prompt, with their load.
type candidates struct {
	endpoints []*table.Endpoint
	views     []route.Candidate
}

// candidatesFor lists the engines of a model that get new work, without those
// excluded.
func (c *Core) candidatesFor(r *Request, p *chat.Prompt, suspect bool, without ident.Set[ident.EndpointName]) candidates {
	now := time.Now()
	cached := c.cachedAt(p)
	nodes := c.lanes.nodeCount()
	all := c.engines(r, p, suspect)
	lane := c.lanes.size(p.Model, len(all))
	var cs candidates
	for i, e := range all {
		if e.State() != table.Up || without.Has(e.Name) {
			continue
		}
		v := route.Candidate{Name: e.Name, View: e.View(now, nodes), Cached: cached[e.Name], Long: i < lane}
		v.Suspects = e.Suspects.Load() + e.PeerSuspects.Load()
		cs.endpoints = append(cs.endpoints, e)
		cs.views = append(cs.views, v)
	}
	return cs
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

func (c *Core) choose(cs []route.Candidate, q route.Request) (route.Choice, error) {
	var ch route.Choice
	var err error
	c.withRandom(func(r *rand.Rand) { ch, err = c.Policy.Choose(cs, q, r) })
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
		Prompt: p.Tokens, Output: p.MaxTokens,
		Remaining: r.Remaining(),
		First:     ch.First, Whole: ch.Whole,
		Wait:        max(0, ch.First-alone),
		Weight:      w.Weight,
		MaxRequests: int64(w.MaxRequests),
		MaxTokens:   w.MaxTokens,
	}
	for n, u := range c.Tally.Fleet() {
		in.All.Requests += u.Requests
		in.All.Tokens += u.Tokens
		if n == r.Workspace {
			in.Mine = admit.Use(u)
		} else {
			in.Weights += r.Table.Document.Workspaces[n].Weight
		}
	}
	in.Weights += w.Weight
	return admit.Decide(in)
}
