package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/trans/feeds"
)

const (
	// registerRetryPause is the pause between two attempts to register as a
	// member.
	registerRetryPause = time.Second
	// completeEraKey is the key of the record, beside those of the members, of the era in
	// which the store was seen to hold again what it had lost.
	completeEraKey = "complete-era"
)

// keepRegistered registers this node as a member, and again each time the store has
// lost records, until the context ends. It also records eras that this node has seen to be
// complete.
func (n *Node) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		era := n.register(ctx)
		for ctx.Err() == nil && n.feeds.Era() <= era {
			n.recordCompleteEra(ctx)
			delay.For(ctx, registerRetryPause)
		}
	}
}

// recordCompleteEra records in the store that it holds again what it had lost when its era began,
// if this node has seen that and no node has recorded it. The record is lost with all others that
// are newer than a copy, so it never speaks of the era that begins with that copy. A failure is
// repeated by the next call.
func (n *Node) recordCompleteEra(ctx context.Context) {
	era := n.feeds.WitnessedEra()
	if era <= n.recordedEra {
		return
	}
	_, err := n.Source.Put(ctx, feeds.Members, feeds.Record{Key: completeEraKey, Value: strconv.AppendUint(nil, era, 10)})
	if err == nil {
		n.recordedEra = era
	}
	n.Logger.Info().Err(err).Uint64("era", era).Msg("node: recorded that lost records are written again")
}

// register adds this node to the list of members in the store and adds the other
// members as peers. It retries until both succeed, and returns the era in which the
// record was written.
func (n *Node) register(ctx context.Context) uint64 {
	r := feeds.Record{Key: string(n.Settings.Name), Value: []byte(n.Settings.PeerAddress)}
	for ctx.Err() == nil {
		era, err := n.Source.Put(ctx, feeds.Members, r)
		if err == nil {
			err = n.addPeers(ctx)
		}
		if err == nil {
			return era
		}
		n.Logger.Warn().Err(err).Msg("node: registration as a member failed, will retry")
		delay.For(ctx, registerRetryPause)
	}
	return 0
}

// addPeers adds the members listed in the store as peers. It leaves out records that
// aren't the address of a node.
func (n *Node) addPeers(ctx context.Context) error {
	page, err := n.Source.Newest(ctx, feeds.Members)
	if err != nil {
		return err
	}
	addrs := make([]string, 0, len(page.Records))
	for _, r := range page.Records {
		if r.Key == completeEraKey {
			n.applyCompleteEra(r, page.Era)
		} else if a := string(r.Value); isNodeAddress(a) {
			addrs = append(addrs, a)
		}
	}
	// A node connects to the first ones at once: these should be others at each node.
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, a := range addrs {
		n.mesh.AddPeer(a)
	}
	n.hasMembers.Store(true)
	return nil
}

// applyCompleteEra applies the record of the era that was seen to be complete, which was read in the
// given era. A record of an earlier one is that of a copy, and says nothing of the present one.
func (n *Node) applyCompleteEra(r feeds.Record, readIn uint64) {
	era, err := strconv.ParseUint(string(r.Value), 10, 64)
	if err != nil || era != readIn {
		return
	}
	n.recordedEra = max(n.recordedEra, era)
	n.feeds.ObserveComplete(era, era)
}

// members returns the nodes that share the requests to cold endpoints.
func (n *Node) members(now time.Time) pace.Members {
	ms := n.mesh.PaceMembers(now)
	ms.IsInformed = ms.IsInformed || n.hasMembers.Load()
	return ms
}

// isNodeAddress reports whether a is an IP address of one host with a port, in the form in
// which both are usually written.
func isNodeAddress(a string) bool {
	ap, err := netip.ParseAddrPort(a)
	return err == nil && ap.String() == a && ap.Port() > 0 && !ap.Addr().IsUnspecified() && !ap.Addr().IsMulticast()
}
