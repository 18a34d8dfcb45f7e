package check_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/pkg/check"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// clean is a document without findings.
const clean = `{
 "Workspaces": {"w": {"Keys": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"], "MaxTokens": 200000}},
 "Endpoints": {
  "e": {"Address": "10.0.0.1:80", "DataCentre": "a", "Kind": "Engine", "Models": ["m"], "MemoryTokens": 100000},
  "f": {"Address": "10.0.0.2:80", "DataCentre": "a", "Kind": "Engine", "Models": ["m"], "MemoryTokens": 100000},
  "s": {"Address": "10.0.0.3:80", "DataCentre": "a", "Kind": "Service"}},
 "Routes": {
  "p": {"PathPrefix": "/v1", "Class": "Prompt", "Models": ["m"]},
  "q": {"PathPrefix": "/b", "Class": "Plain", "Endpoints": ["s"]}}}`

// merged returns the clean document with a patch.
func merged(t *testing.T, patch string) []byte {
	raw, err := confg.Merge([]byte(clean), []byte(patch))
	must.NoError(t, err)
	return raw
}

// Guards against a finding that is missed, and against one where there is none.
func TestFindings(t *testing.T) {
	route := func(prefix, rest string) string {
		return fmt.Sprintf(`{"Routes": {"r": {"PathPrefix": %q, "Class": "Prompt", "Models": ["m"]%s}}}`, prefix, rest)
	}
	cases := []struct {
		name, patch string
		// want are the kind, or error, and the path of each finding.
		want []string
	}{
		{"clean", `{}`, nil},
		{"invalid value", `{"Limits": {"MaxStrikes": 99}}`, []string{"error Limits.MaxStrikes"}},
		{"unknown field", `{"Foo": 1}`, []string{"error Foo"}},
		{"two errors", `{"Limits": {"MaxStrikes": 99, "RetryPercent": -1}}`, []string{"error Limits.RetryPercent", "error Limits.MaxStrikes"}},

		{"prompt route with and without a slash", route("/v1/", ""), []string{"hidden-route Routes.p"}},
		{"longer route for another path", route("/v1/chat", ""), nil},
		{"same prefix with another model for POST", `{"Endpoints": {"e": {"Models": ["m", "n"]}, "f": {"Models": ["m", "n"]}},
			"Routes": {"r": {"PathPrefix": "/v1", "Class": "Prompt", "Models": ["n"], "Methods": ["POST"]}}}`, []string{"hidden-route Routes.p"}},
		{"without POST", route("/w", `, "Methods": ["GET"]`), []string{"hidden-route Routes.r.Methods"}},
		{"same prefix at a host", route("/v1", `, "Host": "h"`), nil},
		{"longer routes for each call", `{"Routes": {
			"a": {"PathPrefix": "/v1/chat/completions", "Class": "Plain", "Endpoints": ["s"]},
			"b": {"PathPrefix": "/v1/completions", "Class": "Plain", "Endpoints": ["s"]}}}`, []string{"hidden-route Routes.p"}},
		{"longer routes for each call at a host", `{"Routes": {
			"a": {"Host": "h", "PathPrefix": "/v1/chat/completions", "Class": "Plain", "Endpoints": ["s"]},
			"b": {"Host": "h", "PathPrefix": "/v1/completions", "Class": "Plain", "Endpoints": ["s"]}}}`, nil},
		{"prefix with an empty segment", `{"Routes": {"q": {"PathPrefix": "/b//c"}}}`, []string{"hidden-route Routes.q.PathPrefix"}},
		{"prefix that goes up", `{"Routes": {"q": {"PathPrefix": "/b/.."}}}`, []string{"hidden-route Routes.q.PathPrefix"}},
		{"prefix with dots in a name", `{"Routes": {"q": {"PathPrefix": "/b/..c/d."}}}`, nil},

		{"workspace without keys", `{"Workspaces": {"x": {}, "y": {"Keys": []}}}`, []string{"no-keys Workspaces.x.Keys", "no-keys Workspaces.y.Keys"}},
		{"unused service", `{"Endpoints": {"t": {"Address": "10.0.0.4:80", "DataCentre": "a", "Kind": "Service"}}}`, []string{"unused Endpoints.t"}},
		{"model without a route", `{"Endpoints": {"e": {"Models": ["m", "n"]}, "f": {"Models": ["n", "m"]}}}`, []string{"unused Endpoints.e.Models[1]"}},

		{"silence timeout at the time limit", `{"Routes": {"p": {"TimeLimit": "2s"}}}`, []string{"limits Routes.p.TimeLimit"}},
		{"silence timeout below the time limit", `{"Routes": {"p": {"TimeLimit": "2001ms"}}}`, nil},
		{"key that expires early", `{"Limits": {"KeyAge": "4s"}}`, []string{"limits Routes.q.TimeLimit"}},
		{"key age of repeatable requests", `{"Limits": {"KeyAge": "4s"}, "Routes": {"q": {"Idempotent": true}}}`, nil},
		{"more crashes than engines", `{"Limits": {"MaxStrikes": 4}}`, []string{"limits Limits.MaxStrikes"}},
		{"share of long prompts", `{"Limits": {"ReservedPercent": 84}}`, []string{"limits Endpoints.e.MemoryTokens", "limits Endpoints.f.MemoryTokens"}},
		{"share of long prompts of one engine", `{"Endpoints": {"f": {"MemoryTokens": 20000}}, "Workspaces": {"w": {"MaxTokens": 120000}}}`, []string{"limits Endpoints.f.MemoryTokens"}},
		{"tokens above all memory", `{"Workspaces": {"w": {"MaxTokens": 200001}}}`, []string{"limits Workspaces.w.MaxTokens"}},
		{"default of the tokens", `{"Workspaces": {"w": {"MaxTokens": null}}}`, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, fs := check.Raw(merged(t, c.patch))
			var got []string
			for _, f := range fs {
				what := string(f.Kind)
				if f.Level == check.Error {
					what = string(f.Level)
				}
				got = append(got, what+" "+f.Path)
				test.NotEq(t, "", f.Why)
			}
			test.Eq(t, c.want, got)
			test.Eq(t, d == nil, fs.Has(check.Error))
			test.Eq(t, len(fs) > 0 && d != nil, fs.Has(check.Warning))
		})
	}
}

