// Package reach decides which endpoints a node can't reach over its own links although
// peers can, and over which peer it sends to them instead.
package reach

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// minLost is the number of lost links at which a node without any sign of life on
	// the others counts as isolated, if there are so many endpoints.
	minLost = 3
	// recheckPause is the time between two checks whether a lost link works again.
	recheckPause = time.Second
	// maxChecks bounds the links that are checked at one time.
	maxChecks = 4
	// SilenceLimit is how long requests may wait without any sign of life on all links
	// until the node checks whether it is isolated.
	SilenceLimit = 500 * time.Millisecond
	// silenceRecheck is the time between two such checks.
	silenceRecheck = time.Second
	// remoteCost is the factor on the load of a peer in another data centre.
	remoteCost = 2
)

// Links holds what a node knows of its links to the endpoints. It is not safe for
// concurrent use.
type Links struct {
	// lost holds the endpoints that the node can't reach although a peer can.
	lost map[ident.EndpointName]*lostLink
	// heardAt is when bytes last arrived from an endpoint over any link of this node.
	heardAt time.Time
	// silenceCheckedAt is when StartSilenceCheck last returned true.
	silenceCheckedAt time.Time
}

type lostLink struct {
	since, checkedAt time.Time
}

// New returns a Links without lost links.
func New() *Links { return &Links{lost: map[ident.EndpointName]*lostLink{}} }

// Hear records that bytes arrived from an endpoint over a link of this node.
func (l *Links) Hear(now time.Time) { l.heardAt = now }

// Lose records that a peer reaches an endpoint that this node doesn't reach. It reports
// whether that was not known.
func (l *Links) Lose(n ident.EndpointName, now time.Time) bool {
	if l.lost[n] != nil {
		return false
	}
	l.lost[n] = &lostLink{since: now, checkedAt: now}
	return true
}

// Restore records that the node reaches an endpoint over a link of its own. If it was
// isolated, the other links are taken to work again too.
func (l *Links) Restore(n ident.EndpointName, endpoints int, now time.Time) {
	if l.Isolated(endpoints) {
		clear(l.lost)
	}
	delete(l.lost, n)
	l.heardAt = now
}

// Forget drops what is known of the link to an endpoint, which gets no requests for a time.
func (l *Links) Forget(n ident.EndpointName) { delete(l.lost, n) }

// Len returns the number of lost links.
func (l *Links) Len() int { return len(l.lost) }

// Isolated reports whether the node has probably lost its links to all endpoints, of which
// there are the given number.
func (l *Links) Isolated(endpoints int) bool {
	if len(l.lost) == 0 || len(l.lost) < min(minLost, endpoints) {
		return false
	}
	for _, x := range l.lost {
		if !l.heardAt.Before(x.since) {
			return false
		}
	}
	return true
}

// Direct reports whether requests to an endpoint are sent over a link of this node first.
func (l *Links) Direct(n ident.EndpointName, endpoints int) bool {
	return l.lost[n] == nil && !l.Isolated(endpoints)
}

// DueChecks returns the lost links that should be checked now, and drops those to
// endpoints that don't exist any more.
func (l *Links) DueChecks(now time.Time, exists func(ident.EndpointName) bool) []ident.EndpointName {
	var due []ident.EndpointName
	for n, x := range l.lost {
		switch {
		case !exists(n):
			delete(l.lost, n)
		case now.Sub(x.checkedAt) >= recheckPause && len(due) < maxChecks:
			x.checkedAt = now
			due = append(due, n)
		}
	}
	return due
}

// StartSilenceCheck reports whether the node should check now whether it is isolated.
// waitingSince is when the oldest request was sent that waits on a link.
func (l *Links) StartSilenceCheck(waitingSince, now time.Time) bool {
	if now.Sub(waitingSince) < SilenceLimit || now.Sub(l.heardAt) < SilenceLimit || now.Sub(l.silenceCheckedAt) < silenceRecheck {
		return false
	}
	l.silenceCheckedAt = now
	return true
}

// Peer is another node over which requests can be sent.
type Peer struct {
	Name       ident.NodeName
	Address    string
	DataCentre ident.DataCentre
	// Cores is the processor capacity of the node; zero if unknown.
	Cores float64
	// Isolated is set if the node has lost its own links, Leaving if it stops.
	Isolated, Leaving bool
	// Requests is the number of its requests in flight.
	Requests int
}

// load returns the requests per core, in which a node in another data centre counts
// as more loaded.
func (p Peer) load(c ident.DataCentre) float64 {
	load := float64(p.Requests + 1)
	if p.Cores > 0 {
		load /= p.Cores
	}
	if p.DataCentre != c {
		load *= remoteCost
	}
	return load
}

// Order sorts peers by how well a node of a data centre sends over them, the best first,
// and leaves out the isolated ones. random returns numbers in [0,1) that spread nodes over
// peers of equal load.
func Order(ps []Peer, c ident.DataCentre, random func() float64) []Peer {
	type ranked struct {
		Peer
		cost float64
	}
	var rs []ranked
	for _, p := range ps {
		if !p.Isolated {
			rs = append(rs, ranked{p, p.load(c) * (1 + random())})
		}
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		return cmp.Or(compareBool(a.Leaving, b.Leaving), cmp.Compare(a.cost, b.cost))
	})
	ordered := make([]Peer, len(rs))
	for i, r := range rs {
		ordered[i] = r.Peer
	}
	return ordered
}

// Candidates returns the peers over which a node tries to send, at most one of each of
// these kinds: the best in the order of Order, the best of another data centre, and one at
// random. Peers that are cut too and don't know it yet have little load, and may be a
// whole data centre.
func Candidates(ps []Peer, c ident.DataCentre, random func() float64) []Peer {
	ordered := Order(ps, c, random)
	var chosen []Peer
	take := func(i int) {
		if i >= 0 && i < len(ordered) {
			chosen = append(chosen, ordered[i])
			ordered = slices.Delete(ordered, i, i+1)
		}
	}
	take(0)
	take(slices.IndexFunc(ordered, func(p Peer) bool { return p.DataCentre != c }))
	take(int(random() * float64(len(ordered))))
	return chosen
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
