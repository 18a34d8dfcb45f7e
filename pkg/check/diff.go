package check

import (
	"bytes"
	"encoding/json"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Difference is a value that differs between two documents. Lists are compared as a whole.
type Difference struct {
	// Path is the path of the value as in confg.Problem.
	Path string
	// Old and New are the JSON values; one of them is nil if the value was added or removed.
	Old, New json.RawMessage `json:",omitempty"`
}

// Diff returns the differences between two documents with their defaults, sorted by path. So
// a value that equals its default does not differ from an absent one.
func Diff(old, new *confg.Document) []Difference {
	return diff(nil, "", encode(old), encode(new))
}

// encode returns the JSON encoding of a value. Documents can always be encoded.
func encode(v any) json.RawMessage {
	raw, _ := json.Marshal(v)
	return raw
}

func diff(ds []Difference, path string, old, new json.RawMessage) []Difference {
	if bytes.Equal(old, new) {
		return ds
	}
	var a, b map[string]json.RawMessage
	if old == nil || new == nil || json.Unmarshal(old, &a) != nil || json.Unmarshal(new, &b) != nil {
		return append(ds, Difference{path, old, new})
	}
	isDocument := path == ""
	names := ident.SetOf[string]()
	for _, m := range []map[string]json.RawMessage{a, b} {
		for n := range m {
			names.Add(n)
		}
	}
	for _, n := range names.Sorted() {
		if isDocument {
			// An absent section is an empty one.
			ds = diff(ds, n, orEmpty(a[n]), orEmpty(b[n]))
			continue
		}
		ds = diff(ds, path+"."+n, a[n], b[n])
	}
	return ds
}

func orEmpty(section json.RawMessage) json.RawMessage {
	if section == nil {
		return json.RawMessage("{}")
	}
	return section
}
