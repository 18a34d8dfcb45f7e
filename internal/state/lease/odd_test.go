package lease

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against engines that get no orders any more: a record with the greatest length
// held the lease for 292 years.
func TestOddLeasesEnd(t *testing.T) {
	now := time.Unix(1_796_428_800, 0)
	for _, length := range []time.Duration{math.MaxInt64, MaxLength + 1, 0, -1, math.MinInt64} {
		var l Table
		l.Apply(0, now, Record{Holder: claim.Holder{Node: "odd"}, Length: length})
		l.Apply(1, now.Add(time.Second), Record{Holder: claim.Holder{Node: "odd"}, Renew: true, Length: length})
		l.Apply(2, now.Add(time.Second+MaxLength), Record{Holder: claim.Holder{Node: "sound"}, Length: time.Second})
		got, granted := l.Current()
		test.True(t, granted)
		test.Eq(t, "sound", got.Holder.Node, test.Sprint(length))
	}
}

func FuzzRecord(f *testing.F) {
	f.Add(int64(0), int64(0), []byte(`{"Holder":{"Node":"n","Boot":1},"Seq":1,"Length":5000000000}`))
	f.Add(int64(-5), int64(math.MaxInt64), []byte(`{"Number":-9223372036854775808,"Renew":true,"End":true,"Length":9223372036854775807}`))
	f.Add(int64(math.MaxInt64), int64(math.MinInt64), []byte(`{"Length":-9223372036854775808}`))
	f.Fuzz(func(t *testing.T, offset, unix int64, raw []byte) {
		var r Record
		if json.Unmarshal(raw, &r) != nil {
			return
		}
		when := time.Unix(unix, 0)
		var l Table
		l.Apply(ident.Offset(offset), when, r)
		l.Apply(ident.Offset(offset), when, r)
		if got, granted := l.Current(); granted {
			test.LessEq(t, MaxLength, got.Until.Sub(when))
		}
	})
}
