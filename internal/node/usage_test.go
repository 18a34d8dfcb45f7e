package node

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/memlog"
	"laburnumstack.org/laburnum/internal/state/ledgr"
)

// Guards against usage that is missing in the bill: a node that stops flushes once,
// and after an append without an answer that repeated only the old batch.
func TestFlushAppendsNewerUsageAfterAnUnansweredBatch(t *testing.T) {
	l := &memlog.Log{}
	u := &usageWriter{log: l, ledger: ledgr.New(), node: "n", runID: "run", logger: zerolog.Nop()}
	ctx, now := context.Background(), time.Now()
	u.ledger.Add(ledgr.Account{Workspace: "w"}, now, ledgr.Sum{Requests: 1})
	l.LoseAnswers(1)
	must.Error(t, u.flush(ctx))
	u.ledger.Add(ledgr.Account{Workspace: "w"}, now, ledgr.Sum{Requests: 2})
	must.NoError(t, u.flush(ctx))
	test.SliceEmpty(t, u.ledger.Take(), test.Sprint("a last flush left usage behind"))
	rows, err := u.totals(ctx)
	must.NoError(t, err)
	var sum int64
	for _, r := range rows {
		sum += r.Requests
	}
	test.Eq(t, 3, sum)
}
