package gate

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

// startTrial makes the request a trial of its barred parts, which is due since a time. It returns
// false if it isn't yet the turn of this node, or if another trial of them is under way.
func (x *exchange) startTrial(barred []ident.PartID, due, now time.Time) (started bool) {
	s := x.server
	nodes := s.Nodes(now)
	rank := nodes.Rank(quota.Key{Endpoint: ident.EndpointName(barred[0].String())})
	if nodes.IsCutOff() || now.Before(due.Add(strik.TurnDelay(rank))) {
		return false
	}
	tr := strik.Trial{Node: s.Node, Parts: barred, At: now}
	alive := func(n ident.NodeName) bool { return slices.Contains(nodes.Alive, n) }
	announce := func(tr strik.Trial) {
		s.AnnounceTrial(tr)
		if !tr.Ended && len(nodes.Alive) > 1 {
			time.Sleep(strik.AnnounceTime)
		}
	}
	if !s.strikes.StartTrial(tr, alive, announce) {
		return false
	}
	x.trial = &tr
	s.Logger.Info().Str("request", x.reqHeader.ID).Stringers("parts", partNames(barred)).Int("rank", rank).Msg("gate: request is sent as a trial of barred parts")
	return true
}

// takeTrial returns the trial that the request was sent as, or nil, and resets it.
func (x *exchange) takeTrial() *strik.Trial {
	tr := x.trial
	x.trial = nil
	return tr
}

// endTrial ends a trial, which may be nil, after its outcome was recorded, and informs the peers.
func (s *Server) endTrial(tr *strik.Trial) {
	if tr == nil {
		return
	}
	s.AnnounceTrial(s.strikes.EndTrial(*tr))
}

// AddPeerTrials records trials that peers have begun or ended.
func (s *Server) AddPeerTrials(trs []strik.Trial) { s.strikes.RecordTrials(trs) }
