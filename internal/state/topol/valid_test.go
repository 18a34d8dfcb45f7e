package topol

import (
	"math"
	"strings"
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

// Guards against requests that are sent to an address where no endpoint can be, and against
// names that would end a header field.
func TestEndpointsWithOddValuesAreInvalid(t *testing.T) {
	valid := Endpoint{Name: "e", Service: "s", Address: "10.0.0.1:80", DataCentre: "a", Slots: 1}
	test.NoError(t, valid.Validate())
	for _, c := range []struct {
		name   string
		change func(*Endpoint)
	}{
		{"no name", func(e *Endpoint) { e.Name = "" }},
		{"no service", func(e *Endpoint) { e.Service = "" }},
		{"no data centre", func(e *Endpoint) { e.DataCentre = "" }},
		{"line break in a name", func(e *Endpoint) { e.Name = "e\r\nX: y" }},
		{"name that is not UTF-8", func(e *Endpoint) { e.Service = "\xff" }},
		{"long name", func(e *Endpoint) { e.DataCentre = ident.DataCentre(strings.Repeat("a", maxNameBytes+1)) }},
		{"no address", func(e *Endpoint) { e.Address = "" }},
		{"port zero", func(e *Endpoint) { e.Address = "10.0.0.1:0" }},
		{"port with a sign", func(e *Endpoint) { e.Address = "10.0.0.1:+80" }},
		{"host name", func(e *Endpoint) { e.Address = "localhost:80" }},
		{"unspecified address", func(e *Endpoint) { e.Address = "0.0.0.0:80" }},
		{"multicast address", func(e *Endpoint) { e.Address = "224.0.0.1:80" }},
		{"IPv6", func(e *Endpoint) { e.Address = "[::1]:80" }},
		{"no slots", func(e *Endpoint) { e.Slots = 0 }},
		{"too many slots", func(e *Endpoint) { e.Slots = MaxSlots + 1 }},
		{"negative start", func(e *Endpoint) { e.Born = -1 }},
		{"late start", func(e *Endpoint) { e.Born = MaxBorn + 1 }},
	} {
		e := valid
		c.change(&e)
		test.ErrorIs(t, e.Validate(), ErrInvalid, test.Sprint(c.name))
	}
}
