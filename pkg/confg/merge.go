package confg

import (
	"bytes"
	"encoding/json"
	"errors"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Errors of patches.
var (
	// ErrPatch means that a patch is not a JSON object.
	ErrPatch = errors.New("patch must be one JSON object")
	// ErrNested means that a patch is nested too deeply.
	ErrNested = errors.New("patch is nested too deeply")
)

// maxPatchDepth bounds the nesting of a patch, since the time to merge it grows with the
// square of that. Documents are nested far less.
const maxPatchDepth = 32

// Merge applies a JSON merge patch to a document.
func Merge(doc, patch []byte) ([]byte, error) {
	if err := CheckPatch(patch); err != nil {
		return nil, err
	}
	return jsonpatch.MergePatch(doc, patch)
}

// CheckPatch returns ErrPatch unless the patch is a single JSON object, and ErrNested if it
// is nested too deeply.
func CheckPatch(patch []byte) error {
	p := bytes.TrimSpace(patch)
	if !json.Valid(p) || len(p) == 0 || p[0] != '{' {
		return ErrPatch
	}
	if depth(p) > maxPatchDepth {
		return ErrNested
	}
	return nil
}

// depth returns how deeply valid JSON is nested.
func depth(raw []byte) int {
	level, deepest := 0, 0
	inString := false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case c == '"':
			inString = !inString
		case inString && c == '\\':
			i++
		case inString:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}
