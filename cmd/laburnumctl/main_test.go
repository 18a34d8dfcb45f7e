package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"gonum.org/v1/plot/plotter"

	"laburnumstack.org/laburnum/internal/lab/fleet"
	"laburnumstack.org/laburnum/internal/lab/logsrv"
	"laburnumstack.org/laburnum/internal/state/ledgr"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

// startFleet runs an example fleet until the test ends.
func startFleet(t *testing.T) *fleet.Fleet {
	plan, err := fleet.PlanOf("grozs")
	must.NoError(t, err)
	f := &fleet.Fleet{Plan: plan, Seed: 1, Logger: zerolog.Nop()}
	must.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() { test.NoError(t, f.Stop()) })
	return f
}

// writeFile writes text to a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	p := filepath.Join(t.TempDir(), "patch.json")
	must.NoError(t, os.WriteFile(p, []byte(text), 0o600))
	return p
}

func TestExitCodes(t *testing.T) {
	f := startFleet(t)
	empty := writeFile(t, `{}`)
	globalArgs := []string{"--admin", "127.0.0.1:1", "--admin", f.AdminAddrs()[0], "--token", f.AdminToken}
	cases := []struct {
		name string
		args []string
		code int
	}{
		{"accepted", []string{"config", "patch", "--base", "1", empty}, 0},
		{"stale", []string{"config", "patch", "--base", "1", empty}, 3},
		{"refused", []string{"config", "patch", "--base", "2", writeFile(t, `{"Limits":{"MaxStrikes":99}}`)}, 4},
		{"unknown field", []string{"config", "patch", "--base", "2", writeFile(t, `{"Foo":1}`)}, 4},
		{"not an object", []string{"config", "patch", "--base", "2", writeFile(t, `[]`)}, 4},
		{"no file", []string{"config", "patch", "--base", "2", "/nowhere"}, 2},
		{"no base", []string{"config", "patch", empty}, 2},
		{"check of a good patch", []string{"config", "check", "--patch", empty}, 0},
		{"check of a bad patch", []string{"config", "check", "--patch", writeFile(t, `{"Foo":1}`)}, 2},
		{"check of a patch that is none", []string{"config", "check", "--patch", writeFile(t, `[]`)}, 2},
		{"check of a patch with a warning", []string{"config", "check", "--patch", writeFile(t, `{"Workspaces":{"x":{}}}`)}, 1},
		{"check of a document", []string{"config", "check", "../../examples/grozs.json"}, 0},
		{"check of a document alone", []string{"config", "check", "--whole", "../../examples/grozs.json"}, 0},
		{"check of a document with a warning", []string{"config", "check", writeFile(t, `{"Workspaces":{"x":{}}}`)}, 1},
		{"check of a bad document", []string{"config", "check", writeFile(t, `{"Foo":1}`)}, 2},
		{"check of no JSON", []string{"config", "check", writeFile(t, `{`)}, 2},
		{"check of no file", []string{"config", "check", "/nowhere"}, 3},
		{"check with a wrong token", []string{"config", "check", "../../examples/grozs.json", "--token", "wrong"}, 3},
		{"check of a patch with a wrong token", []string{"config", "check", "--patch", empty, "--token", "wrong"}, 3},
		{"check alone needs no token", []string{"config", "check", "--whole", "../../examples/grozs.json", "--token", "wrong"}, 0},
		{"check as both", []string{"config", "check", "--whole", "--patch", empty}, 2},
		{"verdict of an unknown patch", []string{"config", "verdict", "none"}, 5},
		{"show", []string{"config", "show", "--json"}, 0},
		{"history", []string{"config", "history"}, 0},
		{"nodes", []string{"nodes"}, 0},
		{"endpoints", []string{"endpoints"}, 0},
		{"timeline", []string{"timeline"}, 0},
		{"explain of an unknown request", []string{"explain", "none"}, 1},
		{"usage", []string{"usage", "--csv"}, 0},
		{"unknown command", []string{"nods"}, 2},
		{"unknown option", []string{"nodes", "--jason"}, 2},
		{"unexpected argument", []string{"nodes", "more"}, 2},
		{"wrong token", []string{"nodes", "--token", "wrong"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			opts = globalOptions{}
			test.Eq(t, c.code, commands.Run(append(globalArgs, c.args...)))
		})
	}
}

