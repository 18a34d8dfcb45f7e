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

// usageInterval is the time between two records of usage, and so limits the usage
// that is lost when a node dies.
const usageInterval = 10 * time.Second

// usageWriter appends this node's usage to the usage stream.
type usageWriter struct {
	log    messg.Log
	ledger *ledgr.Ledger
	node   ident.NodeName
	// runID is a random ID of this run of the node.
	runID  string
	logger zerolog.Logger

	mu  sync.Mutex
	seq uint64
	// unacked is the batch whose append was not acknowledged and may or may not
	// have taken effect.
	unacked *ledgr.Batch
}

// run flushes the usage at intervals until the context ends.
func (u *usageWriter) run(ctx context.Context) {
	delay.Every(ctx, usageInterval, func(time.Time) {
		if err := u.flush(ctx); err != nil {
			u.logger.Warn().Err(err).Msg("usage: append failed, will retry")
		}
	})
}

// flush appends the usage collected since the last batch. If the append of that
// batch was not acknowledged, flush first repeats the batch unchanged, so that it
// counts once.
func (u *usageWriter) flush(ctx context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unacked != nil {
		if err := u.appendBatch(ctx); err != nil {
			return err
		}
	}
	rows := u.ledger.Take()
	if len(rows) == 0 {
		return nil
	}
	u.seq++
	u.unacked = &ledgr.Batch{Node: u.node, Boot: u.runID, Seq: u.seq, Rows: rows}
	return u.appendBatch(ctx)
}

// appendBatch appends the batch that is not acknowledged. The caller holds u.mu.
func (u *usageWriter) appendBatch(ctx context.Context) error {
	raw, err := json.Marshal(u.unacked)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := u.log.Append(ctx, messg.UsageStream, raw); err != nil {
		return err
	}
	u.unacked = nil
	return nil
}

// totals flushes this node's usage and returns the sums over the whole usage
// stream.
func (u *usageWriter) totals(ctx context.Context) ([]ledgr.Row, error) {
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
