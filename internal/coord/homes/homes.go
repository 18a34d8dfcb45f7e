// Package homes decides where the requests of routes and workspaces with home regions may go:
// which data centres may serve them, and over which nodes a tunnel may carry them.
package homes

import (
	"cmp"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Regions holds the regions that a node knows from its settings. The empty region is that of a
// node or a data centre whose region isn't known.
type Regions struct {
	// Own is the region of the node itself.
	Own ident.Region
	// Of maps data centres to their regions.
	Of map[ident.DataCentre]ident.Region
}

// NewRegions returns what the settings of a node in a data centre say: its own region, if they name
// it, and those of the data centres. A node without a region of its own is in that of its data
// centre. An empty name is none.
func NewRegions(own ident.Region, centre ident.DataCentre, of map[ident.DataCentre]ident.Region) Regions {
	rs := Regions{Own: cmp.Or(own, of[centre]), Of: map[ident.DataCentre]ident.Region{}}
	for c, region := range of {
		if c != "" && region != "" {
			rs.Of[c] = region
		}
	}
	return rs
}

// Known reports whether the region of any data centre is known.
func (r Regions) Known() bool {
	for _, region := range r.Of {
		if region != "" {
			return true
		}
	}
	return false
}

// Contradicts reports whether the region of a data centre is known and isn't that of the node,
// although the node is in that data centre.
func (r Regions) Contradicts(own ident.DataCentre) bool {
	region := r.Of[own]
	return region != "" && region != r.Own
}

// Rule says where one request may go. The zero Rule allows everything.
type Rule struct {
	regions Regions
	// isBound is set if the request has home regions; serving are then the data centres in them.
	isBound bool
	serving ident.Set[ident.DataCentre]
}

// Rule returns the rule for a request of a route and a workspace. Where both have home regions,
// both bind. The data centres are looked up once, since a service has many more endpoints.
func (r Regions) Rule(route, workspace topol.Homes) Rule {
	if route == "" && workspace == "" {
		return Rule{}
	}
	serving := ident.Set[ident.DataCentre]{}
	for c, region := range r.Of {
		// An unknown region is no home, also if the configuration names the empty region.
		if region != "" && allows(route, region) && allows(workspace, region) {
			serving.Add(c)
		}
	}
	return Rule{regions: r, isBound: true, serving: serving}
}

func allows(h topol.Homes, region ident.Region) bool { return h == "" || h.Has(region) }

// Binds reports whether the request has home regions.
func (r Rule) Binds() bool { return r.isBound }

// MayServe reports whether endpoints of a data centre may get the request, as the one that
// answers it or as a helper.
func (r Rule) MayServe(c ident.DataCentre) bool { return !r.isBound || r.serving.Has(c) }

// MayCarry reports whether the request may pass, with its body, through a node of a data centre
// on the way to an endpoint: if that is in a home region or in the region of this node, which
// the caller has sent the request to.
func (r Rule) MayCarry(c ident.DataCentre) bool {
	return r.MayServe(c) || r.regions.Own != "" && r.regions.Of[c] == r.regions.Own
}

// HasHome reports whether any data centre is known whose endpoints may get the request.
func (r Rule) HasHome() bool { return !r.isBound || len(r.serving) > 0 }
