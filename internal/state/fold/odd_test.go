package fold

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// oddRecords are records of the configuration stream that another writer may have left.
var oddRecords = []string{
	"", "null", "[]", "{}", "{", "\x00\xff", "1e999", strings.Repeat("[", 200_000), strings.Repeat(`{"Patch":`, 20_000),
	`{"Patch":null,"Snapshot":null}`, `{"Patch":{}}`, `{"Patch":{"Base":-1}}`, `{"Patch":{"Merge":null}}`, `{"Patch":{"Merge":[]}}`,
	`{"Patch":{"ID":"p","Merge":{"Limits":null}}}`, `{"Patch":{"ID":"p","Merge":{"Limits":{"BodyBytes":1e30}}}}`,
	`{"Patch":{"ID":"p","Merge":{"Limits":{"KeyAge":"9999999h"}}}}`, `{"Patch":{"ID":"p","Merge":{"Limits":{"RetryPercent":9223372036854775807}}}}`,
	`{"Patch":{"ID":"p","Merge":{"Endpoints":{"e":{"Address":"10.0.0.1:+80","DataCentre":"a","Kind":"Service"}}}}}`,
	`{"Patch":{"ID":"p","Merge":{"a":` + strings.Repeat(`{"a":`, 5000) + `1` + strings.Repeat(`}`, 5000) + `}}}`,
	`{"Patch":{"ID":"p","Merge":{"Limits":{},"Limits":{"BodyBytes":-1}}}}`,
	`{"Snapshot":{}}`, `{"Snapshot":{"Version":18446744073709551615,"Next":9223372036854775807,"Document":{},"Digest":""}}`,
	`{"Snapshot":{"Version":18446744073709551615,"Next":9223372036854775807,"Document":{},"Digest":"44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a"}}`,
}

// soundPatch changes the empty configuration.
const soundPatch = `{"Patch":{"ID":"sound","Base":0,"Merge":{"Limits":{"MaxStrikes":4}}}}`

// Guards against readers of the configuration that end or stop at a record that can't be
// decoded or applied.
func TestOddRecordsDoNotStopTheFold(t *testing.T) {
	for _, odd := range oddRecords {
		f := New()
		f.Apply(0, []byte(odd))
		f.Apply(1, []byte(odd))
		f.Apply(2, []byte(strings.Replace(soundPatch, `"Base":0`, fmt.Sprintf(`"Base":%d`, f.Version()), 1)))
		test.Eq(t, 3, f.Next(), test.Sprint(odd[:min(len(odd), 80)]))
		test.Eq(t, 4, f.Document().Limits.MaxStrikes, test.Sprint(odd[:min(len(odd), 80)]))
	}
}

func FuzzTwoRecords(f *testing.F) {
	for _, odd := range oddRecords {
		f.Add([]byte(odd), []byte(soundPatch))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		for _, start := range []ident.Offset{0, 5} {
			fold := New()
			fold.Apply(start, first)
			fold.Apply(start+1, second)
			test.Eq(t, start+2, fold.Next())
			_, ps := confg.Parse(fold.Raw())
			test.SliceEmpty(t, ps)
			restored := New()
			_, err := restored.Restore(fold.Snapshot())
			test.NoError(t, err)
		}
	})
}

// Guards against versions that begin at zero again after the greatest one.
func TestSnapshotsOfTheGreatestVersionAreRejected(t *testing.T) {
	for _, v := range []ident.Version{math.MaxUint64, maxVersion + 1} {
		s := New().Snapshot()
		s.Version = v
		_, err := New().Restore(s)
		test.ErrorIs(t, err, ErrVersion)
	}
	s := New().Snapshot()
	s.Version = maxVersion
	f := New()
	_, err := f.Restore(s)
	test.NoError(t, err)
	f.Apply(0, []byte(strings.Replace(soundPatch, `"Base":0`, fmt.Sprintf(`"Base":%d`, maxVersion), 1)))
	test.Eq(t, maxVersion+1, f.Version())
}
