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
	// maxVersionWaits is the number of requests in a row that a peer may answer
	// without having the wanted version.
	maxVersionWaits = 3
)

// Errors of a transfer.
const (
	// errNotThere means that a peer does not have the wanted version.
	errNotThere = errors.ConstError("peer does not have the version")
	// errDamaged means that a transferred change isn't that which was sent.
	errDamaged = errors.ConstError("change is damaged")
)

// transfer gets a large change of the configuration from a peer, in parts.
type transfer struct {
	sync   *stateSync
	peer   string
	wanted ident.Version

	args relay.ChangeArgs
	data []byte
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
		for _, a := range append(s.mesh.Relays(time.Now()), peer) {
			t := &transfer{sync: s, peer: a, wanted: wanted}
			if t.run() {
				return
			}
		}
		s.outrun.Store(true)
	}()
}

// run gets a change and applies it. It returns whether that succeeded.
func (t *transfer) run() bool {
	began := clock.Now()
	t.args.Base, t.args.Wanted = t.sync.base(), t.wanted
	err := t.receive()
	if err == nil {
		err = t.sync.applyChange(t.data)
	}
	t.sync.logger.Info().Err(err).Str("peer", t.peer).Uint64("base", uint64(t.args.Base.Version)).Uint64("version", uint64(t.wanted)).
		Int("bytes", len(t.data)).Dur("after", clock.Now().Sub(began)).Msg("sync: transfer of a configuration ended")
	return err == nil
}

// receive gets all parts of a change.
func (t *transfer) receive() error {
	failures, waits := 0, 0
	for {
		p, err := t.sync.mesh.FetchChange(t.peer, t.args)
		switch {
		case err != nil:
			failures++
			if failures >= maxPartFailures {
				return err
			}
			continue
		case p.Size == 0:
			waits++
			if waits >= maxVersionWaits {
				return errNotThere
			}
			continue
		}
		failures = 0
		if t.add(p) {
			return t.check()
		}
	}
}

// add adds a part and reports whether the change is complete.
func (t *transfer) add(p relay.ChangePart) bool {
	if p.Hash != t.args.Hash {
		t.data = nil
	}
	t.data = append(t.data, p.Data...)
	t.args.Hash, t.args.Offset = p.Hash, len(t.data)
	return len(t.data) >= p.Size
}

func (t *transfer) check() error {
	if xxhash.Sum64(t.data) != t.args.Hash {
		return errDamaged
	}
	return nil
}

// base returns the ID of the configuration that changes are to apply to: that in
// force, or none after a change to it had a wrong result.
func (s *stateSync) base() topol.ID {
	if s.unusable.Load() {
		return topol.ID{}
	}
	return s.feeds.Catalog().ID()
}

// applyChange puts the result of an encoded change in force. If it has another
// digest than it should, the next change is requested as a complete configuration.
func (s *stateSync) applyChange(raw []byte) error {
	ch, err := relay.DecodeChange(raw)
	if err != nil {
		return err
	}
	old := s.feeds.Catalog()
	if old != nil && old.Version >= ch.Result.Version {
		return nil
	}
	c, err := old.Apply(ch)
	s.unusable.Store(errors.Is(err, topol.ErrDigest))
	if err != nil {
		return err
	}
	s.feeds.UpdateCatalog(c)
	return nil
}
