package topol

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against workspaces that are shared by keys, or taken for unchanged, although they differ
// in a region, or that are not although they are the same.
func TestHomesAreEqualIfTheirRegionsAre(t *testing.T) {
	regions := rapid.SliceOfN(rapid.SampledFrom([]ident.Region{"", "a", "b", "ab", "a b", "a,b", "é"}), 0, 5)
	sorted := func(rs []ident.Region) []ident.Region { return slices.Compact(slices.Sorted(slices.Values(rs))) }
	rapid.Check(t, func(t *rapid.T) {
		a, b := regions.Draw(t, "a"), regions.Draw(t, "b")
		x, err := NewHomes(a...)
		must.NoError(t, err)
		y, err := NewHomes(b...)
		must.NoError(t, err)
		must.Eq(t, slices.Equal(sorted(a), sorted(b)), x == y)
		must.True(t, slices.Equal(sorted(a), x.Regions()))
		for _, r := range b {
			must.Eq(t, slices.Contains(a, r), x.Has(r))
		}
		must.NoError(t, x.validate("route", "r"))
	})
}

// Guards against a region that is read as two by its line break, and against sets of any size.
func TestRegionsThatNoDeploymentHasAreInvalid(t *testing.T) {
	many := make([]ident.Region, maxHomes+1)
	for i := range many {
		many[i] = ident.Region(fmt.Sprint(i))
	}
	for _, rs := range [][]ident.Region{{"a\nb"}, {"a", "\x00"}, {"\x7f"}, {"\u0085"}, {ident.Region(strings.Repeat("a", maxRegionBytes+1))}, many} {
		_, err := NewHomes(rs...)
		test.ErrorIs(t, err, ErrInvalid, test.Sprintf("%.40q", rs))
	}
	_, err := NewHomes(many[1:]...)
	test.NoError(t, err)
	_, err = NewHomes(slices.Repeat(many[:1], 100_000)...)
	test.NoError(t, err, test.Sprint("one region, listed often"))
}

// Guards against a catalog of a peer with a set that equals none of this node, although its
// regions are the same.
func TestSetsThatAreNotInOrderAreInvalid(t *testing.T) {
	for _, h := range []Homes{"b\na\n", "a\na\n", "a", "a\nb", "a\r\n", "a\x00\n", Homes(strings.Repeat("x", 1<<20))} {
		routes := &Catalog{}
		routes.Add(&Route{Name: "r", Homes: h})
		keys := &Catalog{Keys: map[string]*Workspace{"k": {Name: "w", Homes: h}}}
		for _, c := range []*Catalog{routes, keys} {
			test.ErrorIs(t, c.Validate(), ErrInvalid, test.Sprintf("%.40q", h))
		}
	}
	c := &Catalog{Keys: map[string]*Workspace{"k": {Name: "w", Homes: "\na\nb\n"}}}
	test.NoError(t, c.Validate())
}

// Guards against a node that keeps home regions which the operator has changed: the digests are
// the same, or the change leaves them out.
func TestChangedHomesAreADifference(t *testing.T) {
	build := func(v ident.Version, h, ofWorkspace Homes) *Catalog {
		w := &Workspace{Name: "w", Homes: ofWorkspace}
		c := &Catalog{Version: v, Services: map[ident.ServiceName]*Service{}, Keys: map[string]*Workspace{"k": w, "l": w}}
		c.Add(&Route{Name: "r", Host: "h", Prefix: "/", Homes: h})
		return c
	}
	sets := []Homes{"", "\n", "a\n", "a\nb\n", "b\n"}
	for _, from := range sets {
		for _, to := range sets {
			old, c := build(1, from, from), build(2, to, to)
			ch := Diff(old, c)
			test.Eq(t, from != to, len(ch.Routes) == 1, test.Sprintf("%q to %q", from, to))
			test.Eq(t, from != to, len(ch.Keys) == 2, test.Sprintf("%q to %q", from, to))
			test.Eq(t, from != to, build(1, from, "").ID() != build(1, to, "").ID(), test.Sprint("of the route alone"))
			test.Eq(t, from != to, build(1, "", from).ID() != build(1, "", to).ID(), test.Sprint("of the workspace alone"))
			got, err := old.Apply(ch)
			must.NoError(t, err)
			test.Eq(t, to, got.Match("h", "/").Homes)
			test.Eq(t, to, got.Keys["k"].Homes)
			test.True(t, got.Keys["k"] == got.Keys["l"], test.Sprint("keys of a workspace share it"))
		}
	}
}
