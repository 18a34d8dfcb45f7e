package topol

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/pkg/ident"
)

func drawHomes(t *rapid.T) Homes {
	return rapid.SampledFrom([]Homes{"", "a\n", "a\nb\n"}).Draw(t, "homes")
}

// drawCatalog draws a catalog from few values, so that two of them have much in
// common.
func drawCatalog(t *rapid.T, v ident.Version) *Catalog {
	c := &Catalog{Version: v, Services: map[ident.ServiceName]*Service{}, Limits: Limits{MaxBodyBytes: rapid.IntRange(1, 3).Draw(t, "body")}}
	c.Add()
	for i := range rapid.IntRange(0, 6).Draw(t, "routes") {
		c.Add(&Route{
			Name: ident.RouteName(fmt.Sprint("r", i)), Host: "H.example", Prefix: fmt.Sprintf("/%d/", rapid.IntRange(0, 5).Draw(t, "prefix")),
			Attempts: rapid.IntRange(1, 2).Draw(t, "attempts"), Services: []WeightedService{{Service: "s", Weight: rapid.IntRange(1, 2).Draw(t, "weight")}},
			Homes: drawHomes(t),
		})
	}
	for _, n := range rapid.SliceOfDistinct(rapid.SampledFrom([]ident.ServiceName{"s", "t", "u"}), rapid.ID).Draw(t, "services") {
		c.Services[n] = &Service{
			Name: n, ColdStart: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold start")), ColdRate: rapid.SampledFrom([]float64{0, 1.5}).Draw(t, "cold rate"),
		}
		if rapid.Bool().Draw(t, "engine") {
			c.Services[n].Engine = &Engine{Slots: rapid.IntRange(1, 2).Draw(t, "slots")}
		}
	}
	if rapid.Bool().Draw(t, "keys") {
		c.Keys = map[string]*Workspace{}
		for _, k := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"k1", "k2", "k3"}), rapid.ID).Draw(t, "key") {
			c.Keys[k] = &Workspace{Name: ident.WorkspaceName(rapid.SampledFrom([]string{"w", "x"}).Draw(t, "workspace")), Homes: drawHomes(t)}
		}
	}
	return c
}

// Guards against a configuration that differs between nodes because it was changed
// instead of read.
func TestApplyResultsInTheChangedCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var old *Catalog
		if rapid.Bool().Draw(t, "base") {
			old = drawCatalog(t, 1)
		}
		c := drawCatalog(t, 2)
		var before ID
		if old != nil {
			before = ID{old.Version, old.sum()}
		}
		got, err := old.Apply(Diff(old, c))
		must.NoError(t, err)
		must.Eq(t, c.Routes, got.Routes)
		must.Eq(t, c.Services, got.Services)
		must.Eq(t, c.Keys, got.Keys)
		must.Eq(t, c.Limits, got.Limits)
		must.Eq(t, got.sum(), got.ID().Digest, must.Sprint("the digest is kept up to date"))
		if old != nil {
			must.Eq(t, before, ID{old.Version, old.sum()}, must.Sprint("the base is not modified"))
		}
	})
}

func TestChangeForAnotherBaseIsRejected(t *testing.T) {
	a, b := &Catalog{Version: 1}, &Catalog{Version: 1}
	a.Add(&Route{Name: "r", Host: "h", Prefix: "/a/"})
	b.Add(&Route{Name: "r", Host: "h", Prefix: "/b/"})
	c := &Catalog{Version: 2}
	_, err := b.Apply(Diff(a, c))
	test.ErrorIs(t, err, ErrOtherBase)
	_, err = (*Catalog)(nil).Apply(Diff(a, c))
	test.ErrorIs(t, err, ErrOtherBase)
	got, err := b.Apply(Diff(nil, a))
	must.NoError(t, err)
	test.Eq(t, a.Routes, got.Routes, test.Sprint("a complete catalog needs no base"))
}

func TestChangeWithAnotherResultIsRejected(t *testing.T) {
	a, c := &Catalog{Version: 1}, &Catalog{Version: 2}
	c.Add(&Route{Name: "r", Host: "h", Prefix: "/a/"})
	ch := Diff(a, c)
	ch.Routes[0].Attempts++
	_, err := a.Apply(ch)
	test.ErrorIs(t, err, ErrDigest)
}

func TestShareWithKeepsTheContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, c := drawCatalog(t, 1), drawCatalog(t, 2)
		before := c.sum()
		c.ShareWith(old)
		must.Eq(t, before, c.sum())
	})
}

func TestMatchPicksTheLongestPrefix(t *testing.T) {
	c := &Catalog{}
	c.Add(&Route{Name: "root", Host: "H.example", Prefix: "/"}, &Route{Name: "a", Host: "h.example", Prefix: "/a/"},
		&Route{Name: "ab", Host: "h.example", Prefix: "/a/b/"}, &Route{Name: "again", Host: "h.example", Prefix: "/a/"}, &Route{Name: "other", Host: "o.example", Prefix: "/x/"})
	for _, m := range []struct {
		host, path string
		want       ident.RouteName
	}{
		{"h.example", "/", "root"},
		{"H.EXAMPLE:80", "/a/b/c", "ab"},
		{"h.example", "/a/b", "a"},
		{"h.example", "/a", "root"},
		{"h.example", "/a//b/", "a"},
		{"h.example", "", ""},
		{"o.example", "/a/", ""},
		{"unknown.example", "/", ""},
	} {
		var got ident.RouteName
		if r := c.Match(m.host, m.path); r != nil {
			got = r.Name
		}
		test.Eq(t, m.want, got, test.Sprintf("%s%s", m.host, m.path))
	}
}
