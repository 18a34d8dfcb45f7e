package fold_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/state/fold"
	"laburnumstack.org/laburnum/pkg/ident"
)

// A fixed seed makes the property tests reproducible.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

func patch(id string, base ident.Version, merge string) []byte {
	raw, _ := json.Marshal(fold.Record{Patch: &fold.Patch{ID: ident.PatchID(id), Base: base, Merge: json.RawMessage(merge)}})
	return raw
}

func snapshot(s fold.Snapshot) []byte {
	raw, _ := json.Marshal(fold.Record{Snapshot: &s})
	return raw
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		records [][]byte
		results []fold.Result
		version ident.Version
	}{
		{"an empty patch makes a version", [][]byte{patch("a", 0, `{}`)}, []fold.Result{fold.Accepted}, 1},
		{"the first of two patches on a base wins", [][]byte{patch("a", 0, `{}`), patch("b", 0, `{}`)}, []fold.Result{fold.Accepted, fold.Stale}, 1},
		{"a patch on a later version is stale", [][]byte{patch("a", 1, `{}`)}, []fold.Result{fold.Stale}, 0},
		{"an invalid document is refused", [][]byte{patch("a", 0, `{"Foo":1}`)}, []fold.Result{fold.Refused}, 0},
		{"a refused patch does not change the version", [][]byte{patch("a", 0, `{"Foo":1}`), patch("b", 0, `{}`)}, []fold.Result{fold.Refused, fold.Accepted}, 1},
		{"a duplicate record is applied once", [][]byte{patch("a", 0, `{}`), patch("a", 0, `{}`)}, []fold.Result{fold.Accepted, fold.Accepted}, 1},
		{"a record that can't be decoded is skipped", [][]byte{[]byte("{"), patch("a", 0, `{}`)}, []fold.Result{fold.Accepted}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := fold.New()
			var got []fold.Result
			for i, r := range c.records {
				for _, v := range f.Apply(ident.Offset(i), r) {
					got = append(got, v.Result)
				}
			}
			test.Eq(t, c.results, got)
			test.Eq(t, c.version, f.Version())
		})
	}
}

func TestSnapshotWithWrongDigestIsIgnored(t *testing.T) {
	f := fold.New()
	f.Apply(5, snapshot(fold.Snapshot{Version: 9, Next: 5, Document: json.RawMessage(`{}`), Digest: "00"}))
	test.False(t, f.Based())
	_, err := f.Restore(fold.Snapshot{Version: 9, Next: 7, Document: json.RawMessage(`{}`), Digest: "00"})
	test.ErrorIs(t, err, fold.ErrDigest)
	test.Eq(t, 0, f.Version())
}

// TestReadersAgree checks on random streams that all readers compute the same
// versions, whatever offset they start at, whichever records they miss and
// whichever snapshots they get from peers, and that the version in force never
// decreases.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := fold.New()
		var log [][]byte
		var versions []ident.Version
		accepted := map[ident.Version]int{}
		old := full.Snapshot()
		n := rapid.IntRange(5, 40).Draw(t, "records")
		for i := range n {
			var rec []byte
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				rec = snapshot(full.Snapshot())
			case 1:
				rec = snapshot(old)
			default:
				base := full.Version() + ident.Version(rapid.IntRange(0, 2).Draw(t, "ahead")) - ident.Version(rapid.IntRange(0, int(min(1, full.Version()))).Draw(t, "behind"))
				merge := rapid.SampledFrom([]string{`{}`, `{"Limits":{"MaxStrikes":4}}`, `{"Limits":{"MaxStrikes":99}}`, `{"Foo":1}`}).Draw(t, "merge")
				rec = patch(fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id")), base, merge)
			}
			if rapid.Bool().Draw(t, "keep") {
				old = full.Snapshot()
			}
			before := full.Version()
			full.Apply(ident.Offset(i), rec)
			if full.Version() > before {
				accepted[before]++
			}
			log = append(log, rec)
			versions = append(versions, full.Version())
		}
		for base, count := range accepted {
			must.Eq(t, 1, count, must.Sprintf("patches accepted on base %d", base))
		}
		start := rapid.IntRange(0, n-1).Draw(t, "start")
		skip := rapid.IntRange(start, n-1).Draw(t, "skip")
		length := rapid.IntRange(0, 5).Draw(t, "skipped")
		peerAt := rapid.IntRange(start, n).Draw(t, "peer")
		late := fold.New()
		inForce := ident.Version(0)
		for i := start; i < n; i++ {
			if i == peerAt {
				late.Restore(full.Snapshot())
			}
			if i >= skip && i < skip+length {
				continue
			}
			late.Apply(ident.Offset(i), log[i])
			must.GreaterEq(t, inForce, late.Version())
			inForce = late.Version()
			if late.Based() && late.Next() == ident.Offset(i+1) {
				must.Eq(t, versions[i], late.Version(), must.Sprintf("version after record %d", i))
			}
		}
		if late.Based() {
			must.Eq(t, string(full.Raw()), string(late.Raw()))
		}
	})
}

// FuzzApply checks that no record makes a reader panic, and that two readers of
// the same records agree.
func FuzzApply(f *testing.F) {
	f.Add(patch("a", 0, `{"Limits":{"MaxStrikes":4}}`), patch("b", 1, `{"Limits":null}`))
	f.Add([]byte(`{"Snapshot":{"Version":3,"Next":1,"Document":{},"Digest":""}}`), []byte(`{"Patch":{}}`))
	f.Add([]byte(`{"Patch":null,"Snapshot":null}`), []byte(`null`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		one, two := fold.New(), fold.New()
		for i, r := range [][]byte{a, b, patch("c", 0, `{}`)} {
			one.Apply(ident.Offset(i), r)
			two.Apply(ident.Offset(i), r)
		}
		must.Eq(t, one.Version(), two.Version())
		must.Eq(t, string(one.Raw()), string(two.Raw()))
	})
}
