// Package layers_test holds the direction of imports between the layers.
package layers_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const module = "laburnumstack.org/laburnum/"

// layers are in the order a request meets them; imports point only downwards.
var layers = []string{"cmd", "platform", "internal/lab", "internal/node", "internal/trans", "internal/proto", "internal/coord", "internal/state"}

// bottom packages are imported from everywhere and import only each other.
var bottom = []string{"pkg/ident", "pkg/confg"}

func layerOf(path string) int {
	if slices.Contains(bottom, path) {
		return len(layers)
	}
	return slices.IndexFunc(layers, func(l string) bool { return strings.HasPrefix(path, l+"/") || path == l })
}

func TestImportsPointDownwards(t *testing.T) {
	root, err := filepath.Abs("../..")
	must.NoError(t, err)
	seen := 0
	err = filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		must.NoError(t, err)
		rel, _ := filepath.Rel(root, filepath.Dir(path))
		from := layerOf(rel)
		if from < 0 {
			return nil
		}
		for _, i := range file.Imports {
			to, ok := strings.CutPrefix(strings.Trim(i.Path.Value, `"`), module)
			if !ok || layerOf(to) < 0 {
				continue
			}
			seen++
			test.GreaterEq(t, from, layerOf(to), test.Sprintf("%s imports %s", rel, to))
			if strings.HasPrefix(rel, "internal/state/") {
				test.False(t, strings.HasPrefix(to, "internal/") && layerOf(to) < layerOf("internal/state"), test.Sprintf("%s imports %s", rel, to))
			}
		}
		return nil
	})
	must.NoError(t, err)
	test.Positive(t, seen)
}

// platformNames are names that only the package platform may know.
var platformNames = regexp.MustCompile(`(?i)laburnumstack-[a-z]+-|/laburnumstack/|laburnumstack_boot|"keyed\.|hold_ms|fencing_token|revoke_ms|path_prefix`)

func TestPlatformNamesStayInItsFolder(t *testing.T) {
	root, err := filepath.Abs("../..")
	must.NoError(t, err)
	seen := 0
	err = filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "layers_test.go") {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		raw, err := os.ReadFile(path)
		must.NoError(t, err)
		found := platformNames.FindString(string(raw))
		if strings.HasPrefix(rel, "platform"+string(filepath.Separator)) {
			seen += len(found)
			return nil
		}
		test.Eq(t, "", found, test.Sprint(rel))
		return nil
	})
	must.NoError(t, err)
	test.Positive(t, seen)
}
