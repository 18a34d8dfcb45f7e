// Package order decides which order to give to engines next. It compares what
// is wanted with what is observed and changes one step at a time, so that an
// order which was lost, repeated or given by an earlier holder does no lasting
// harm.
package order

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// settle is how long an order is given to show in an engine's reports before
// it is repeated.
const settle = 10 * time.Second

// Engine is what is wanted of an engine and what it reported.
type Engine struct {
	Name ident.EndpointName
	// Wanted are the models of the configuration, Observed those reported.
	Wanted, Observed []ident.ModelName
	// Reported tells that Observed is known.
	Reported bool
}

// Order tells an engine to load or drop a model.
type Order struct {
	Engine     ident.EndpointName
	Load, Drop ident.ModelName
}

// Planner remembers the orders under way. It is not safe for concurrent use.
type Planner struct {
	// Interval is the least time between two loads in the fleet, which share
	// the weight store.
	Interval time.Duration

	lastLoad time.Time
	given    map[Order]time.Time
}

// Next returns the next order, if there is one to give now. Loads go before
// drops.
func (p *Planner) Next(es []Engine, now time.Time) (Order, bool) {
	if p.given == nil {
		p.given = map[Order]time.Time{}
	}
	p.forget(now)
	for _, load := range []bool{true, false} {
		for _, e := range es {
			if o, ok := p.step(e, load, now); ok {
				p.given[o] = now
				return o, true
			}
		}
	}
	return Order{}, false
}

func (p *Planner) forget(now time.Time) {
	for o, at := range p.given {
		if now.Sub(at) >= settle {
			delete(p.given, o)
		}
	}
}

// step returns the order for one engine, a load or a drop.
func (p *Planner) step(e Engine, load bool, now time.Time) (Order, bool) {
	if !e.Reported || load && !p.lastLoad.IsZero() && now.Sub(p.lastLoad) < p.Interval {
		return Order{}, false
	}
	missing := without(e.Wanted, e.Observed)
	if load {
		for _, m := range missing {
			o := Order{Engine: e.Name, Load: m}
			if _, under := p.given[o]; !under {
				p.lastLoad = now
				return o, true
			}
		}
		return Order{}, false
	}
	if len(missing) > 0 {
		return Order{}, false
	}
	for _, m := range without(e.Observed, e.Wanted) {
		o := Order{Engine: e.Name, Drop: m}
		if _, under := p.given[o]; !under {
			return o, true
		}
	}
	return Order{}, false
}

// without returns the values of a that aren't in b.
func without(a, b []ident.ModelName) []ident.ModelName {
	var out []ident.ModelName
	for _, v := range a {
		if !slices.Contains(b, v) {
			out = append(out, v)
		}
	}
	return out
}
