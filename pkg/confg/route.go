package confg

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Class determines how the requests of a route are served.
type Class string

// Classes of routes.
const (
	// Prompt is the class of routes whose requests are prompts for model engines.
	Prompt Class = "Prompt"
	// Plain is the class of routes whose requests are forwarded to HTTP services.
	Plain Class = "Plain"
)

const (
	minTimeLimit = 10 * time.Millisecond
	maxTimeLimit = time.Hour
)

// Route selects requests of callers and the endpoints that serve them.
type Route struct {
	// Host is the host name of the requests, without port; if it is empty, any
	// host matches.
	Host string `json:",omitempty"`
	// PathPrefix is the prefix of the requests' paths.
	PathPrefix string
	// Methods lists the HTTP methods of the requests; if it is empty, any method
	// matches.
	Methods []string `json:",omitempty"`
	// Class is Prompt or Plain.
	Class Class
	// Models lists the models that a Prompt route offers.
	Models []ident.ModelName `json:",omitempty"`
	// Endpoints lists the services that serve a Plain route.
	Endpoints []ident.EndpointName `json:",omitempty"`
	// Idempotent is set if a request may safely run twice. Requests to a Plain
	// route that is not idempotent must have an idempotency key.
	Idempotent bool `json:",omitempty"`
	// TimeLimit bounds the time from the arrival of a request to the last byte
	// of the response.
	TimeLimit Duration `json:",omitempty"`
}

func (r *Route) fillDefaults() {
	if r.TimeLimit == 0 && r.Class == Prompt {
		r.TimeLimit = Duration(60 * time.Second)
	}
	if r.TimeLimit == 0 {
		r.TimeLimit = Duration(5 * time.Second)
	}
	if r.Class == Prompt {
		r.Idempotent = true
	}
}

func (r Route) validate(path string, d *Document) Problems {
	var ps Problems
	if !strings.HasPrefix(r.PathPrefix, "/") {
		ps = append(ps, Problem{path + ".PathPrefix", "must start with /"})
	}
	if r.Host != strings.ToLower(r.Host) || strings.ContainsAny(r.Host, ":/ ") {
		ps = append(ps, Problem{path + ".Host", "must be a lower-case host name without port"})
	}
	for i, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) {
			ps = append(ps, Problem{fmt.Sprintf("%s.Methods[%d]", path, i), "must be a method in upper case"})
		}
	}
	if t := r.TimeLimit.Std(); t < minTimeLimit || t > maxTimeLimit {
		ps = append(ps, Problem{path + ".TimeLimit", fmt.Sprintf("must be from %s to %s", minTimeLimit, maxTimeLimit)})
	}
	switch r.Class {
	case Prompt:
		ps = append(ps, r.validatePrompt(path, d)...)
	case Plain:
		ps = append(ps, r.validatePlain(path, d)...)
	default:
		ps = append(ps, Problem{path + ".Class", "must be Prompt or Plain"})
	}
	return ps
}

func (r Route) validatePrompt(path string, d *Document) Problems {
	var ps Problems
	if len(r.Models) == 0 {
		ps = append(ps, Problem{path + ".Models", "must name at least one model"})
	}
	if len(r.Endpoints) > 0 {
		ps = append(ps, Problem{path + ".Endpoints", "must be empty for a Prompt route"})
	}
	for i, m := range r.Models {
		if !d.serves(m) {
			ps = append(ps, Problem{fmt.Sprintf("%s.Models[%d]", path, i), "no engine serves " + string(m)})
		}
	}
	return ps
}

func (r Route) validatePlain(path string, d *Document) Problems {
	var ps Problems
	if len(r.Endpoints) == 0 {
		ps = append(ps, Problem{path + ".Endpoints", "must name at least one endpoint"})
	}
	if len(r.Models) > 0 {
		ps = append(ps, Problem{path + ".Models", "must be empty for a Plain route"})
	}
	for i, n := range r.Endpoints {
		e, ok := d.Endpoints[n]
		if !ok {
			ps = append(ps, Problem{fmt.Sprintf("%s.Endpoints[%d]", path, i), "no endpoint " + string(n)})
		} else if e.Kind != Service {
			ps = append(ps, Problem{fmt.Sprintf("%s.Endpoints[%d]", path, i), string(n) + " is not a Service"})
		}
	}
	return ps
}

// serves reports whether an engine serves the model.
func (d *Document) serves(m ident.ModelName) bool {
	for _, e := range d.Endpoints {
		if e.Kind == Engine && slices.Contains(e.Models, m) {
			return true
		}
	}
	return false
}

// checkOverlaps returns a problem for each pair of routes that match the same
// requests with the same precedence.
func (d *Document) checkOverlaps() Problems {
	var ps Problems
	names := ident.SortedKeys(d.Routes)
	for i, a := range names {
		for _, b := range names[:i] {
			if overlap(d.Routes[a], d.Routes[b]) {
				ps = append(ps, Problem{joinPath("Routes", string(a)), "matches the same requests as route " + string(b)})
			}
		}
	}
	return ps
}

// overlap reports whether two routes match some request with the same
// precedence.
func overlap(a, b Route) bool {
	if a.Host != b.Host || a.PathPrefix != b.PathPrefix {
		return false
	}
	if !intersect(a.Methods, b.Methods) {
		return false
	}
	if a.Class == Prompt && b.Class == Prompt {
		return intersect(a.Models, b.Models)
	}
	return true
}

// intersect reports whether two lists have a value in common. An empty list
// counts as containing every value.
func intersect[T comparable](a, b []T) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(v T) bool { return slices.Contains(b, v) })
}
