package claim

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against requests that run twice by a lifetime whose double overflows: the key
// counted as never claimed at once.
func TestOddLifetimesKeepTheKeyClaimed(t *testing.T) {
	now := time.Unix(1_796_428_800, 0)
	k := Key{Workspace: "w", Name: "k"}
	for _, age := range []time.Duration{math.MaxInt64, math.MaxInt64/2 + 1, MaxAge + 1, MaxAge} {
		table := NewTable()
		table.Apply(0, now, Record{Items: []Item{{Op: Claim, Key: k, Attempt: "a", Age: age}}})
		rs := table.Apply(1, now.Add(time.Hour), Record{Items: []Item{{Op: Claim, Key: k, Attempt: "b", Age: age}}})
		test.SliceLen(t, 1, rs)
		test.False(t, rs[0].Won, test.Sprint(age))
		test.Eq(t, "a", rs[0].Entry.Attempt, test.Sprint(age))
	}
}

func FuzzRecord(f *testing.F) {
	f.Add(int64(0), int64(0), []byte(`{"Holder":{"Node":"n","Boot":1},"Items":[{"Op":"Claim","Key":{"Name":"k"},"Attempt":"a","Age":5000000000}]}`))
	f.Add(int64(1), int64(math.MaxInt64), []byte(`{"Items":[{"Op":"Claim","Age":9223372036854775807},{"Op":"Done","Answer":null},{"Op":"odd"},{}]}`))
	f.Add(int64(math.MaxInt64), int64(math.MinInt64), []byte(`{"Items":[{"Op":"Claim","Age":-9223372036854775808},{"Op":"Claim","Attempt":"b"},{"Op":"Release"}]}`))
	f.Fuzz(func(t *testing.T, offset, unix int64, raw []byte) {
		var r Record
		if json.Unmarshal(raw, &r) != nil {
			return
		}
		table := NewTable()
		for i := range 3 {
			for _, res := range table.Apply(ident.Offset(offset)+ident.Offset(i), time.Unix(unix, 0).Add(time.Duration(i)*time.Hour), r) {
				test.Between(t, 0, res.Entry.Age, MaxAge)
			}
		}
	})
}
