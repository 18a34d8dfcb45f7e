package share

import (
	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// AnnounceStart informs the peers that a request is being sent to an endpoint.
func (m *Mesh) AnnounceStart(w works.Request) {
	m.announceChange(true, func(u *relay.Update) { u.Began = append(u.Began, relay.AgedRequest{Work: w}) })
}

// AnnounceDecoding informs the peers that the prompt of a request is prefilled
// and decoding has begun.
func (m *Mesh) AnnounceDecoding(id works.ID) {
	m.announceChange(false, func(u *relay.Update) { u.Wrote = append(u.Wrote, id) })
}

// AnnounceEnd informs the peers that a request is no longer in flight.
func (m *Mesh) AnnounceEnd(id works.ID) {
	m.announceChange(false, func(u *relay.Update) { u.Done = append(u.Done, id) })
}

// AnnounceFailure informs the peers that an endpoint can't be reached.
func (m *Mesh) AnnounceFailure(n ident.EndpointName) {
	m.announce(true, func(u *relay.Update) { u.Failed = append(u.Failed, n) })
}

// AnnounceBreak informs the peers of an endpoint that lives, but broke the connection of a request.
func (m *Mesh) AnnounceBreak(n ident.EndpointName) {
	m.announce(true, func(u *relay.Update) { u.Broke = append(u.Broke, n) })
}

// AnnounceStrike informs the peers of a strike.
func (m *Mesh) AnnounceStrike(s strik.Strike) {
	m.announce(true, func(u *relay.Update) { u.Struck = append(u.Struck, relay.AgedStrike{Strike: s}) })
}

// AnnounceProof informs the peers of parts that are cleared of strikes.
func (m *Mesh) AnnounceProof(p strik.Proof) {
	m.announce(true, func(u *relay.Update) { u.Proofs = append(u.Proofs, relay.AgedProof{Proof: p}) })
}

// AnnounceTrial informs the peers that this node has begun or ended a trial of barred parts.
func (m *Mesh) AnnounceTrial(t strik.Trial) {
	m.announce(true, func(u *relay.Update) { u.Trials = append(u.Trials, relay.AgedTrial{Trial: t}) })
}

// AnnounceAvailability informs the peers of what an endpoint stated to all nodes.
func (m *Mesh) AnnounceAvailability(s avail.State) {
	m.announce(true, func(u *relay.Update) { u.Stated = append(u.Stated, statedAvailability(s)) })
}

// AnnounceRest informs the peers of a rest.
func (m *Mesh) AnnounceRest(r avail.Rest) {
	m.announce(true, func(u *relay.Update) { u.Rests = append(u.Rests, restLeft(r)) })
}

// AnnounceDecision informs the peers of a decision on a prompt.
func (m *Mesh) AnnounceDecision(d bysize.Decision) {
	m.announce(false, func(u *relay.Update) { u.Decided = append(u.Decided, relay.AgedDecision{Decision: d}) })
}

// AnnounceOrphans informs the peers of engines with or without orphaned requests.
func (m *Mesh) AnnounceOrphans(os []relay.Orphans) {
	m.announce(true, func(u *relay.Update) { u.Orphans = append(u.Orphans, os...) })
}

// AnnounceLimits informs the peers of limits that endpoints named or that have
// ended.
func (m *Mesh) AnnounceLimits(ls ...quota.Limit) {
	m.announce(true, func(u *relay.Update) { u.Limits = append(u.Limits, mapAll(ls, agedLimit)...) })
}

// AnnounceStatus informs the peers that this node's status has changed.
func (m *Mesh) AnnounceStatus() {
	for _, p := range m.allPeers() {
		p.wakeUp()
	}
}

// announceChange announces a change of this node's requests in flight and numbers it.
func (m *Mesh) announceChange(urgent bool, add func(*relay.Update)) {
	m.numbering.Lock()
	defer m.numbering.Unlock()
	seq := m.seq.Add(1)
	m.announce(urgent, func(u *relay.Update) {
		add(u)
		u.Seq = seq
	})
}

func (m *Mesh) announce(urgent bool, add func(*relay.Update)) {
	m.queueFor(urgent, func(*peer) func(*relay.Update) { return add })
}

// The following functions return the entries of an update. Their ages, or the times left, are
// set when the update is sent.

func agedLimit(l quota.Limit) relay.AgedLimit { return relay.AgedLimit{Limit: l} }

func agedPart(s strik.PartState) relay.AgedPart { return relay.AgedPart{State: s} }

func statedAvailability(s avail.State) relay.StatedAvailability {
	return relay.StatedAvailability{State: s}
}

func restLeft(r avail.Rest) relay.RestLeft { return relay.RestLeft{Rest: r} }

// mapAll returns the results of f for all elements.
func mapAll[A, B any](as []A, f func(A) B) []B {
	bs := make([]B, len(as))
	for i, a := range as {
		bs[i] = f(a)
	}
	return bs
}
