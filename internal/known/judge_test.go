package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestOnlyKnownFailuresArePassedOver guards against a run that passes although
// something failed that KNOWN-RED.txt does not name, on recorded outputs of
// `go test -json`.
func TestOnlyKnownFailuresArePassedOver(t *testing.T) {
	cases := []struct {
		file       string
		known      []string
		unexpected []string
	}{
		{"good", nil, nil},
		{"plain", []string{"rec/plain TestRed"}, nil},
		{"two", []string{"rec/two TestRed"}, []string{"rec/two TestOther"}},
		{"prints", []string{"rec/prints TestRed"}, []string{"rec/prints TestOther"}},
		{"panics", nil, []string{"rec/panics (panic: here [recovered, repanicked])"}},
		{"race", nil, []string{"rec/race (WARNING: DATA RACE)"}},
		{"timeo", nil, []string{"rec/timeo (panic: test timed out after 1s)"}},
		{"builds", nil, []string{"rec/builds (FAIL\trec/builds [build failed])"}},
		{"exits", nil, []string{"rec/exits (failed outside its tests)"}},
		{"early", nil, []string{"rec/early (failed outside its tests)"}},
		{"cut", nil, []string{"rec/plain (did not end)"}},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			raw, err := os.ReadFile("testdata/" + c.file + ".json")
			must.NoError(t, err)
			known := []string{"  rec/" + c.file + " TestOther", "rec/" + c.file + " TestRed", "rec/other TestOther"}
			var out bytes.Buffer
			v, err := judge(bytes.NewReader(raw), &out, known, false)
			must.NoError(t, err)
			test.Eq(t, c.known, v.known)
			test.Eq(t, c.unexpected, v.unexpected)
		})
	}
}

// TestOutputWithoutJSONIsNotPassedOver guards against a go command that ends
// with a message of its own.
func TestOutputWithoutJSONIsNotPassedOver(t *testing.T) {
	var out bytes.Buffer
	v, err := judge(strings.NewReader("signal: killed"), &out, nil, false)
	must.NoError(t, err)
	test.Eq(t, []string{"- signal: killed"}, v.unexpected)
	test.Eq(t, "signal: killed", out.String())
}

// TestPrintsWhatGoTestPrints guards against hidden output of failed tests, and
// against the output of all that passed.
func TestPrintsWhatGoTestPrints(t *testing.T) {
	cases := []struct{ file, want string }{
		{"good", "ok  \trec/good\t0.002s\n"},
		{"builds", "# rec/builds [rec/builds.test]\nbuilds/a_test.go:5:30: undefined: undefined\nFAIL\trec/builds [build failed]\n"},
		{"two", "=== RUN   TestRed\n    a_test.go:5: wrong\n--- FAIL: TestRed (0.00s)\n=== RUN   TestOther\n    a_test.go:6: wrong\n--- FAIL: TestOther (0.00s)\nFAIL\nFAIL\trec/two\t0.002s\n"},
	}
	for _, c := range cases {
		raw, err := os.ReadFile("testdata/" + c.file + ".json")
		must.NoError(t, err)
		var out bytes.Buffer
		_, err = judge(bytes.NewReader(raw), &out, nil, false)
		must.NoError(t, err)
		test.Eq(t, c.want, out.String(), test.Sprint(c.file))
	}
}
