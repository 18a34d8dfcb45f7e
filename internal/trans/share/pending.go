package share

import (
	"time"

	"laburnumstack.org/laburnum/internal/proto/relay"
)

// queueState puts the state that the peer lacks in front of the changes in the next update:
// this node's requests in flight and, from a hub, those of other nodes.
func (p *peer) queueState() {
	others := p.mesh.othersFor(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &p.pending
	u.Forwarded = append(others, u.Forwarded...)
	if !p.direct {
		return
	}
	// Changes that are queued already are part of this.
	seq := p.mesh.seq.Load()
	own := p.mesh.requestsOf(p.mesh.Self)
	u.Reset, u.Began, u.Seq = own.Reset, own.Began, seq
	u.Wrote, u.Done = nil, nil
}

// queue adds a change to the next update for the peer, if there is a connection or one is
// being opened.
// If hubs are in use, non-urgent changes are delayed so that the hubs, which
// forward the changes of many nodes, send fewer updates.
func (p *peer) queue(urgent bool, add func(*relay.Update)) {
	delayed := !urgent && p.mesh.delaysNonUrgent.Load()
	p.mu.Lock()
	connected := p.client != nil
	if connected || p.connecting(time.Now()) {
		add(&p.pending)
	}
	scheduled := p.flushScheduled
	p.flushScheduled = scheduled || delayed
	p.mu.Unlock()
	switch {
	case !connected || delayed && scheduled:
	case delayed:
		time.AfterFunc(nonUrgentDelay, p.wakeUp)
	default:
		p.wakeUp()
	}
}

// queueKnowledge queues what this node knows of endpoints and of parts of prompts.
func (p *peer) queueKnowledge() {
	limits := mapAll(p.mesh.Limits(), agedLimit)
	parts := mapAll(p.mesh.PartStates(), agedPart)
	stated := mapAll(p.mesh.Availability(), statedAvailability)
	rests := mapAll(p.mesh.Rests(), restLeft)
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &p.pending
	u.Limits = append(limits, u.Limits...)
	u.Parts = append(parts, u.Parts...)
	u.Stated = append(stated, u.Stated...)
	u.Rests = append(rests, u.Rests...)
}

// takePending returns the next update for the peer.
func (p *peer) takePending() relay.Update {
	p.mu.Lock()
	u := p.pending
	p.pending = relay.Update{}
	p.flushScheduled = false
	u.Reach = p.scope
	p.mu.Unlock()
	u.From = p.mesh.self()
	replaceTimes(&u, time.Now())
	return u
}
