// Package table indexes one version of the configuration, so that requests can
// be matched against it, and holds the state of each endpoint as this node sees
// it. Package trans/serve uses it; package topol is its counterpart for
// trans/gate.
package table

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Table is a compiled configuration version. It is immutable except for its
// endpoints, which it may share with the tables of other versions.
type Table struct {
	Version   ident.Version
	Document  *confg.Document
	Endpoints map[ident.EndpointName]*Endpoint

	keys   map[[sha256.Size]byte]keyOwner
	routes []*Route
	models map[ident.ModelName][]*Endpoint
}

type keyOwner struct {
	digest    [sha256.Size]byte
	workspace ident.WorkspaceName
}

// Route is a compiled route.
type Route struct {
	Name ident.RouteName
	confg.Route
	// Targets are the endpoints of a route of class confg.Plain.
	Targets []*Endpoint
}

// New compiles a document. It takes over the state of endpoints from the old
// table, which may be nil.
func New(v ident.Version, d *confg.Document, old *Table) *Table {
	t := &Table{
		Version:   v,
		Document:  d,
		Endpoints: map[ident.EndpointName]*Endpoint{},
		keys:      map[[sha256.Size]byte]keyOwner{},
		models:    map[ident.ModelName][]*Endpoint{},
	}
	t.compileEndpoints(old)
	t.compileKeys()
	t.compileRoutes()
	return t
}

func (t *Table) compileEndpoints(old *Table) {
	for _, n := range ident.SortedKeys(t.Document.Endpoints) {
		c := t.Document.Endpoints[n]
		e := reuseEndpoint(old, n, c.Address)
		e.config.Store(&c)
		t.Endpoints[n] = e
		for _, m := range c.Models {
			t.models[m] = append(t.models[m], e)
		}
	}
}

// reuseEndpoint returns the endpoint of the old table, or a new one if there is
// none or its address changed.
func reuseEndpoint(old *Table, n ident.EndpointName, addr string) *Endpoint {
	if old != nil {
		if e, ok := old.Endpoints[n]; ok && e.Config().Address == addr {
			return e
		}
	}
	return &Endpoint{Name: n}
}

func (t *Table) compileKeys() {
	for n, w := range t.Document.Workspaces {
		for _, k := range w.Keys {
			var d [sha256.Size]byte
			hex.Decode(d[:], []byte(k))
			t.keys[d] = keyOwner{d, n}
		}
	}
}

func (t *Table) compileRoutes() {
	for _, n := range ident.SortedKeys(t.Document.Routes) {
		r := &Route{Name: n, Route: t.Document.Routes[n]}
		for _, e := range r.Endpoints {
			r.Targets = append(r.Targets, t.Endpoints[e])
		}
		t.routes = append(t.routes, r)
	}
	slices.SortStableFunc(t.routes, compareSpecificity)
}

// compareSpecificity compares two routes for sorting: one with a host sorts
// before one for any host, then a longer path prefix before a shorter one, then
// one with a list of methods before one for all methods.
func compareSpecificity(a, b *Route) int {
	if (a.Host == "") != (b.Host == "") {
		return trueFirst(b.Host == "", a.Host == "")
	}
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(b.PathPrefix) - len(a.PathPrefix)
	}
	return trueFirst(len(b.Methods) == 0, len(a.Methods) == 0)
}

// trueFirst compares two booleans so that true sorts before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// Workspace returns the workspace that a caller's key belongs to.
func (t *Table) Workspace(key string) (ident.WorkspaceName, bool) {
	d := sha256.Sum256([]byte(key))
	o, ok := t.keys[d]
	same := subtle.ConstantTimeCompare(d[:], o.digest[:]) == 1
	return o.workspace, ok && same
}

// Match returns the most specific routes that match a request. The host must be
// in lower case and without a port. The routes all have equal hosts and path
// prefixes; several match only if they offer different models, since confg
// rejects other overlaps.
func (t *Table) Match(host, method, path string) []*Route {
	var rs []*Route
	for _, r := range t.routes {
		if !r.matches(host, method, path) {
			continue
		}
		if len(rs) > 0 && compareSpecificity(rs[0], r) != 0 {
			break
		}
		rs = append(rs, r)
	}
	return rs
}

func (r *Route) matches(host, method, path string) bool {
	if r.Host != "" && r.Host != host {
		return false
	}
	if !underPrefix(path, r.PathPrefix) {
		return false
	}
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// underPrefix reports whether a path equals a prefix or continues it at a
// boundary of path segments.
func underPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// Models returns the models that engines are configured for, sorted by name.
func (t *Table) Models() []ident.ModelName { return ident.SortedKeys(t.models) }

// Engines returns the engines configured for a model, sorted by name.
func (t *Table) Engines(m ident.ModelName) []*Endpoint { return t.models[m] }
