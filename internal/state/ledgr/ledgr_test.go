package ledgr_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/ledgr"
)

func TestBillCountsEachBatchOnce(t *testing.T) {
	l := ledgr.New()
	at := time.Date(2026, 1, 1, 10, 59, 0, 0, time.UTC)
	a := ledgr.Account{Workspace: "w", Route: "r"}
	l.Add(a, at, ledgr.Sum{Requests: 1, PromptTokens: 10})
	l.Add(a, at, ledgr.Sum{Requests: 1, PromptTokens: 5})
	l.Add(a, at.Add(time.Hour), ledgr.Sum{Refusals: 1})
	batch := ledgr.Batch{Node: "n", Boot: "b", Seq: 1, Rows: l.Take()}
	must.Len(t, 2, batch.Rows)
	test.Len(t, 0, l.Take())
	bill := ledgr.NewBill()
	bill.Apply(batch)
	bill.Apply(batch)
	other := batch
	other.Boot = "c"
	bill.Apply(other)
	rows := bill.Rows()
	must.Len(t, 2, rows)
	test.Eq(t, 4, rows[0].Requests)
	test.Eq(t, 30, rows[0].PromptTokens)
	test.Eq(t, 2, rows[1].Refusals)
}
