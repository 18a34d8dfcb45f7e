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

// service holds the net/rpc methods that peers call.
type service struct {
	mesh *Mesh
}

// Tell applies an update of a peer and the updates that the peer forwards, and
// forwards each to the peers in its scope.
func (s *service) Tell(u relay.Update, r *relay.UpdateReply) error {
	m := s.mesh
	m.markSeen(u.From)
	if u.Reset {
		r.Members = m.Members()
	}
	forwarded := u.Forwarded
	u.Forwarded = nil
	m.apply(&u)
	m.forward(u)
	for i := range forwarded {
		m.apply(&forwarded[i])
		m.forward(forwarded[i])
	}
	return nil
}

// apply applies an update to this node's state, and converts its ages to times.
func (m *Mesh) apply(u *relay.Update) {
	now := time.Now()
	if u.Reset {
		m.InFlight.RemoveNode(u.From.Name)
	}
	for i := range u.Began {
		n := &u.Began[i]
		n.Work.Since = now.Add(-n.Age)
		m.InFlight.Put(n.Work)
	}
	for _, id := range u.Wrote {
		m.InFlight.MarkDecoding(u.From.Name, id)
	}
	for _, id := range u.Done {
		m.InFlight.Remove(u.From.Name, id)
	}
	if len(u.Failed) > 0 {
		m.OnFailed(u.Failed)
	}
	var ss []strik.Strike
	for i := range u.Struck {
		u.Struck[i].Strike.At = now.Add(-u.Struck[i].Age)
		ss = append(ss, u.Struck[i].Strike)
	}
	if len(ss) > 0 {
		m.OnStruck(ss)
	}
	m.applyParts(u, now)
	m.applyStated(u)
	m.applyRests(u, now)
	m.applyDecided(u, now)
	var ls []quota.Limit
	for i := range u.Limits {
		u.Limits[i].Limit.ObservedAt = now.Add(-u.Limits[i].Age)
		ls = append(ls, u.Limits[i].Limit)
	}
	if len(ls) > 0 {
		m.OnLimits(ls)
	}
}

// applyParts applies what an update says of parts of prompts.
func (m *Mesh) applyParts(u *relay.Update, now time.Time) {
	var proofs []strik.Proof
	for i := range u.Proofs {
		u.Proofs[i].Proof.At = now.Add(-u.Proofs[i].Age)
		proofs = append(proofs, u.Proofs[i].Proof)
	}
	if len(proofs) > 0 {
		m.OnProofs(proofs)
	}
	var states []strik.PartState
	for i := range u.Parts {
		u.Parts[i].State.StruckAt = now.Add(-u.Parts[i].Age)
		states = append(states, u.Parts[i].State)
	}
	if len(states) > 0 {
		m.OnPartStates(states)
	}
}

// applyStated applies what endpoints stated to all nodes about whether they accept requests.
func (m *Mesh) applyStated(u *relay.Update) {
	var states []avail.State
	for _, s := range u.Stated {
		states = append(states, s.State)
	}
	if len(states) > 0 {
		m.OnAvailability(states)
	}
}

// applyRests applies what endpoints stated to one node.
func (m *Mesh) applyRests(u *relay.Update, now time.Time) {
	var rs []avail.Rest
	for i := range u.Rests {
		u.Rests[i].Rest.Until = now.Add(u.Rests[i].Left)
		rs = append(rs, u.Rests[i].Rest)
	}
	if len(rs) > 0 {
		m.OnRests(rs)
	}
}

// applyDecided applies the decisions of a peer on prompts.
func (m *Mesh) applyDecided(u *relay.Update, now time.Time) {
	var ds []bysize.Decision
	for i := range u.Decided {
		u.Decided[i].Decision.At = now.Add(-u.Decided[i].Age)
		ds = append(ds, u.Decided[i].Decision)
	}
	if len(ds) > 0 {
		m.OnDecisions(ds)
	}
}

// State returns this node's copy of the configuration and of the endpoint list.
func (s *service) State(a relay.StateArgs, r *relay.State) error {
	s.mesh.markSeen(a.From)
	*r = s.mesh.State(a)
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
	var branches []conns.Branch
	if m.ServeTunnel != nil {
		branches = append(branches, conns.Branch{Preamble: tunnel.Preamble, Serve: m.ServeTunnel})
	}
	return conns.ServeRPC(ctx, l, "Node", &service{m}, branches...)
}
