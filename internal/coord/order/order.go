// Package order plans which models the engines load and drop. It compares the
// configured models with those that the engines report and orders one change at
// a time, so that an order that was lost, repeated or given by an earlier lease
// holder is corrected by later ones.
package order

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// repeatAfter is how long the planner waits for the effect of an order to show
// in the engine's reports before it repeats the order.
const repeatAfter = 10 * time.Second

// Engine holds the models that an engine should have and those that it reported.
type Engine struct {
	Name ident.EndpointName
	// Wanted are the configured models, Observed the reported ones.
	Wanted, Observed []ident.ModelName
	// Reported is true if the engine has reported its models.
	Reported bool
}

// Order is an instruction to an engine to load or drop one model.
type Order struct {
	Engine     ident.EndpointName
	Load, Drop ident.ModelName
}

// Planner chooses the next order and remembers the orders given recently. It is
// not safe for concurrent use.
type Planner struct {
	// Interval is the shortest time between two loads in the fleet, since all
	// engines load from the same weight store.
	Interval time.Duration

	lastLoad time.Time
	// pending holds the orders given recently, with the times when they were
	// given.
	pending map[Order]time.Time
}

// Next returns the next order to give now, if any. Loads go before drops, and
// an engine drops nothing while it lacks a wanted model.
func (p *Planner) Next(es []Engine, now time.Time) (Order, bool) {
	if p.pending == nil {
		p.pending = map[Order]time.Time{}
	}
	p.dropExpired(now)
	for _, load := range []bool{true, false} {
		for _, e := range es {
			if o, ok := p.nextFor(e, load, now); ok {
				p.pending[o] = now
				return o, true
			}
		}
	}
	return Order{}, false
}

func (p *Planner) dropExpired(now time.Time) {
	for o, at := range p.pending {
		if now.Sub(at) >= repeatAfter {
			delete(p.pending, o)
		}
	}
}

// nextFor returns the next order for one engine: a load if load is set, else a
// drop.
func (p *Planner) nextFor(e Engine, load bool, now time.Time) (Order, bool) {
	if !e.Reported || load && !p.lastLoad.IsZero() && now.Sub(p.lastLoad) < p.Interval {
		return Order{}, false
	}
	missing := without(e.Wanted, e.Observed)
	if load {
		for _, m := range missing {
			o := Order{Engine: e.Name, Load: m}
			if _, isPending := p.pending[o]; !isPending {
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
		if _, isPending := p.pending[o]; !isPending {
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
