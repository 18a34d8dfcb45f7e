package share

import (
	"context"
	"net"
	"time"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
)

// maxNumbersOfRun exceeds the number of changes that a node numbers in one run. A run's first
// number is the time of day in nanoseconds, so a difference of maxNumbersOfRun is one second.
const maxNumbersOfRun = uint64(time.Second)

// service holds the net/rpc methods that peers call.
type service struct {
	mesh *Mesh
}

// Tell applies an update of a peer and the updates that the peer forwards, and
// forwards each to the peers in its scope.
func (s *service) Tell(u relay.Update, r *relay.UpdateReply) error {
	m := s.mesh
	m.stats.callsServed.Add(1)
	m.accept(&u)
	switch {
	case u.Joins:
		r.Heard = m.heardOf(time.Now())
	case u.Reset && !u.From.Streams:
		r.Members = m.Members()
	}
	return nil
}

// accept applies an update of a peer and the updates that the peer forwards, and
// forwards each to the nodes in its scope.
func (m *Mesh) accept(u *relay.Update) {
	m.markSeen(u.From)
	m.hear(u.Heard)
	// hear has already passed on what is new in it.
	u.Heard = nil
	forwarded := u.Forwarded
	u.Forwarded = nil
	m.acceptOne(u, true)
	for i := range forwarded {
		f := &forwarded[i]
		if f.From.Name != m.Self.Name {
			m.acceptOne(f, false)
		}
	}
}

// acceptOne applies an update, which came from its node itself if direct is set, and forwards
// it. If its list of requests is old, it takes the rest of the update only. It sets the times in
// the update, which a hub needs to forward it.
func (m *Mesh) acceptOne(u *relay.Update, direct bool) {
	m.stats.updatesReceived.Add(1)
	setTimes(u, time.Now())
	old := m.applyRequests(u, direct)
	switch {
	case old:
		m.replaceList(u)
	case u.Reach != relay.ScopePeer:
		m.setEntry(u.From.Name, u.Reach != relay.ScopeGroup)
	}
	m.apply(u)
	m.forward(*u)
}

// applyRequests applies what an update tells of requests in flight. It does nothing and returns
// true if the update lists them as they were before the last change that this node knows, which
// another connection delivered earlier.
func (m *Mesh) applyRequests(u *relay.Update, direct bool) (old bool) {
	m.applying.Lock()
	defer m.applying.Unlock()
	if m.isOld(u, direct) {
		return true
	}
	if u.Reset {
		m.InFlight.Reset(u.From.Name, u.Seq)
	}
	m.InFlight.Observe(u.From.Name, u.Seq)
	for _, a := range u.Began {
		m.InFlight.Put(a.Work)
	}
	for _, id := range u.Wrote {
		m.InFlight.MarkDecoding(u.From.Name, id)
	}
	for _, id := range u.Done {
		m.InFlight.Remove(u.From.Name, id)
	}
	return false
}

// isOld reports whether an update lists requests as they were before the last change that this
// node knows. A list that comes from its node itself with a number that is lower by
// maxNumbersOfRun or more is that of a node that restarted with its clock behind.
func (m *Mesh) isOld(u *relay.Update, direct bool) bool {
	if !u.Reset || u.Seq == 0 {
		return false
	}
	known, complete := m.InFlight.Seq(u.From.Name)
	if !complete || u.Seq >= known {
		return false
	}
	return !direct || known-u.Seq < maxNumbersOfRun
}

// replaceList removes the requests from an update with an old list, and forwards what this node
// knows of them instead: the nodes of its group may not have got a list yet.
func (m *Mesh) replaceList(u *relay.Update) {
	seq, _ := m.InFlight.Seq(u.From.Name)
	known := m.requestsOf(u.From)
	known.Copied, known.Seq, known.Reach = true, seq, u.Reach
	u.Reset, u.Began, u.Wrote, u.Done = false, nil, nil, nil
	m.forward(known)
}

// apply applies the rest of an update to this node's state.
func (m *Mesh) apply(u *relay.Update) {
	if len(u.Failed) > 0 {
		m.OnFailed(u.Failed)
	}
	if len(u.Broke) > 0 {
		m.OnBroke(u.Broke)
	}
	if len(u.Orphans) > 0 && m.OnOrphans != nil {
		m.OnOrphans(u.Orphans)
	}
	deliver(u.Struck, m.OnStruck, func(a relay.AgedStrike) strik.Strike { return a.Strike })
	deliver(u.Proofs, m.OnProofs, func(a relay.AgedProof) strik.Proof { return a.Proof })
	deliver(u.Parts, m.OnPartStates, func(a relay.AgedPart) strik.PartState { return a.State })
	deliver(u.Trials, m.OnTrials, func(a relay.AgedTrial) strik.Trial { return a.Trial })
	deliver(u.Stated, m.OnAvailability, func(a relay.StatedAvailability) avail.State { return a.State })
	deliver(u.Rests, m.OnRests, func(l relay.RestLeft) avail.Rest { return l.Rest })
	deliver(u.Decided, m.OnDecisions, func(a relay.AgedDecision) bysize.Decision { return a.Decision })
	deliver(u.Limits, m.OnLimits, func(a relay.AgedLimit) quota.Limit { return a.Limit })
}

// deliver calls on with the contents of the entries of an update, unless there are none.
func deliver[E, C any](entries []E, on func([]C), content func(E) C) {
	if len(entries) > 0 {
		on(mapAll(entries, content))
	}
}

// State returns this node's copy of the configuration and of the endpoint list.
func (s *service) State(a relay.StateArgs, r *relay.State) error {
	s.mesh.markSeen(a.From)
	*r = s.mesh.State(a)
	if a.Starts {
		r.Parts = mapAll(s.mesh.PartStates(), agedPart)
		setPartAges(r.Parts, time.Now())
	}
	return nil
}

// Change returns a part of the encoded change that leads to this node's
// configuration. It waits some time for a version that this node does not have.
func (s *service) Change(a relay.ChangeArgs, r *relay.ChangePart) error {
	*r = s.mesh.Change(a)
	return nil
}

// Permit grants the sending of one request to an endpoint with a limit, out of this
// node's share.
func (s *service) Permit(a relay.PermitArgs, r *relay.Permit) error {
	*r = s.mesh.Permit(a.Key)
	return nil
}

// Run serves the calls of peers until the context ends.
func (m *Mesh) Run(ctx context.Context, l net.Listener) error {
	branches := []conns.Branch{{Preamble: streamPreamble, Serve: m.serveStream}}
	if m.ServeTunnel != nil {
		branches = append(branches, conns.Branch{Preamble: tunnel.Preamble, Serve: m.ServeTunnel})
	}
	return conns.ServeRPC(ctx, conns.Patient(l, m.Logger, nil), "Node", &service{m}, branches...)
}
