package edge

import (
	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
)

// applyState merges the state received from a peer into this node's, and reports
// which streams it has a fresh copy of. sentAt is the time of the request. A fresh
// state may have a newer version of the configuration than this node, which then
// isn't confirmed. A negative age counts as zero.
func (s *stateSync) applyState(st relay.State, sentAt clock.Instant) (fresh freshStreams) {
	st.ListedAge, st.ProvenAge, st.EvacuationsAge = max(0, st.ListedAge), max(0, st.ProvenAge), max(0, st.EvacuationsAge)
	s.feeds.ObserveComplete(st.Era, st.CompleteEra)
	if st.Listed {
		s.applyList(st, sentAt.Add(-st.ListedAge))
	}
	if c := s.feeds.Catalog(); c != nil && s.isProof(st) && st.Version == c.Version {
		s.transferFailed.Store(false)
		s.feeds.ConfirmCatalog(sentAt.Add(-st.ProvenAge))
	}
	s.applyEvacuations(st, sentAt)
	fresh[feeds.Configuration] = st.Proven && st.ProvenAge < freshConfigAge && st.EvacuationsKnown && st.EvacuationsAge < freshConfigAge
	fresh[feeds.Endpoints] = st.Listed && st.ListedAge < freshListAge
	return fresh
}

// isProof reports whether a peer's state proves that its configuration was the newest. After the
// source has lost records, peers of an older build may have read an older one.
func (s *stateSync) isProof(st relay.State) bool {
	return st.Proven && (st.CompleteEra > 0 || s.feeds.CompleteEra() >= s.feeds.Era())
}

// applyEvacuations merges the evacuated data centres that a peer knows into those that this
// node knows. Only with them, and if both have the same version of the configuration, it
// takes the position at which the stream goes on: records before it are not read again.
func (s *stateSync) applyEvacuations(st relay.State, sentAt clock.Instant) {
	if !st.EvacuationsKnown {
		return
	}
	resume := feeds.Position{}
	if c := s.feeds.Catalog(); c != nil && st.Proven && st.Version == c.Version {
		resume = feeds.Position{Era: st.ConfigEra, Next: st.ConfigNext}
	}
	s.feeds.MergeEvacuations(feeds.Evacuations{
		InForce: st.Evacuated, Lapsing: st.Lapsing, LapseAt: sentAt.Add(min(st.LapseIn, maxLapseIn)),
		At: feeds.Position{Era: st.EvacuationsEra, Next: st.EvacuationsNext}, ConfirmedAt: sentAt.Add(-st.EvacuationsAge),
	}, resume)
}

// applyList merges the endpoint list of a peer into this node's. at is when the peer
// last confirmed it to be the newest.
func (s *stateSync) applyList(st relay.State, at clock.Instant) {
	switch {
	case len(st.Endpoints) == 0 && len(st.Removed) == 0:
		s.feeds.ConfirmEndpoints(st.List, at)
	case st.ListBase == 0:
		s.feeds.UpdateEndpoints(st.Endpoints, at)
		s.needsWholeList.Store(false)
	default:
		err := s.feeds.ChangeEndpoints(&feeds.ListChange{Base: st.ListBase, Result: st.List, Put: st.Endpoints, Removed: st.Removed}, at)
		s.needsWholeList.Store(err != nil)
		if err != nil {
			s.logger.Error().Err(err).Uint64("base", st.ListBase).Msg("sync: cannot apply the endpoints of a peer")
		}
	}
}

// applyNewer puts the configuration that a peer's state contains in force, or starts
// to get it if it is newer and not contained.
func (s *stateSync) applyNewer(peer string, st relay.State) {
	var err error
	switch {
	case len(st.Change) > 0:
		err = s.applyChange(st.Change)
	case len(st.Raw) > 0:
		err = s.applyDocument(st.Raw)
	}
	if err != nil {
		s.logger.Error().Err(err).Uint64("version", uint64(st.Version)).Msg("sync: cannot apply the configuration of a peer")
	}
	if st.Version > s.feeds.Catalog().ID().Version {
		s.startTransfer(peer, st.Version)
	}
}

// applyDocument puts a configuration document in force.
func (s *stateSync) applyDocument(raw []byte) error {
	c, err := s.decode(raw)
	if err != nil {
		return err
	}
	s.feeds.UpdateCatalog(c)
	return nil
}

// base returns the ID of the configuration that changes are to apply to: that in
// force, or none after a change to it had a wrong result.
func (s *stateSync) base() topol.ID {
	if s.needsWhole.Load() {
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
	s.needsWhole.Store(errors.Is(err, topol.ErrDigest))
	if err != nil {
		return err
	}
	if err := c.Validate(); err != nil {
		return err
	}
	s.feeds.UpdateCatalog(c)
	return nil
}