func TestPlotUsage(t *testing.T) {
	at := time.Date(2026, 1, 1, 10, 0, 0, 0, time.UTC)
	path := filepath.Join(t.TempDir(), "usage.svg")
	row := func(w ident.WorkspaceName, hour int, s float64) admin.UsageRow {
		return admin.UsageRow{
			Account: ledgr.Account{Workspace: w, Hour: at.Add(time.Duration(hour) * time.Hour)},
			Sum:     ledgr.Sum{EndpointSeconds: s},
		}
	}
	rows := []admin.UsageRow{row("a", 0, 5), row("b", 0, 2), row("a", 1, 7), row("a", 1, 1)}
	hours, sums := sumByHour(rows)
	test.Eq(t, []string{"01-01 10h", "01-01 11h"}, hours)
	test.Eq(t, plotter.Values{5, 8}, sums["a"])
	test.Eq(t, plotter.Values{2, 0}, sums["b"])
	must.NoError(t, plotUsage(path, rows))
	test.FileExists(t, path)
	test.ErrorIs(t, plotUsage(path, nil), errNoUsage)
}

func TestPatchDuringLogOutageHasNoVerdict(t *testing.T) {
	f := startFleet(t)
	f.Log.Inject(logsrv.Faults{OutageMillis: int(time.Minute.Milliseconds())})
	opts = globalOptions{}
	code := commands.Run([]string{"--admin", f.AdminAddrs()[0], "--token", f.AdminToken, "config", "patch", "--base", "1", writeFile(t, `{}`)})
	test.Eq(t, exitNoVerdict, code)
}

func TestExitFailedIfNoNodeAnswers(t *testing.T) {
	opts = globalOptions{}
	test.Eq(t, 1, commands.Run([]string{"--admin", "127.0.0.1:1", "nodes"}))
}

// Guards against a check without a named node that calls one, and against a node that can't be
// read and counts as no difference.
func TestConfigCheckReadsOnlyNamedNodes(t *testing.T) {
	t.Setenv("LABURNUM_ADMIN", "") // names no node
	cases := []struct {
		args []string
		code int
	}{
		{nil, 0},
		{[]string{"--admin", "127.0.0.1:1"}, exitUnreadable},
		{[]string{"--admin", "127.0.0.1:1", "--whole"}, 0},
		{[]string{"--admin", "127.0.0.1:1", "--patch"}, exitUnreadable},
	}
	for _, c := range cases {
		opts = globalOptions{}
		test.Eq(t, c.code, commands.Run(append([]string{"config", "check", "../../examples/grozs.json"}, c.args...)), test.Sprint(c.args))
	}
}

// Guards against a check that changes the configuration or its history, and against one
// without the differences.
func TestConfigCheckWritesNothing(t *testing.T) {
	f := startFleet(t)
	cl := &admin.Client{Address: f.AdminAddrs()[0], Token: f.AdminToken, Timeout: callTimeout}
	inForce := func() (admin.Config, int) {
		v, err := cl.Config()
		must.NoError(t, err)
		h, err := cl.History()
		must.NoError(t, err)
		return v, len(h)
	}
	before, patches := inForce()
	patch := writeFile(t, `{"Limits":{"MaxStrikes":4}}`)
	for _, args := range [][]string{{"--patch", patch}, {"../../examples/duct.json"}, {patch}} {
		opts = globalOptions{}
		commands.Run(append([]string{"--admin", cl.Address, "--token", f.AdminToken, "--json", "config", "check"}, args...))
	}
	after, patchesAfter := inForce()
	test.Eq(t, before.Version, after.Version)
	test.Eq(t, string(before.Document), string(after.Document))
	test.Eq(t, patches, patchesAfter)

	opts = globalOptions{Admins: []string{cl.Address}, Token: f.AdminToken}
	raw, err := os.ReadFile(patch)
	must.NoError(t, err)
	r, err := checkPatch(raw)
	must.NoError(t, err)
	must.NotNil(t, r.Version)
	test.Eq(t, before.Version, *r.Version)
	must.SliceLen(t, 1, r.Differences)
	test.Eq(t, "Limits.MaxStrikes 3 4", fmt.Sprintf("%s %s %s", r.Differences[0].Path, r.Differences[0].Old, r.Differences[0].New))
}
