// Package confg defines the configuration document, its strict decoding, default
// values and validation, and the merging of patches.
package confg

import (
	"bytes"
	"encoding/json"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Document is a complete configuration. Its sections are maps by name, so that a
// JSON merge patch can change a single entry.
type Document struct {
	Workspaces map[ident.WorkspaceName]Workspace `json:",omitempty"`
	Routes     map[ident.RouteName]Route         `json:",omitempty"`
	Endpoints  map[ident.EndpointName]Endpoint   `json:",omitempty"`
	Limits     Limits                            `json:",omitzero"`
}

// Parse decodes raw strictly, fills in default values and validates the result.
// The document is nil if there are problems.
func Parse(raw []byte) (*Document, Problems) {
	var tree any
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		return nil, Problems{{Path: "", Why: "not valid JSON: " + err.Error()}}
	}
	if dec.More() {
		return nil, Problems{{Path: "", Why: "more than one JSON value"}}
	}
	if ps := checkTypes(tree); len(ps) > 0 {
		return nil, ps
	}
	var d Document
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, Problems{{Path: "", Why: err.Error()}}
	}
	d.fillDefaults()
	if ps := d.validate(); len(ps) > 0 {
		return nil, ps
	}
	return &d, nil
}

// fillDefaults replaces absent values of all sections by their defaults.
func (d *Document) fillDefaults() {
	for k, w := range d.Workspaces {
		w.fillDefaults()
		d.Workspaces[k] = w
	}
	for k, r := range d.Routes {
		r.fillDefaults()
		d.Routes[k] = r
	}
	for k, e := range d.Endpoints {
		e.fillDefaults()
		d.Endpoints[k] = e
	}
	d.Limits.fillDefaults()
}

// validate checks every section and the references between them.
func (d *Document) validate() Problems {
	var ps Problems
	for _, k := range ident.SortedKeys(d.Workspaces) {
		ps = append(ps, d.Workspaces[k].validate(joinPath("Workspaces", string(k)))...)
	}
	for _, k := range ident.SortedKeys(d.Endpoints) {
		ps = append(ps, d.Endpoints[k].validate(joinPath("Endpoints", string(k)))...)
	}
	for _, k := range ident.SortedKeys(d.Routes) {
		ps = append(ps, d.Routes[k].validate(joinPath("Routes", string(k)), d)...)
	}
	ps = append(ps, d.Limits.validate("Limits")...)
	ps = append(ps, d.checkKeys()...)
	ps = append(ps, d.checkOverlaps()...)
	return ps
}
