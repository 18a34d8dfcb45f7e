package confg

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"laburnumstack.org/laburnum/pkg/ident"
)

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// checkShape reports unknown fields and values of a wrong type, each with the
// path of its field. Names match exactly.
func checkShape(tree any) Problems {
	return shapeOf("", tree, reflect.TypeFor[Document]())
}

func shapeOf(path string, v any, t reflect.Type) Problems {
	if reflect.PointerTo(t).Implements(unmarshaler) {
		return leafShape(path, v, t)
	}
	switch t.Kind() {
	case reflect.Struct:
		return structShape(path, v, t)
	case reflect.Map:
		return mapShape(path, v, t)
	case reflect.Slice:
		return sliceShape(path, v, t)
	default:
		return leafShape(path, v, t)
	}
}

func structShape(path string, v any, t reflect.Type) Problems {
	m, ok := v.(map[string]any)
	if !ok {
		return Problems{{path, "must be an object"}}
	}
	var ps Problems
	for _, k := range ident.SortedKeys(m) {
		f, ok := t.FieldByName(k)
		if !ok {
			ps = append(ps, Problem{joinPath(path, k), "unknown field" + suggest(k, t)})
			continue
		}
		ps = append(ps, shapeOf(joinPath(path, k), m[k], f.Type)...)
	}
	return ps
}

func mapShape(path string, v any, t reflect.Type) Problems {
	m, ok := v.(map[string]any)
	if !ok {
		return Problems{{path, "must be an object of entries by name"}}
	}
	var ps Problems
	for _, k := range ident.SortedKeys(m) {
		ps = append(ps, shapeOf(joinPath(path, k), m[k], t.Elem())...)
	}
	return ps
}

func sliceShape(path string, v any, t reflect.Type) Problems {
	vs, ok := v.([]any)
	if !ok {
		return Problems{{path, "must be a list"}}
	}
	var ps Problems
	for i, e := range vs {
		ps = append(ps, shapeOf(fmt.Sprintf("%s[%d]", path, i), e, t.Elem())...)
	}
	return ps
}

func leafShape(path string, v any, t reflect.Type) Problems {
	if v == nil {
		return Problems{{path, "must not be null"}}
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return Problems{{path, err.Error()}}
	}
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		return Problems{{path, fmt.Sprintf("wrong value %s: %s", raw, plainCause(err))}}
	}
	return nil
}

// plainCause drops the prefix that encoding/json puts before its errors.
func plainCause(err error) string {
	return strings.TrimPrefix(err.Error(), "json: ")
}

// suggest names the field that differs from k only in the case of letters.
func suggest(k string, t reflect.Type) string {
	for i := range t.NumField() {
		if n := t.Field(i).Name; strings.EqualFold(n, k) {
			return ", did you mean " + n + "?"
		}
	}
	return ""
}

func joinPath(path, step string) string {
	if path == "" {
		return step
	}
	return pathOf(path, step)
}
