// Package check finds errors in a configuration document, entries without effect and
// limits that contradict each other, and the differences between two documents. It reads
// and writes nothing.
package check

import (
	"slices"

	"laburnumstack.org/laburnum/pkg/confg"
)

// Level is how bad a finding is.
type Level string

// Levels of findings.
const (
	// Error means that nodes reject the document.
	Error Level = "error"
	// Warning means that nodes accept the document, but a part of it has no effect or
	// contradicts another one.
	Warning Level = "warning"
)

// Kind is what a finding is about.
type Kind string

// Kinds of findings.
const (
	// Invalid values are errors of package confg.
	Invalid Kind = "invalid"
	// HiddenRoute is a route that no request matches.
	HiddenRoute Kind = "hidden-route"
	// NoKeys is a workspace that no caller can use.
	NoKeys Kind = "no-keys"
	// Unused is an endpoint, or a model of engines, that no route uses.
	Unused Kind = "unused"
	// Limits are limits that contradict each other.
	Limits Kind = "limits"
)

// Finding is one result of a check.
type Finding struct {
	Level Level
	Kind  Kind
	// Path is the path of the field as in confg.Problem.
	Path string
	Why  string
}

// Findings are the results of a check, errors first.
type Findings []Finding

// Has reports whether there is a finding of a level.
func (fs Findings) Has(l Level) bool {
	return slices.ContainsFunc(fs, func(f Finding) bool { return f.Level == l })
}

// Errors returns problems of a document or a patch as findings.
func Errors(ps confg.Problems) Findings {
	var fs Findings
	for _, p := range ps {
		fs = append(fs, Finding{Error, Invalid, p.Path, p.Why})
	}
	return fs
}

// Raw decodes and checks a document. The document is nil if there are errors.
func Raw(raw []byte) (*confg.Document, Findings) {
	d, ps := confg.Parse(raw)
	if len(ps) > 0 {
		return nil, Errors(ps)
	}
	return d, Document(d)
}

// Document checks a valid document with its defaults.
func Document(d *confg.Document) Findings {
	return slices.Concat(hiddenRoutes(d), withoutKeys(d), unusedEndpoints(d), contradictions(d))
}

func warn(k Kind, path, why string) Finding { return Finding{Warning, k, path, why} }
