package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	heartbeatInterval = time.Second
	// heartbeatFanout is the maximum number of peers to which each round of
	// heartbeats is sent.
	heartbeatFanout = 6
	// maxKnown is the maximum number of other members in a heartbeat.
	maxKnown = 16
)

// receive records a heartbeat received directly from its sender.
func (m *Mesh) receive(h messg.Heartbeat) {
	m.Clock.Observe(h.Stamp)
	m.mu.Lock()
	cs := m.members.RecordHeartbeat(h.From, time.Now())
	m.mu.Unlock()
	m.applyChanges(cs)
	m.ApplyHeartbeat(h)
}

// applyChanges adds state changes of members to the timeline, and clears the
// counts of requests in flight and of suspect requests of nodes that are now dead.
func (m *Mesh) applyChanges(cs []membr.Change) {
	for _, c := range cs {
		was := string(c.From)
		if was == "" {
			was = "unknown"
		}
		m.Ring.Add(trace.Member, "", "node "+string(c.Name)+" is "+string(c.To)+", was "+was)
		if c.To == membr.Dead {
			m.ApplyHeartbeat(messg.Heartbeat{From: membr.Member{Name: c.Name}})
		}
	}
}

// newHeartbeat returns a heartbeat with this node's state and up to maxKnown alive
// members.
func (m *Mesh) newHeartbeat() messg.Heartbeat {
	h := messg.Heartbeat{From: m.Self(), Stamp: m.Clock.Now()}
	for _, e := range m.Members() {
		if e.State == membr.Alive && len(h.Known) < maxKnown {
			h.Known = append(h.Known, e.Member)
		}
	}
	m.FillHeartbeat(&h)
	return h
}

// sendLoop sends heartbeats periodically until the context ends.
func (m *Mesh) sendLoop(ctx context.Context) {
	delay.Repeat(ctx, heartbeatInterval, func(time.Time) { m.SendHeartbeats(ctx) })
}

// SendHeartbeats exchanges heartbeats with random peers, and marks members without
// a recent heartbeat as suspect or dead.
func (m *Mesh) SendHeartbeats(ctx context.Context) {
	h := m.newHeartbeat()
	var g errgroup.Group
	for _, a := range m.randomPeers() {
		g.Go(func() error { m.exchange(ctx, a, h); return nil })
	}
	g.Wait()
	m.mu.Lock()
	cs := m.members.Tick(time.Now())
	m.mu.Unlock()
	m.applyChanges(cs)
}

// randomPeers returns the addresses of at most heartbeatFanout peers in random
// order.
func (m *Mesh) randomPeers() []string {
	self := m.Self().Peer
	m.mu.Lock()
	defer m.mu.Unlock()
	set := ident.SetOf(m.Seeds...)
	for a := range m.peerAddrs {
		set.Add(a)
	}
	for _, e := range m.members.Entries() {
		if e.State != membr.Dead {
			set.Add(e.Peer)
		}
	}
	delete(set, self)
	as := set.Sorted()
	rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(len(as), heartbeatFanout)]
}

// exchange sends a heartbeat to a peer and processes the one in its answer. If
// the peer has a newer configuration, exchange fetches it.
func (m *Mesh) exchange(ctx context.Context, addr string, h messg.Heartbeat) {
	var r messg.Heartbeat
	if err := m.call(ctx, addr, "Node.Beat", h, &r); err != nil {
		return
	}
	m.receive(r)
	for _, k := range r.Known {
		m.addAddress(k)
	}
	if r.From.Version > h.From.Version {
		m.fetchConfig(ctx, addr)
	}
}

// addAddress records the address of a member that is known only from another
// member's heartbeat.
func (m *Mesh) addAddress(k membr.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.members.Get(k.Name); !ok && k.Peer != "" {
		m.peerAddrs.Add(k.Peer)
	}
}

// fetchConfig fetches the configuration of a peer, and passes it to ApplyConfig if
// it is based, see messg.ConfigReply.
func (m *Mesh) fetchConfig(ctx context.Context, addr string) {
	var r messg.ConfigReply
	if err := m.call(ctx, addr, "Node.Config", messg.ConfigArgs{From: m.Self().Name}, &r); err != nil {
		return
	}
	if r.Based {
		m.ApplyConfig(r)
	}
}
