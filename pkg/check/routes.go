package check

import (
	"fmt"
	"slices"
	"strings"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// promptCalls are the paths below the prefix of a Prompt route to which callers post prompts.
var promptCalls = []string{"/chat/completions", "/completions"}

// hiddenRoutes finds routes that no request matches. A Plain route always matches its own
// prefix, since no other route is as specific there. The calls of a Prompt route may all
// match more specific ones.
func hiddenRoutes(d *confg.Document) Findings {
	var fs Findings
	for _, n := range ident.SortedKeys(d.Routes) {
		r, path := d.Routes[n], "Routes."+string(n)
		if hasDotOrEmptySegment(r.PathPrefix) {
			fs = append(fs, warn(HiddenRoute, path+".PathPrefix", "no path matches: nodes resolve empty, . and .. segments before they match"))
			continue
		}
		if r.Class != confg.Prompt {
			continue
		}
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, "POST") {
			fs = append(fs, warn(HiddenRoute, path+".Methods", "no prompt matches: prompts are sent with POST"))
			continue
		}
		if by := hiddenBy(d, r); len(by) > 0 {
			fs = append(fs, warn(HiddenRoute, path, "no prompt matches: more specific routes match first: "+strings.Join(by, ", ")))
		}
	}
	return fs
}

// hasDotOrEmptySegment reports whether a prefix has a segment that nodes remove from paths.
func hasDotOrEmptySegment(prefix string) bool {
	return strings.Contains(prefix, "//") || strings.Contains(prefix, "/./") || strings.Contains(prefix+"/", "/../")
}

// hiddenBy returns the names of the routes that match all prompts of a route before it, or
// nothing if some prompt is left to the route.
func hiddenBy(d *confg.Document, r confg.Route) []string {
	var names []string
	for _, call := range promptCalls {
		path := strings.TrimSuffix(r.PathPrefix, "/") + call
		hiding := ""
		for _, n := range ident.SortedKeys(d.Routes) {
			if o := d.Routes[n]; o.Host == r.Host && matchesPost(o, path) && isMoreSpecific(o, r) {
				hiding = string(n)
			}
		}
		if hiding == "" {
			return nil
		}
		names = append(names, hiding)
	}
	return slices.Compact(names)
}

// matchesPost reports whether a route matches a POST request of its host, as state/table
// does.
func matchesPost(r confg.Route, path string) bool {
	rest, ok := strings.CutPrefix(path, r.PathPrefix)
	atSegment := rest == "" || strings.HasSuffix(r.PathPrefix, "/") || rest[0] == '/'
	return ok && atSegment && (len(r.Methods) == 0 || slices.Contains(r.Methods, "POST"))
}

// isMoreSpecific reports whether a route takes precedence over another one of the same host.
func isMoreSpecific(a, b confg.Route) bool {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	return len(a.Methods) > 0 && len(b.Methods) == 0
}

// withoutKeys finds workspaces without keys.
func withoutKeys(d *confg.Document) Findings {
	var fs Findings
	for _, n := range ident.SortedKeys(d.Workspaces) {
		if len(d.Workspaces[n].Keys) == 0 {
			fs = append(fs, warn(NoKeys, fmt.Sprintf("Workspaces.%s.Keys", n), "no key, so no request can come from the workspace"))
		}
	}
	return fs
}

// unusedEndpoints finds services, and models of engines, that no route uses. A model is
// reported at the first engine that serves it.
func unusedEndpoints(d *confg.Document) Findings {
	services, models := ident.SetOf[ident.EndpointName](), ident.SetOf[ident.ModelName]()
	for _, r := range d.Routes {
		for _, e := range r.Endpoints {
			services.Add(e)
		}
		for _, m := range r.Models {
			models.Add(m)
		}
	}
	var fs Findings
	engines := enginesByModel(d)
	for _, n := range ident.SortedKeys(d.Endpoints) {
		e := d.Endpoints[n]
		if e.Kind == confg.Service && !services.Has(n) {
			fs = append(fs, warn(Unused, "Endpoints."+string(n), "no route uses the service"))
		}
		for i, m := range e.Models {
			if !models.Has(m) && engines[m][0] == n {
				fs = append(fs, warn(Unused, fmt.Sprintf("Endpoints.%s.Models[%d]", n, i), fmt.Sprintf("no route offers model %s, which %s", m, enginesServe(len(engines[m])))))
			}
		}
	}
	return fs
}

// enginesByModel returns the engines of each model, sorted by name.
func enginesByModel(d *confg.Document) map[ident.ModelName][]ident.EndpointName {
	es := map[ident.ModelName][]ident.EndpointName{}
	for _, n := range ident.SortedKeys(d.Endpoints) {
		for _, m := range d.Endpoints[n].Models {
			if !slices.Contains(es[m], n) {
				es[m] = append(es[m], n)
			}
		}
	}
	return es
}

// enginesServe returns the end of a sentence about a model.
func enginesServe(engines int) string {
	if engines == 1 {
		return "1 engine serves"
	}
	return fmt.Sprintf("%d engines serve", engines)
}
