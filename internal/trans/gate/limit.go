package gate

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// nodesAge is how long the nodes that share limits are taken to be the same.
const nodesAge = 200 * time.Millisecond

// errLimited means that endpoints which could serve the request accept no more
// requests now.
const errLimited = errors.ConstError("endpoints are at the limits that they name")

// endpointLimits holds the limits that endpoints name. It is safe for concurrent
// use.
type endpointLimits struct {
	// count is the number of endpoints that have named a limit.
	count atomic.Int64

	mu    sync.Mutex
	table quota.Table
	// nodes are those of nodesAt, which findNodes returned.
	findNodes func(now time.Time) quota.Nodes
	nodes     quota.Nodes
	nodesAt   time.Time
}

// limitTable returns the limits that endpoints name. They are created at the first
// call: peers may tell of limits before Run.
func (s *Server) limitTable() *endpointLimits {
	s.limitsOnce.Do(func() {
		l := &s.endpointLimits
		l.findNodes, l.table.Share = s.Nodes, l.share
	})
	return &s.endpointLimits
}

// share returns the part of a rate that this node may use. The caller holds l.mu.
func (l *endpointLimits) share(k quota.Key, rate float64) float64 {
	if now := time.Now(); now.Sub(l.nodesAt) > nodesAge {
		l.nodes, l.nodesAt = l.findNodes(now), now
	}
	return l.nodes.Share(k, rate)
}

func (l *endpointLimits) record(x quota.Limit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.table.Record(x, now)
	l.count.Store(int64(l.table.Len()))
	return changed
}

// take reports whether a request may be sent to an endpoint now, and if so counts
// it.
func (l *endpointLimits) take(e *topol.Endpoint, now time.Time) bool {
	if l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Take(limitKey(e), now)
}

// limitedEndpoints are the endpoints of a service that name limits or are cold.
type limitedEndpoints struct {
	// all are all of them, atLimit those that may not get a request of this node
	// now.
	all, atLimit ident.Set[ident.EndpointName]
	// wait is the shortest time until one of those in atLimit may get a request, of
	// this node or of another.
	wait time.Duration
	// cold are those in atLimit that addCold has excluded.
	cold ident.Set[ident.EndpointName]
}

// add adds an endpoint that names a limit or is cold.
func (f *limitedEndpoints) add(n ident.EndpointName) {
	if f.all == nil {
		f.all, f.atLimit = ident.Set[ident.EndpointName]{}, ident.Set[ident.EndpointName]{}
	}
	f.all.Add(n)
}

// exclude adds an endpoint that may not get a request of this node now.
func (f *limitedEndpoints) exclude(n ident.EndpointName, wait time.Duration) {
	if len(f.atLimit) == 0 || wait < f.wait {
		f.wait = wait
	}
	f.atLimit.Add(n)
}