// Guards against findings about the documents that are shown as examples.
func TestExamplesAreClean(t *testing.T) {
	names, err := filepath.Glob("../../examples/*.json")
	must.NoError(t, err)
	must.SliceNotEmpty(t, names)
	for _, n := range names {
		raw, err := os.ReadFile(n)
		must.NoError(t, err)
		_, fs := check.Raw(raw)
		test.SliceEmpty(t, fs, test.Sprint(n))
	}
}

// Guards against a route that counts as hidden although a node matches prompts to it, or the
// reverse.
func TestHiddenRoutesAreThoseThatNodesNeverMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &confg.Document{Routes: map[ident.RouteName]confg.Route{}}
		for i := range rapid.IntRange(1, 6).Draw(t, "routes") {
			d.Routes[ident.RouteName(fmt.Sprint("r", i))] = confg.Route{
				Host:       rapid.SampledFrom([]string{"", "h"}).Draw(t, "host"),
				PathPrefix: rapid.SampledFrom([]string{"/", "/v", "/v/", "/v/chat", "/v/chat/completions", "/v/completions", "/v/comp", "/completions", "/chat/"}).Draw(t, "prefix"),
				Methods:    rapid.SampledFrom([][]string{nil, {"POST"}, {"GET"}, {"GET", "POST"}}).Draw(t, "methods"),
				Class:      rapid.SampledFrom([]confg.Class{confg.Prompt, confg.Plain}).Draw(t, "class"),
				Models:     []ident.ModelName{"m"},
			}
		}
		tb := table.New(1, d, nil)
		fs := check.Document(d)
		for n, r := range d.Routes {
			if r.Class != confg.Prompt {
				continue
			}
			matched := false
			for _, call := range []string{"/chat/completions", "/completions"} {
				host := r.Host
				if host == "" {
					host = "other"
				}
				rs := tb.Match(host, "POST", strings.TrimSuffix(r.PathPrefix, "/")+call)
				matched = matched || slices.ContainsFunc(rs, func(m *table.Route) bool { return m.Name == n })
			}
			hidden := slices.ContainsFunc(fs, func(f check.Finding) bool {
				return f.Kind == check.HiddenRoute && (f.Path == "Routes."+string(n) || f.Path == "Routes."+string(n)+".Methods")
			})
			if matched == hidden {
				t.Fatalf("route %s: matched %v, hidden %v", n, matched, hidden)
			}
		}
	})
}

// Guards against a prefix that counts as impossible although a node sees such paths.
func TestNodesResolveTheSegmentsOfPaths(t *testing.T) {
	for _, p := range []string{"/b//c", "/b/./c", "/b/../c", "/b/.."} {
		var u fasthttp.URI
		must.NoError(t, u.Parse([]byte("h"), []byte(p)))
		test.NotEq(t, p, string(u.Path()))
	}
}

// Guards against differences that are missed, and against ones between a default and an
// absent value.
func TestDiff(t *testing.T) {
	cases := []struct {
		name, patch string
		want        []string
	}{
		{"none", `{}`, nil},
		{"default written out", `{"Limits": {"MaxStrikes": 3}, "Routes": {"p": {"TimeLimit": "60s"}}}`, nil},
		{"changed", `{"Limits": {"MaxStrikes": 4}}`, []string{"Limits.MaxStrikes 3 4"}},
		{"added entry", `{"Workspaces": {"x": {"Weight": 2}}}`, []string{`Workspaces.x  {"Weight":2,"MaxRequests":2000,"MaxTokens":20000000}`}},
		{"removed entry", `{"Endpoints": {"s": null}, "Routes": {"q": null}}`, []string{
			`Endpoints.s {"Address":"10.0.0.3:80","DataCentre":"a","Kind":"Service"} `,
			`Routes.q {"PathPrefix":"/b","Class":"Plain","Endpoints":["s"],"TimeLimit":"5s"} `,
		}},
		{"removed section", `{"Workspaces": null}`, []string{
			`Workspaces.w {"Keys":["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"],"Weight":1,"MaxRequests":2000,"MaxTokens":200000} `,
		}},
		{"list", `{"Endpoints": {"e": {"Models": ["m", "n"]}}}`, []string{`Endpoints.e.Models ["m"] ["m","n"]`}},
		{"added field", `{"Routes": {"q": {"Idempotent": true}}}`, []string{"Routes.q.Idempotent  true"}},
	}
	for _, c := range cases {
		old, _ := check.Raw([]byte(clean))
		changed, fs := check.Raw(merged(t, c.patch))
		must.NotNil(t, changed, must.Sprint(fs))
		var got []string
		for _, d := range check.Diff(old, changed) {
			got = append(got, fmt.Sprintf("%s %s %s", d.Path, d.Old, d.New))
		}
		test.Eq(t, c.want, got, test.Sprint(c.name))
	}
}
