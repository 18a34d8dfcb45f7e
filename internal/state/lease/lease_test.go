package lease_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/state/lease"
	"laburnumstack.org/laburnum/pkg/ident"
)

func TestTable(t *testing.T) {
	a, b := claim.Holder{Node: "a"}, claim.Holder{Node: "b"}
	const length = 10 * time.Second
	type step struct {
		after time.Duration
		rec   lease.Record
	}
	cases := []struct {
		name   string
		steps  []step
		number ident.Offset
		holder claim.Holder
	}{
		{"the first request wins", []step{{0, lease.Record{Holder: a, Length: length}}, {1, lease.Record{Holder: b, Length: length}}}, 0, a},
		{"expired", []step{{0, lease.Record{Holder: a, Length: length}}, {length, lease.Record{Holder: b, Length: length}}}, 1, b},
		{"renewed in time", []step{{0, lease.Record{Holder: a, Length: length}}, {length - 1, lease.Record{Holder: a, Renew: true, Length: length}}, {length, lease.Record{Holder: b, Length: length}}}, 0, a},
		{"renewed too late", []step{{0, lease.Record{Holder: a, Length: length}}, {length, lease.Record{Holder: a, Renew: true, Length: length}}, {length, lease.Record{Holder: b, Length: length}}}, 2, b},
		{"renewed by a former holder", []step{{0, lease.Record{Holder: a, Length: length}}, {length, lease.Record{Holder: b, Length: length}}, {length, lease.Record{Holder: a, Renew: true, Length: length}}}, 1, b},
		{"ended", []step{{0, lease.Record{Holder: a, Length: length}}, {1, lease.Record{Holder: a, End: true}}, {2, lease.Record{Holder: b, Length: length}}}, 2, b},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tab lease.Table
			start := time.Now()
			for i, s := range c.steps {
				tab.Apply(ident.Offset(i), start.Add(s.after), s.rec)
			}
			l, ok := tab.Current()
			test.True(t, ok)
			test.Eq(t, c.number, l.Number)
			test.Eq(t, c.holder, l.Holder)
		})
	}
}