// among returns the endpoints of a list that name limits.
func (l *endpointLimits) among(es []*topol.Endpoint, now time.Time) limitedEndpoints {
	var found limitedEndpoints
	if l.count.Load() == 0 {
		return found
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range es {
		if e.Leaving || !l.table.Limited(limitKey(e)) {
			continue
		}
		found.add(e.Name)
		wait, ok := l.table.Wait(limitKey(e), now)
		if ok && wait == 0 {
			continue
		}
		found.exclude(e.Name, wait)
	}
	return found
}

// limits reports whether an endpoint names a limit.
func (l *endpointLimits) limits(e *topol.Endpoint) bool {
	if l.count.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Limited(limitKey(e))
}

func limitKey(e *topol.Endpoint) quota.Key { return quota.Key{Endpoint: e.Name, Born: e.Born} }

// observeLimit records the limit in the header of an endpoint's response, or that
// there is none.
func (s *Server) observeLimit(e *topol.Endpoint, h relay.ResponseHeader, now time.Time) {
	if !h.HasLimit && s.endpointLimits.count.Load() == 0 {
		return
	}
	l := quota.Limit{Key: limitKey(e), Rate: h.Limit, Ended: !h.HasLimit, ObservedAt: now}
	if s.limitTable().record(l, now) {
		s.Logger.Info().Str("endpoint", string(e.Name)).Float64("limit", l.Rate).Bool("ended", l.Ended).Msg("gate: endpoint changed its limit")
		s.AnnounceLimits(l)
	}
}

// AddPeerLimits records limits of endpoints that a peer knows.
func (s *Server) AddPeerLimits(ls []quota.Limit) {
	now := time.Now()
	for _, l := range ls {
		if s.limitTable().record(l, now) {
			s.Logger.Info().Str("endpoint", string(l.Endpoint)).Float64("limit", l.Rate).Bool("ended", l.Ended).Msg("gate: a peer told of the limit of an endpoint")
		}
	}
}

// Limits returns the limits of endpoints, for a new peer.
func (s *Server) Limits() []quota.Limit {
	s.endpointLimits.mu.Lock()
	defer s.endpointLimits.mu.Unlock()
	return s.endpointLimits.table.Limits()
}

// Permit takes a request to an endpoint out of this node's share of the endpoint's
// limit, for a peer.
func (s *Server) Permit(k quota.Key) relay.Permit {
	l := s.limitTable()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.table.Knows(k) {
		// The peer knows more than this node.
		return relay.Permit{Wait: retrySoon}
	}
	if l.table.Take(k, now) {
		return relay.Permit{Granted: true}
	}
	wait, _ := l.table.Wait(k, now)
	return relay.Permit{Wait: wait}
}

// user returns one of the nodes that have a share of the limit of an endpoint, at
// random, or an empty name if there is no other one.
func (l *endpointLimits) user(e *topol.Endpoint) ident.NodeName {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, limited := l.table.Rate(limitKey(e))
	if !limited {
		return ""
	}
	users := slices.DeleteFunc(l.nodes.Users(limitKey(e), rate), func(n ident.NodeName) bool { return n == l.nodes.Self })
	if len(users) == 0 {
		return ""
	}
	return users[int(random()*float64(len(users)))]
}

// fetchPermit asks for the permission to send the request to one of the endpoints
// that are at their limits, if it can be sent to no other. It reports whether it got
// one; otherwise it updates the time after which the caller should retry.
func (x *exchange) fetchPermit() bool {
	s := x.server
	for _, e := range x.candidates(time.Now()) {
		if !x.limited.atLimit.Has(e.Name) || x.limited.cold.Has(e.Name) || x.tried.Has(e.Name) {
			continue
		}
		user := s.limitTable().user(e)
		if user == "" {
			continue
		}
		p, err := s.FetchPermit(user, limitKey(e))
		switch {
		case err != nil:
			s.requestLog(false).Err(err).Str("request", x.reqHeader.ID).Str("peer", string(user)).Str("endpoint", string(e.Name)).Msg("gate: no answer to a request for a permit")
		case p.Granted:
			x.permitted = e.Name
			return true
		default:
			x.limited.wait = min(x.limited.wait, p.Wait)
		}
		return false
	}
	return false
}

// takeLimit reports whether the request may be sent to an endpoint now by its limit, and by
// its bounds while it is cold or in slow start, and if so counts it. A permit of another node has been counted there.
func (x *exchange) takeLimit(e *topol.Endpoint) bool {
	turn, ok := x.takeSlow(e, time.Now())
	if !ok {
		return false
	}
	x.turn = turn
	if !x.server.takeCold(e, time.Now()) {
		x.returnTurn()
		return false
	}
	if x.permitted == e.Name {
		x.permitted = ""
		return true
	}
	if !x.server.endpointLimits.take(e, time.Now()) {
		x.releaseUnsent(e)
		return false
	}
	return true
}

// returnTurn gives back the turn that takeLimit took at an endpoint in slow start.
func (x *exchange) returnTurn() {
	x.server.releaseSlow(x.turn)
	x.turn = nil
}

// releaseUnsent gives back the turns that takeLimit took for a request that is not sent.
func (x *exchange) releaseUnsent(e *topol.Endpoint) {
	x.server.abandonCold(e)
	x.returnTurn()
}

// refreshLimits drops the limits of endpoints that are gone, and repeats to the
// peers those that this node holds on their behalf.
func (s *Server) refreshLimits(now time.Time) {
	endpoints := s.Feeds.Endpoints()
	if endpoints == nil || s.endpointLimits.count.Load() == 0 {
		return
	}
	exists := func(k quota.Key) bool {
		e := endpoints.ByName[k.Endpoint]
		return e != nil && limitKey(e) == k
	}
	l := s.limitTable()
	l.mu.Lock()
	held := l.table.Refresh(now, exists)
	l.count.Store(int64(l.table.Len()))
	l.mu.Unlock()
	if len(held) > 0 {
		s.AnnounceLimits(held...)
	}
}
