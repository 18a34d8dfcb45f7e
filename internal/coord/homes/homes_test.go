package homes_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/coord/homes"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// of returns a set of regions, which are separated by spaces in the text.
func of(t interface{ Fatal(...any) }, text string) topol.Homes {
	var regions []ident.Region
	for r := range strings.FieldsSeq(text) {
		regions = append(regions, ident.Region(r))
	}
	h, err := topol.NewHomes(regions...)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// sites are data centres of four regions; that of the last one isn't known.
var sites = map[ident.DataCentre]ident.Region{"a1": "a", "a2": "a", "b1": "b", "c1": "c", "x": ""}

// Guards against a request that reaches an endpoint outside its home regions, or passes through a
// node of another region.
func TestWhereRequestsMayGo(t *testing.T) {
	cases := []struct {
		name             string
		route, workspace string
		own              ident.Region
		serve, carry     string
		hasHome          bool
	}{
		{"no homes", "", "", "a", "a1 a2 b1 c1 x unlisted", "a1 a2 b1 c1 x unlisted", true},
		{"no homes, own region unknown", "", "", "", "a1 a2 b1 c1 x unlisted", "a1 a2 b1 c1 x unlisted", true},
		{"of the route, at home", "a", "", "a", "a1 a2", "a1 a2", true},
		{"of the route, node elsewhere", "a", "", "b", "a1 a2", "a1 a2 b1", true},
		{"of the workspace", "", "b", "a", "b1", "a1 a2 b1", true},
		{"two regions", "a b", "", "c", "a1 a2 b1", "a1 a2 b1 c1", true},
		{"both bind", "a b", "b c", "b", "b1", "b1", true},
		{"both bind, node in a region of one", "a b", "b c", "a", "b1", "a1 a2 b1", true},
		{"nothing in common", "a", "b", "c", "", "c1", false},
		{"region of no data centre", "d", "", "a", "", "a1 a2", false},
		{"one region of no data centre", "a d", "", "a", "a1 a2", "a1 a2", true},
		{"own region unknown", "a", "", "", "a1 a2", "a1 a2", true},
		{"region of no data centre, own region unknown", "d", "", "", "", "", false},
	}
	all := []ident.DataCentre{"a1", "a2", "b1", "c1", "x", "unlisted"}
	for _, c := range cases {
		rule := homes.Regions{Own: c.own, Of: sites}.Rule(of(t, c.route), of(t, c.workspace))
		test.Eq(t, c.route+c.workspace != "", rule.Binds(), test.Sprint(c.name))
		test.Eq(t, c.serve, names(all, rule.MayServe), test.Sprint(c.name))
		test.Eq(t, c.carry, names(all, rule.MayCarry), test.Sprint(c.name))
		test.Eq(t, c.hasHome, rule.HasHome(), test.Sprint(c.name))
	}
}

// names returns the data centres with a property, separated by spaces.
func names(cs []ident.DataCentre, has func(ident.DataCentre) bool) string {
	var ns []string
	for _, c := range cs {
		if has(c) {
			ns = append(ns, string(c))
		}
	}
	return strings.Join(ns, " ")
}

// Guards against a list with null in place of a region that stands for all data centres, or for
// those whose region isn't known.
func TestEmptyRegionIsNoHome(t *testing.T) {
	empty, err := topol.NewHomes("")
	must.NoError(t, err)
	for _, own := range []ident.Region{"", "a"} {
		rule := homes.Regions{Own: own, Of: sites}.Rule(empty, "")
		test.True(t, rule.Binds())
		test.False(t, rule.HasHome())
		for _, c := range []ident.DataCentre{"a1", "x", "unlisted", ""} {
			test.False(t, rule.MayServe(c))
			test.Eq(t, own != "" && sites[c] == own, rule.MayCarry(c))
		}
	}
}

// Guards against settings without regions by which requests with homes go anywhere.
func TestSettingsWithoutRegionsAllowNothing(t *testing.T) {
	rule := homes.Regions{}.Rule("", of(t, "a"))
	test.False(t, rule.MayServe("a1"))
	test.False(t, rule.MayCarry("a1"))
	test.False(t, rule.HasHome())
	test.False(t, homes.Regions{Of: map[ident.DataCentre]ident.Region{"x": ""}}.Known())
	test.True(t, homes.Regions{Of: sites}.Known())
}

func TestSettingsThatContradict(t *testing.T) {
	test.True(t, homes.Regions{Own: "b", Of: sites}.Contradicts("a1"))
	test.True(t, homes.Regions{Of: sites}.Contradicts("a1"))
	test.False(t, homes.Regions{Own: "a", Of: sites}.Contradicts("a1"))
	test.False(t, homes.Regions{Own: "a", Of: sites}.Contradicts("x"))
}

// Guards against a rule that allows a data centre by one of two sets only, or by neither.
func TestRuleIsTheIntersection(t *testing.T) {
	region := rapid.SampledFrom([]ident.Region{"", "a", "b", "c", "ab"})
	rapid.Check(t, func(t *rapid.T) {
		sets := [2][]ident.Region{rapid.SliceOfN(region, 0, 4).Draw(t, "route"), rapid.SliceOfN(region, 0, 4).Draw(t, "workspace")}
		var hs [2]topol.Homes
		for i, s := range sets {
			var err error
			hs[i], err = topol.NewHomes(s...)
			must.NoError(t, err)
		}
		rs := homes.Regions{Own: region.Draw(t, "own"), Of: map[ident.DataCentre]ident.Region{}}
		for _, c := range []ident.DataCentre{"1", "2", "3"} {
			if rapid.Bool().Draw(t, "listed") {
				rs.Of[c] = region.Draw(t, "region")
			}
		}
		rule := rs.Rule(hs[0], hs[1])
		binds := len(sets[0])+len(sets[1]) > 0
		hasHome := !binds
		for _, c := range []ident.DataCentre{"1", "2", "3", "unlisted"} {
			r := rs.Of[c]
			home := r != "" && (len(sets[0]) == 0 || slices.Contains(sets[0], r)) && (len(sets[1]) == 0 || slices.Contains(sets[1], r))
			hasHome = hasHome || home
			must.Eq(t, !binds || home, rule.MayServe(c))
			must.Eq(t, !binds || home || r != "" && r == rs.Own, rule.MayCarry(c))
		}
		must.Eq(t, hasHome, rule.HasHome())
	})
}
