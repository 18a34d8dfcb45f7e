package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/internal/trans/share"
)

const (
	// readers is the number of nodes that read the platform's store for all.
	readers = 2
	// pullEvery is the pause between two questions to a reader.
	pullEvery = 450 * time.Millisecond
	// freshConfig and freshList are the ages of a reader's knowledge up to
	// which it is taken. A reader waits for news of the configuration, and an
	// answer proves what held when the wait began, so that knowledge is between
	// one and two waits old.
	freshConfig = 2600 * time.Millisecond
	freshList   = 950 * time.Millisecond
	// leaveAfter is the time after the last question that a reader answered
	// well from which a node reads by itself, whatever holds up the next one.
	leaveAfter = 800 * time.Millisecond
)

// news keeps a node's knowledge of the deployment young. A few nodes read the
// store; the others ask them. Who gets no young answer reads by itself, and
// who can't do that either asks any peer. Ages are counted from the moment of
// a question, so a late answer never makes knowledge look younger.
type news struct {
	feeds  *feeds.Feeds
	mesh   *share.Mesh
	decode func(raw []byte) (*topol.Catalog, error)
	logger zerolog.Logger

	// served is when the question was sent that a reader last answered well.
	served clock.Atomic
	// reader tells that this node reads the store for others.
	reader atomic.Bool
}

// follows reports whether a reader serves this node at present.
func (n *news) follows() bool {
	return !n.reader.Load() && clock.Now().Sub(n.served.Load()) < leaveAfter
}

// state is what this node can tell a peer of the deployment.
func (n *news) state(a relay.StateArgs) relay.State {
	var st relay.State
	now := clock.Now()
	if c := n.feeds.Catalog(); c != nil {
		st.Version = c.Version
		st.Proven, st.ProvenAge = true, now.Sub(n.feeds.CatalogConfirmedAt())
		if c.Version > a.Version {
			st.Raw = c.Raw
		}
	}
	if s := n.feeds.Snapshot(); s.List != nil && n.feeds.MatchesSource(now) {
		st.Listed, st.ListedAge, st.List = true, now.Sub(s.At), s.List.ID
		if s.List.ID != a.List {
			st.Endpoints = s.Endpoints
		}
	}
	return st
}

// run asks readers, or any peer while this node's own knowledge is old.
func (n *news) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay.For(ctx, pullEvery)
		n.mesh.Sweep(time.Now())
		n.pull()
	}
}

func (n *news) pull() {
	rs := n.mesh.Readers(readers, time.Now())
	reads := slices.Contains(rs, n.mesh.Self.Address)
	n.reader.Store(reads)
	settled := n.feeds.MatchesSource(clock.Now())
	if reads && !n.feeds.SourceDown() && settled {
		return
	}
	for _, a := range rs {
		asked := clock.Now()
		if a != n.mesh.Self.Address && n.ask(a, asked) {
			n.served.Store(asked)
			return
		}
	}
	n.served.Store(0)
	if n.old() || !settled {
		n.askAny()
	}
}

// old reports whether this node's knowledge is older than a reader's should be.
func (n *news) old() bool {
	now := clock.Now()
	return now.Sub(n.feeds.CatalogConfirmedAt()) > freshConfig+pullEvery || now.Sub(n.feeds.EndpointsConfirmedAt()) > freshList+pullEvery
}

func (n *news) askAny() {
	for _, a := range n.mesh.ConnectedAddresses() {
		if n.ask(a, clock.Now()) {
			return
		}
	}
}

// ask takes what a peer knows. It reports whether that is young.
func (n *news) ask(address string, asked clock.Instant) bool {
	var a relay.StateArgs
	if c := n.feeds.Catalog(); c != nil {
		a.Version = c.Version
	}
	if f := n.feeds.Endpoints(); f != nil {
		a.List = f.ID
	}
	st, err := n.mesh.FetchState(address, a)
	if err != nil {
		return false
	}
	return n.adopt(st, asked)
}

func (n *news) adopt(st relay.State, asked clock.Instant) bool {
	if len(st.Raw) > 0 {
		c, err := n.decode(st.Raw)
		if err != nil {
			n.logger.Error().Err(err).Msg("news: a peer's configuration can't be read")
			return false
		}
		n.feeds.UpdateCatalog(c)
	}
	if st.Listed && len(st.Endpoints) > 0 {
		n.feeds.UpdateEndpoints(st.Endpoints, asked.Add(-st.ListedAge))
	} else if st.Listed {
		n.feeds.ConfirmEndpoints(st.List, asked.Add(-st.ListedAge))
	}
	c := n.feeds.Catalog()
	if c == nil || !st.Proven || st.Version > c.Version {
		return false
	}
	if st.Version == c.Version {
		n.feeds.ConfirmCatalog(asked.Add(-st.ProvenAge))
	}
	return st.ProvenAge < freshConfig && st.Listed && st.ListedAge < freshList
}
