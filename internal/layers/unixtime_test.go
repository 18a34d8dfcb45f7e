package layers_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// unixTimeUse is a function that may use Unix time, and why it may.
type unixTimeUse struct {
	// file is relative to the module's root. function is the function or, for a variable
	// of a package, the variable.
	file, function, reason string
}

// unixTimeUses lists the functions that may use Unix time. They keep no order and measure
// no time with it.
var unixTimeUses = []unixTimeUse{
	{"internal/node/node.go", "build", "identifies a run of the node"},
	{"internal/trans/gate/server.go", "Run", "identifies a run of the node"},
	{"internal/trans/share/mesh.go", "Init", "identifies a run of the node"},
	{"internal/proto/chat/reply.go", "newCompletion", "stamp in an answer"},
	{"internal/state/trace/clock.go", "Time", "stamp of an event"},
	{"internal/state/trace/clock.go", "Now", "stamp of an event"},
	{"internal/trans/conns/deadline.go", "Expired", "deadline in the past"},
	{"internal/lab/soak/stated.go", "*", "identifies a run of a stand-in"},
	{"internal/lab/soak/endpoints.go", "*", "identifies a run of a stand-in"},
	{"internal/lab/exper/simulator.go", "*", "origin of a simulated clock"},
	{"internal/lab/passes/passes.go", "*", "origin of a simulated clock"},
}

// unixTimeNames are the functions and methods of package time that convert a time to or
// from a number.
var unixTimeNames = []string{"Unix", "UnixNano", "UnixMicro", "UnixMilli"}

// usesUnixTime reports whether an expression converts a time to or from a number, or drops a
// time's monotonic reading.
func usesUnixTime(n ast.Node) bool {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return false
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	for _, name := range unixTimeNames {
		if selector.Sel.Name == name {
			return true
		}
	}
	if selector.Sel.Name != "Round" || len(call.Args) != 1 {
		return false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	return ok && literal.Value == "0"
}

// declaredNames returns the name of a declared function, or those of declared variables.
func declaredNames(d ast.Decl) []string {
	switch d := d.(type) {
	case *ast.FuncDecl:
		return []string{d.Name.Name}
	case *ast.GenDecl:
		var names []string
		for _, s := range d.Specs {
			if v, ok := s.(*ast.ValueSpec); ok {
				for _, n := range v.Names {
					names = append(names, n.Name)
				}
			}
		}
		return names
	}
	return nil
}

// Guards against durations and orders that are taken from the time of day, which may jump: a
// time made from a number has no monotonic reading.
func TestUnixTimesOrderNothing(t *testing.T) {
	root, err := filepath.Abs("../..")
	must.NoError(t, err)
	allowed := func(file string, names []string) bool {
		for i := range unixTimeUses {
			u := &unixTimeUses[i]
			for _, n := range names {
				if u.file == file && (u.function == n || u.function == "*") {
					return true
				}
			}
		}
		return false
	}
	found := 0
	check := func(file string, d ast.Decl, files *token.FileSet) {
		ast.Inspect(d, func(n ast.Node) bool {
			if n == nil || !usesUnixTime(n) {
				return true
			}
			found++
			names := declaredNames(d)
			test.True(t, allowed(file, names), test.Sprintf("%s in %s uses Unix time; use time.Time or clock.Moment", files.Position(n.Pos()), strings.Join(names, ", ")))
			return true
		})
	}
	for _, top := range []string{"cmd", "internal", "pkg", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			parsed, err := parser.ParseFile(files, path, nil, 0)
			must.NoError(t, err)
			rel, _ := filepath.Rel(root, path)
			for _, d := range parsed.Decls {
				check(rel, d, files)
			}
			return nil
		})
		must.NoError(t, err)
	}
	test.Positive(t, found)
}
