package edge

import (
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
)

// state returns this node's copy of the state for a peer, without what the peer
// already has. It leaves out an endpoint list that may hold endpoints which
// disappeared during an outage of the store.
func (s *stateSync) state(args relay.StateArgs) relay.State {
	st := relay.State{Era: s.feeds.Era(), CompleteEra: s.feeds.CompleteEra()}
	now := clock.Now()
	// The position is read before the configuration, so that it isn't that of a newer one.
	evacuations, position, known := s.feeds.EvacuationState()
	catalog, provenAt := s.feeds.ConfirmedCatalog()
	if known {
		st.EvacuationsKnown, st.Evacuated, st.EvacuationsAge = true, evacuations.InForce, now.Sub(evacuations.ConfirmedAt)
		st.EvacuationsEra, st.EvacuationsNext = evacuations.At.Era, evacuations.At.Next
		if st.Lapsing = evacuations.Lapsing; len(st.Lapsing) > 0 {
			st.LapseIn = evacuations.LapseAt.Sub(now)
		}
	}
	if catalog != nil {
		st.ConfigEra, st.ConfigNext = position.Era, position.Next
		st.Version = catalog.Version
		st.Proven, st.ProvenAge = provenAt > 0, now.Sub(provenAt)
		switch {
		case catalog.Version <= args.Version:
		case args.Format == topol.ChangeFormat:
			st.Change = s.changes.small(args.Base, catalog)
		default:
			st.Raw = catalog.Raw
		}
	}
	base := args.List
	if args.Format != topol.ChangeFormat && base != s.feeds.Endpoints().ListID() {
		base = 0
	}
	c, confirmedAt := s.feeds.ChangeFrom(base)
	st.Recovering = c != nil && !s.feeds.OutsideGracePeriod(now)
	if c != nil && !st.Recovering {
		st.Listed, st.ListedAge, st.List = true, now.Sub(confirmedAt), c.Result
		st.Endpoints, st.ListBase, st.Removed = c.Put, c.Base, c.Removed
	}
	return st
}
