package confg

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"laburnumstack.org/laburnum/pkg/ident"
)

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// checkTypes returns a problem for each unknown field and each value of a wrong
// type in a decoded document. Field names are case-sensitive.
func checkTypes(tree any) Problems {
	return checkValue("", tree, reflect.TypeFor[Document]())
}

// checkValue checks a decoded value, and all values inside it, against the Go
// type that it is to be decoded into.
func checkValue(path string, v any, t reflect.Type) Problems {
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		return checkLeaf(path, v, t)
	}
	switch t.Kind() {
	case reflect.Struct:
		return checkStruct(path, v, t)
	case reflect.Map:
		return checkMap(path, v, t)
	case reflect.Slice:
		return checkSlice(path, v, t)
	default:
		return checkLeaf(path, v, t)
	}
}

func checkStruct(path string, v any, t reflect.Type) Problems {
	m, ok := v.(map[string]any)
	if !ok {
		return Problems{{path, "must be an object"}}
	}
	var ps Problems
	for _, k := range ident.SortedKeys(m) {
		f, ok := t.FieldByName(k)
		if !ok {
			ps = append(ps, Problem{appendPath(path, k), "unknown field" + suggestField(k, t)})
			continue
		}
		ps = append(ps, checkValue(appendPath(path, k), m[k], f.Type)...)
	}
	return ps
}

func checkMap(path string, v any, t reflect.Type) Problems {
	m, ok := v.(map[string]any)
	if !ok {
		return Problems{{path, "must be an object of entries by name"}}
	}
	var ps Problems
	for _, k := range ident.SortedKeys(m) {
		ps = append(ps, checkValue(appendPath(path, k), m[k], t.Elem())...)
	}
	return ps
}

func checkSlice(path string, v any, t reflect.Type) Problems {
	vs, ok := v.([]any)
	if !ok {
		return Problems{{path, "must be a list"}}
	}
	var ps Problems
	for i, e := range vs {
		ps = append(ps, checkValue(fmt.Sprintf("%s[%d]", path, i), e, t.Elem())...)
	}
	return ps
}

// checkLeaf checks a value by decoding it into its type.
func checkLeaf(path string, v any, t reflect.Type) Problems {
	if v == nil {
		return Problems{{path, "must not be null"}}
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return Problems{{path, err.Error()}}
	}
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		return Problems{{path, fmt.Sprintf("wrong value %s: %s", raw, trimJSONPrefix(err))}}
	}
	return nil
}

// trimJSONPrefix returns the text of an error without the prefix that
// encoding/json adds to it.
func trimJSONPrefix(err error) string {
	return strings.TrimPrefix(err.Error(), "json: ")
}

// suggestField returns a hint at the field whose name differs from k only in the
// case of letters, or an empty string if there is none.
func suggestField(k string, t reflect.Type) string {
	for i := range t.NumField() {
		if n := t.Field(i).Name; strings.EqualFold(n, k) {
			return ", did you mean " + n + "?"
		}
	}
	return ""
}

// appendPath appends an element to a path, which may be empty.
func appendPath(path, elem string) string {
	if path == "" {
		return elem
	}
	return joinPath(path, elem)
}
