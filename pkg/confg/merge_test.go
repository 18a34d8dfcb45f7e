package confg

import (
	"strings"
	"testing"

	"github.com/shoenig/test"
)

// Guards against nodes that stop following the configuration for seconds: the time to merge
// a patch grew with the square of its depth, 5 s for one of 90 KB.
func TestDeepPatchesAreRefused(t *testing.T) {
	nested := func(open, inner, end string, n int) string {
		return `{"a":` + strings.Repeat(open, n) + inner + strings.Repeat(end, n) + `}`
	}
	for _, c := range []struct {
		patch string
		want  error
	}{
		{`{}`, nil},
		{nested(`{"a":`, `1`, `}`, maxPatchDepth-1), nil},
		{nested(`{"a":`, `1`, `}`, maxPatchDepth), ErrNested},
		{nested(`{"a":`, `null`, `}`, 9000), ErrNested},
		{nested(`[`, ``, `]`, maxPatchDepth), ErrNested},
		{nested(`[`, `"`+strings.Repeat(`[{`, 100)+`"`, `]`, 3), nil},
		{`{"a":"\\\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["}`, nil},
		{nested(`[`, ``, `]`, 100_000), ErrPatch},
		{`[]`, ErrPatch},
		{`null`, ErrPatch},
		{``, ErrPatch},
	} {
		_, err := Merge([]byte(`{}`), []byte(c.patch))
		test.ErrorIs(t, err, c.want, test.Sprint(c.patch[:min(len(c.patch), 60)]))
	}
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"Limits":{"MaxStrikes":4}}`), []byte(`{"Limits":null}`))
	f.Add([]byte(`{}`), []byte(`{"a":{"a":{"a":[null,{}]}}}`))
	f.Add([]byte(`{"a":[1]}`), []byte(`{"a":{"b":null}}`))
	f.Fuzz(func(t *testing.T, doc, patch []byte) {
		if _, ps := Parse(doc); len(ps) > 0 {
			return
		}
		merged, err := Merge(doc, patch)
		if err != nil {
			return
		}
		if d, ps := Parse(merged); len(ps) == 0 {
			test.NotNil(t, d)
		}
	})
}
