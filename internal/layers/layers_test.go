// Package layers_test checks that packages import only packages of the same or
// a lower layer, and that the platform's names occur only in the directory
// platform.
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

// layers lists the directories of the layers from the highest to the lowest. A
// package may import packages of its own and of later layers.
var layers = []string{"cmd", "platform", "internal/lab", "internal/node", "internal/trans", "internal/proto", "internal/coord", "internal/state"}

// basePackages lists the packages below all layers. All layers may import
// them, and they may not import any layer. Packages in neither list, such as
// pkg/admin, aren't checked.
var basePackages = []string{"pkg/ident", "pkg/confg", "pkg/check"}

// layerOf returns the index of a package's layer, len(layers) for a package in
// basePackages, and -1 for a package that belongs to none.
func layerOf(path string) int {
	if slices.Contains(basePackages, path) {
		return len(layers)
	}
	return slices.IndexFunc(layers, func(l string) bool { return strings.HasPrefix(path, l+"/") || path == l })
}

func TestNoImportsOfHigherLayers(t *testing.T) {
	root, err := filepath.Abs("../..")
	must.NoError(t, err)
	checked := 0
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
			checked++
			test.GreaterEq(t, from, layerOf(to), test.Sprintf("%s imports %s", rel, to))
			if strings.HasPrefix(rel, "internal/state/") {
				test.False(t, strings.HasPrefix(to, "internal/") && layerOf(to) < layerOf("internal/state"), test.Sprintf("%s imports %s", rel, to))
			}
		}
		return nil
	})
	must.NoError(t, err)
	test.Positive(t, checked)
}

// buildOutput is the directory that holds the platform's builds, and with them the sources of
// the version in production.
const buildOutput = "target"

// platformNames matches names of the platform's interfaces, which may occur only
// in the directory platform.
var platformNames = regexp.MustCompile(`(?i)laburnumstack-[a-z]+-|/laburnumstack/|laburnumstack_boot|"keyed\.|hold_ms|fencing_token|revoke_ms|path_prefix`)

func TestPlatformNamesOccurOnlyInPlatform(t *testing.T) {
	root, err := filepath.Abs("../..")
	must.NoError(t, err)
	matched := 0
	err = filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err == nil && d.IsDir() && path == filepath.Join(root, buildOutput) {
			return filepath.SkipDir
		}
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "layers_test.go") {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		raw, err := os.ReadFile(path)
		must.NoError(t, err)
		found := platformNames.FindString(string(raw))
		if strings.HasPrefix(rel, "platform"+string(filepath.Separator)) {
			matched += len(found)
			return nil
		}
		test.Eq(t, "", found, test.Sprint(rel))
		return nil
	})
	must.NoError(t, err)
	test.Positive(t, matched)
}
