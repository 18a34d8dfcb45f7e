package confg

import (
	"bytes"
	"encoding/json"
	"errors"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// ErrPatch means that a patch is not a JSON object.
var ErrPatch = errors.New("patch must be one JSON object")

// Merge applies a JSON merge patch to a document.
func Merge(doc, patch []byte) ([]byte, error) {
	if err := CheckPatch(patch); err != nil {
		return nil, err
	}
	return jsonpatch.MergePatch(doc, patch)
}

// CheckPatch returns ErrPatch unless the patch is a single JSON object.
func CheckPatch(patch []byte) error {
	p := bytes.TrimSpace(patch)
	if !json.Valid(p) || len(p) == 0 || p[0] != '{' {
		return ErrPatch
	}
	return nil
}
