package confg_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/pkg/confg"
)

const good = `{
 "Workspaces": {"w": {"Keys": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}},
 "Endpoints": {
  "e": {"Address": "10.0.0.1:80", "DataCentre": "a", "Kind": "Engine", "Models": ["m"], "MemoryTokens": 10},
  "s": {"Address": "10.0.0.2:80", "DataCentre": "a", "Kind": "Service"}},
 "Routes": {
  "p": {"PathPrefix": "/v1/", "Class": "Prompt", "Models": ["m"]},
  "q": {"PathPrefix": "/b", "Class": "Plain", "Endpoints": ["s"]}}}`

func TestParseDefaults(t *testing.T) {
	d, ps := confg.Parse([]byte(good))
	must.Len(t, 0, ps)
	test.Eq(t, 1, d.Workspaces["w"].Weight)
	test.True(t, d.Routes["p"].Idempotent)
	test.False(t, d.Routes["q"].Idempotent)
	test.Positive(t, d.Routes["q"].TimeLimit)
	test.Eq(t, 3, d.Limits.MaxStrikes)
}

func TestParseRejectsInvalidDocuments(t *testing.T) {
	cases := []struct {
		name, patch, path string
	}{
		{"unknown section", `{"Foo": 1}`, "Foo"},
		{"unknown field", `{"Routes": {"p": {"pathprefix": "/"}}}`, "Routes.p.pathprefix"},
		{"wrong type", `{"Workspaces": {"w": {"Weight": "two"}}}`, "Workspaces.w.Weight"},
		{"bad duration", `{"Routes": {"p": {"TimeLimit": 5}}}`, "Routes.p.TimeLimit"},
		{"not an object", `{"Routes": {"p": []}}`, "Routes.p"},
		{"not a list", `{"Routes": {"p": {"Models": "m"}}}`, "Routes.p.Models"},
		{"bad key", `{"Workspaces": {"w": {"Keys": ["secret"]}}}`, "Workspaces.w.Keys[0]"},
		{"key of two workspaces", `{"Workspaces": {"x": {"Keys": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}}}`, "Workspaces.x.Keys[0]"},
		{"negative limit", `{"Workspaces": {"w": {"MaxTokens": -1}}}`, "Workspaces.w.MaxTokens"},
		{"bad address", `{"Endpoints": {"e": {"Address": "here"}}}`, "Endpoints.e.Address"},
		{"service with models", `{"Endpoints": {"s": {"Models": ["m"]}}}`, "Endpoints.s.Models"},
		{"bad kind", `{"Endpoints": {"e": {"Kind": "engine"}}}`, "Endpoints.e.Kind"},
		{"unknown endpoint", `{"Routes": {"q": {"Endpoints": ["x"]}}}`, "Routes.q.Endpoints[0]"},
		{"engine on a plain route", `{"Routes": {"q": {"Endpoints": ["e"]}}}`, "Routes.q.Endpoints[0]"},
		{"model without engine", `{"Routes": {"p": {"Models": ["x"]}}}`, "Routes.p.Models[0]"},
		{"endpoint in use removed", `{"Endpoints": {"s": null}}`, "Routes.q.Endpoints[0]"},
		{"two routes match the same requests", `{"Routes": {"r": {"PathPrefix": "/b", "Methods": ["GET"], "Class": "Plain", "Endpoints": ["s"]}}}`, "Routes.r"},
		{"time limit too long", `{"Routes": {"q": {"TimeLimit": "2h"}}}`, "Routes.q.TimeLimit"},
		{"memory below body", `{"Limits": {"MemoryBytes": 2048}}`, "Limits.MemoryBytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw, err := confg.Merge([]byte(good), []byte(c.patch))
			must.NoError(t, err)
			d, ps := confg.Parse(raw)
			must.Nil(t, d)
			paths := ""
			for _, p := range ps {
				paths += p.Path + "\n"
				test.NotEq(t, "", p.Why)
			}
			test.StrContains(t, paths, c.path+"\n")
		})
	}
}

func TestMergeRejectsNonObjects(t *testing.T) {
	for _, p := range []string{"", "[]", "null", "1", "{", `{} {}`} {
		_, err := confg.Merge([]byte("{}"), []byte(p))
		test.ErrorIs(t, err, confg.ErrPatch)
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.json")
	must.NoError(t, err)
	must.GreaterEq(t, 2, len(files))
	for _, f := range files {
		raw, err := os.ReadFile(f)
		must.NoError(t, err)
		_, ps := confg.Parse(raw)
		test.Len(t, 0, ps, test.Sprint(f))
	}
}

// FuzzParse checks that Parse never panics and that an accepted document is still
// valid after it was encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good), []byte(`{"Routes":{"q":null}}`))
	f.Add([]byte(`{}`), []byte(`{"Limits":{"KeyAge":"1s"}}`))
	f.Add([]byte(`[`), []byte(`{"a":{"b":null}}`))
	f.Fuzz(func(t *testing.T, doc, patch []byte) {
		raw, err := confg.Merge(doc, patch)
		if err != nil {
			return
		}
		d, ps := confg.Parse(raw)
		if len(ps) > 0 {
			return
		}
		again, err := json.Marshal(d)
		must.NoError(t, err)
		_, ps = confg.Parse(again)
		must.Len(t, 0, ps, must.Sprint(strings.TrimSpace(string(again))))
	})
}
