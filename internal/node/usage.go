package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/ledgr"
	"laburnumstack.org/laburnum/pkg/ident"
)

// usageEvery is the time between two records of usage, and so the bound on
// what is lost when a node dies.
const usageEvery = 10 * time.Second

// usageWriter appends this node's sums to the usage stream.
type usageWriter struct {
	log    messg.Log
	ledger *ledgr.Ledger
	node   ident.NodeName
	boot   string
	logger zerolog.Logger

	mu  sync.Mutex
	seq uint64
	// unsure is a batch whose append failed and may have taken effect.
	unsure *ledgr.Batch
}

func (u *usageWriter) run(ctx context.Context) {
	delay.Every(ctx, usageEvery, func(time.Time) {
		if err := u.flush(ctx); err != nil {
			u.logger.Warn().Err(err).Msg("usage: append failed, will be repeated")
		}
	})
}

// flush appends what was collected. A batch that failed is repeated as it was
// before anything new is appended, so that it counts once.
func (u *usageWriter) flush(ctx context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unsure == nil {
		rows := u.ledger.Take()
		if len(rows) == 0 {
			return nil
		}
		u.seq++
		u.unsure = &ledgr.Batch{Node: u.node, Boot: u.boot, Seq: u.seq, Rows: rows}
	}
	raw, err := json.Marshal(u.unsure)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := u.log.Append(ctx, messg.UsageStream, raw); err != nil {
		return err
	}
	u.unsure = nil
	return nil
}

// bill sums the usage stream and this node's own sums that aren't there yet.
func (u *usageWriter) bill(ctx context.Context) ([]ledgr.Row, error) {
	if err := u.flush(ctx); err != nil {
		return nil, err
	}
	b := ledgr.NewBill()
	var from ident.Offset
	for {
		p, err := u.log.Read(ctx, messg.UsageStream, from, 0)
		if err != nil {
			return nil, err
		}
		if len(p.Records) == 0 {
			return b.Rows(), nil
		}
		for _, r := range p.Records {
			from = r.Offset + 1
			var batch ledgr.Batch
			if json.Unmarshal(r.Data, &batch) == nil {
				b.Apply(batch)
			}
		}
	}
}
