package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// event is a line of `go test -json` (go doc test2json).
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// verdict lists what failed, each entry a package and a test.
type verdict struct {
	known      []string
	unexpected []string
}

// pack is what the events said of one package.
type pack struct {
	lines  []event
	passed map[string]bool
	failed []string
}

// faults matches output of failures that are never passed over.
var faults = regexp.MustCompile(`panic: |fatal error: |DATA RACE|build failed|setup failed|timed out`)

// judge reads the events of a run, prints them as go test does without -json,
// and compares the failures with the known ones.
func judge(in io.Reader, out io.Writer, known []string, verbose bool) (verdict, error) {
	var v verdict
	packs := map[string]*pack{}
	lines := bufio.NewReader(in)
	for {
		raw, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(raw) == 0 {
			break
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return v, errors.Trace(err)
		}
		var e event
		if json.Unmarshal(raw, &e) != nil {
			fmt.Fprintf(out, "%s", raw)
			v.unexpected = append(v.unexpected, "- "+strings.TrimSpace(string(raw)))
			continue
		}
		if verbose || e.Package == "" {
			fmt.Fprint(out, e.Output)
		}
		if e.Package == "" {
			continue
		}
		p := packs[e.Package]
		if p == nil {
			p = &pack{passed: map[string]bool{}}
			packs[e.Package] = p
		}
		if !p.add(e) {
			continue
		}
		if !verbose {
			p.print(out, e.Action)
		}
		if e.Action == "fail" {
			v.add(e.Package, p, known)
		}
		delete(packs, e.Package)
	}
	// The run was cut off before these packages ended.
	for name := range packs {
		v.unexpected = append(v.unexpected, name+" (did not end)")
	}
	return v, nil
}

// add notes an event and reports whether the package has ended.
func (p *pack) add(e event) bool {
	switch e.Action {
	case "output":
		p.lines = append(p.lines, e)
	case "pass", "skip":
		p.passed[e.Test] = true
		return e.Test == ""
	case "fail":
		// A failed subtest also fails its test.
		if e.Test != "" && !strings.Contains(e.Test, "/") {
			p.failed = append(p.failed, e.Test)
		}
		return e.Test == ""
	}
	return false
}

// print prints the package's line, after a failure also the output of all tests
// that did not pass.
func (p *pack) print(out io.Writer, action string) {
	for _, l := range p.lines {
		if action == "fail" && p.passed[l.Test] || action != "fail" && (l.Test != "" || l.Output == "PASS\n") {
			continue
		}
		fmt.Fprint(out, l.Output)
	}
}

// add adds the failures of a failed package.
func (v *verdict) add(name string, p *pack, known []string) {
	if why := p.fault(); why != "" {
		v.unexpected = append(v.unexpected, fmt.Sprintf("%s (%s)", name, why))
		return
	}
	for _, t := range p.failed {
		entry := name + " " + t
		if slices.Contains(known, entry) {
			v.known = append(v.known, entry)
			continue
		}
		v.unexpected = append(v.unexpected, entry)
	}
}

// fault returns why failed tests alone don't explain the failure of the package, and "" if they
// do.
func (p *pack) fault() string {
	for _, l := range p.lines {
		// Tests that pass may log such words, but none has a data race.
		if m := faults.FindString(l.Output); m != "" && (!p.passed[l.Test] || m == "DATA RACE") {
			return strings.TrimSpace(l.Output)
		}
	}
	// The line FAIL is printed after the last test. It is missing if the process
	// ended early or TestMain failed after the tests.
	if len(p.failed) == 0 || !slices.ContainsFunc(p.lines, func(l event) bool { return l.Test == "" && l.Output == "FAIL\n" }) {
		return "failed outside its tests"
	}
	return ""
}
