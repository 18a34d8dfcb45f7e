package topol

import (
	"math"
	"testing"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against processes that end by a kind of route that only nodes of a later build
// know: its name is looked up for metrics.
func TestUnknownKindsAreInvalid(t *testing.T) {
	for _, k := range []Kind{-1, Stream + 1, 1 << 40} {
		c := &Catalog{}
		c.Add(&Route{Name: "r", Kind: k})
		test.ErrorIs(t, c.Validate(), ErrInvalid)
	}
	c := &Catalog{}
	c.Add(&Route{Name: "r", Kind: Stream})
	test.NoError(t, c.Validate())
}

// Guards against times and rates of cold endpoints with which sums could overflow. Peers send
// changes that were not decoded from a document here.
func TestTimesAndRatesOfColdEndpointsAreBounded(t *testing.T) {
	for _, s := range []Service{
		{ColdStart: -1}, {ColdStart: MaxColdTime + 1}, {ColdRate: -1}, {ColdRate: math.NaN()}, {ColdRate: math.Inf(1)}, {ColdRate: 2 * MaxColdRate},
	} {
		c := &Catalog{Services: map[ident.ServiceName]*Service{"s": &s}}
		test.ErrorIs(t, c.Validate(), ErrInvalid)
	}
	c := &Catalog{Services: map[ident.ServiceName]*Service{"s": {ColdStart: MaxColdTime, ColdRate: MaxColdRate}}}
	test.NoError(t, c.Validate())
}
