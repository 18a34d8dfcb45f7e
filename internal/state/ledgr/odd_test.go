package ledgr

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// applyJSON applies a batch as it is read from the log.
func applyJSON(b *Bill, raw []byte) {
	var batch Batch
	if json.Unmarshal(raw, &batch) == nil {
		b.Apply(batch)
	}
}

// Guards against bills that can't be written any more, or are negative, by one odd batch:
// sums that overflow to infinity have no form in JSON.
func TestOddRowsDoNotSpoilTheBill(t *testing.T) {
	cases := []struct {
		name string
		sum  Sum
	}{
		{"greatest duration", Sum{Requests: 1, EndpointSeconds: math.MaxFloat64}},
		{"negative duration", Sum{Requests: 1, EndpointSeconds: -1}},
		{"greatest count", Sum{Requests: math.MaxInt64}},
		{"negative count", Sum{Requests: -1}},
		{"greatest tokens", Sum{PromptTokens: math.MaxInt64}},
		{"negative tokens", Sum{GeneratedTokens: math.MinInt64}},
		{"negative refusals", Sum{Refusals: -5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sound := Sum{Requests: 2, PromptTokens: 300, GeneratedTokens: 20, EndpointSeconds: 1.5, Refusals: 1}
			a := Account{Workspace: "w", Route: "r", Hour: time.Unix(0, 0).UTC()}
			b := NewBill()
			for i := range uint64(3) {
				b.Apply(Batch{Node: "odd", Seq: i, Rows: []Row{{a, c.sum}, {a, sound}}})
			}
			must.SliceLen(t, 1, b.Rows())
			test.Eq(t, Sum{Requests: 6, PromptTokens: 900, GeneratedTokens: 60, EndpointSeconds: 4.5, Refusals: 3}, b.Rows()[0].Sum)
			_, err := json.Marshal(b.Rows())
			test.NoError(t, err)
		})
	}
}

func FuzzBatch(f *testing.F) {
	f.Add([]byte(`{"Node":"n","Boot":"b","Seq":1,"Rows":[{"Workspace":"w","Route":"r","Hour":"2026-12-05T05:00:00Z","Requests":1,"PromptTokens":5,"EndpointSeconds":0.5}]}`))
	f.Add([]byte(`{"Rows":[{"EndpointSeconds":1e308},{"EndpointSeconds":1e308},{"Requests":9223372036854775807},{"Requests":1}]}`))
	f.Add([]byte(`{"Rows":[{"Hour":"0001-01-01T00:00:00+23:59"},null]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b := NewBill()
		for range 3 {
			applyJSON(b, raw)
		}
		for _, r := range b.Rows() {
			test.GreaterEq(t, 0, min(r.Requests, int64(r.PromptTokens), int64(r.GeneratedTokens), r.Refusals))
			test.Between(t, 0, r.EndpointSeconds, math.MaxFloat64)
		}
		_, err := json.Marshal(b.Rows())
		test.NoError(t, err)
	})
}
