package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxPartFailures is the number of requests in a row that a peer may leave
	// without an answer in a transfer.
	maxPartFailures = 2
	// maxPartWaits is the number of requests in a row that a peer may answer without
	// having a further part.
	maxPartWaits = 3
)

// Errors of a transfer.
const (
	// errNotThere means that a peer does not have the wanted version, or no further
	// part of it.
	errNotThere = errors.ConstError("peer does not have the configuration")
	// errDamaged means that a transferred change isn't that which was sent.
	errDamaged = errors.ConstError("change is damaged")
)

// transfer gets a large change of the configuration from peers, in parts. If one of
// them fails, the next one goes on with the same change, if it has that.
type transfer struct {
	sync *stateSync
	args relay.ChangeArgs
	// change holds the parts received so far; nil before the first one.
	change *encodedChange
}

// startTransfer starts to get the wanted version or a newer one, unless a transfer
// is under way: from the relays of this node, and if none of them has it from the
// peer which told of it. If that fails too, the node reads the store itself until
// its configuration is the newest again.
func (s *stateSync) startTransfer(peer string, wanted ident.Version) {
	if !s.transferring.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.transferring.Store(false)
		t := &transfer{sync: s, args: relay.ChangeArgs{Base: s.base(), Wanted: wanted}}
		for _, a := range append(s.mesh.Relays(time.Now()), peer) {
			if t.run(a) {
				return
			}
		}
		s.changes.abandon(t.change)
		s.transferFailed.Store(true)
		s.feeds.Recheck()
	}()
}

// run gets the rest of the change from a peer and applies it. It returns whether
// that succeeded.
func (t *transfer) run(peer string) bool {
	began := clock.Now()
	err := t.receive(peer)
	if err == nil {
		err = t.apply()
	}
	t.sync.logger.Info().Err(err).Str("peer", peer).Uint64("base", uint64(t.args.Base.Version)).Uint64("version", uint64(t.args.Wanted)).
		Int("bytes", t.args.Offset).Dur("after", clock.Now().Sub(began)).Msg("sync: transfer of a configuration ended")
	return err == nil
}

// receive gets the remaining parts of the change from a peer.
func (t *transfer) receive(peer string) error {
	failures, waits := 0, 0
	for {
		p, err := t.sync.mesh.FetchChange(peer, t.args)
		switch {
		case err != nil:
			failures++
			if failures >= maxPartFailures {
				return err
			}
		case len(p.Data) == 0:
			waits++
			if waits >= maxPartWaits {
				return errNotThere
			}
		default:
			failures, waits = 0, 0
			if t.add(p) {
				return t.check()
			}
		}
	}
}

// add adds a part and reports whether the change is complete.
func (t *transfer) add(p relay.ChangePart) bool {
	t.change = t.sync.changes.receive(t.change, p)
	t.args.Hash, t.args.Offset = p.Hash, len(t.change.data)
	return t.args.Offset >= p.Size
}

// check verifies a complete change. It drops a damaged one.
func (t *transfer) check() error {
	if xxhash.Sum64(t.change.data) == t.args.Hash {
		return nil
	}
	t.drop()
	return errDamaged
}

// apply puts the result of a complete change in force. It drops a change that can't be
// applied. If another configuration was put in force during the transfer, it does
// nothing: the next pull tells what this node lacks.
func (t *transfer) apply() error {
	err := t.sync.applyChange(t.change.data)
	if errors.Is(err, topol.ErrOtherBase) {
		return nil
	}
	if err != nil {
		t.drop()
	}
	return err
}

// drop drops the parts received so far, so that the transfer begins anew.
func (t *transfer) drop() {
	t.sync.changes.abandon(t.change)
	t.change, t.args.Hash, t.args.Offset = nil, 0, 0
}
