// Package bysize counts, for each route, how many requests of each size class were made and
// served, and derives from that how admission should treat a prompt, so that each class gets
// its part of what the route serves. It is a deficit scheduler: a class that is behind goes
// first, and a class that is ahead waits as long as one that is behind does.
package bysize

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxRequests bounds the requests of a route that count: the latest ones.
	maxRequests = 2048
	// maxAge is the age above which a request no longer counts.
	maxAge = 10 * time.Minute
	// minRequests is the number of requests below which all classes are treated alike. So
	// does a node that has just started.
	minRequests = 5
	// A deficit of one request, or of this fraction of the class's part if that is more,
	// changes Favour by the factor e.
	unitFraction = 1.0 / 32
	// waitTime is how long a class counts as waiting after one of its requests was refused.
	waitTime = 3 * time.Second
	// minFavour and maxFavour bound the result of Favour.
	minFavour = 1.0 / 64
	maxFavour = 6
)

// RequestKey identifies a request over all its tries. It is zero if it isn't known.
type RequestKey uint64

// Decision says whether a request has been sent to endpoints, or was refused or broken off.
// The decision on a request that is recorded last holds, also if an older one arrives late.
type Decision struct {
	Route    ident.RouteName
	Request  RequestKey
	Prompt   ident.Tokens
	Admitted bool
	At       time.Time
}

// Table holds the latest requests of all routes. It is not safe for concurrent use.
type Table struct {
	byRoute map[ident.RouteName]*route
}

// request is a request with the latest decision on it.
type request struct {
	key    RequestKey
	prompt ident.Tokens
	served bool
	at     time.Time
}

// route holds the latest requests of one route.
type route struct {
	// arrived holds them in the order of their arrival, sorted in ascending order of
	// their size. byKey holds those with a known key.
	arrived, sorted []*request
	byKey           map[RequestKey]*request
}

// Record adds a decision. It returns the size class of the request, and whether this is the
// first decision on it.
func (t *Table) Record(d Decision) (class Class, isNew bool) {
	if t.byRoute == nil {
		t.byRoute = map[ident.RouteName]*route{}
	}
	r := t.byRoute[d.Route]
	if r == nil {
		r = &route{byKey: map[RequestKey]*request{}}
		t.byRoute[d.Route] = r
	}
	q, known := r.byKey[d.Request]
	if !known {
		q = &request{key: d.Request, prompt: d.Prompt}
		r.add(q)
	}
	q.served, q.at = d.Admitted, d.At
	return r.class(q.prompt), !known
}

func (r *route) add(q *request) {
	if len(r.arrived) == maxRequests {
		r.removeOldest()
	}
	r.arrived = append(r.arrived, q)
	r.sorted = slices.Insert(r.sorted, r.rank(q.prompt), q)
	if q.key != 0 {
		r.byKey[q.key] = q
	}
}

func (r *route) removeOldest() {
	q := r.arrived[0]
	r.arrived = slices.Delete(r.arrived, 0, 1)
	r.sorted = slices.DeleteFunc(r.sorted, func(o *request) bool { return o == q })
	delete(r.byKey, q.key)
}

// rank returns the number of requests with smaller prompts.
func (r *route) rank(prompt ident.Tokens) int {
	i, _ := slices.BinarySearchFunc(r.sorted, prompt, func(q *request, p ident.Tokens) int { return cmp.Compare(q.prompt, p) })
	return i
}

func (r *route) class(prompt ident.Tokens) Class { return ClassOf(r.rank(prompt), len(r.sorted)) }

// Expire drops old requests.
func (t *Table) Expire(now time.Time) {
	for n, r := range t.byRoute {
		for len(r.arrived) > 0 && now.Sub(r.arrived[0].at) > maxAge {
			r.removeOldest()
		}
		if len(r.arrived) == 0 {
			delete(t.byRoute, n)
		}
	}
}

// Favour returns the factor on what a prompt may cost others. It is above one if the
// prompt's size class has got less than its part of what the route served, below one if it
// has got more and a class that got less is waiting, and one otherwise.
func (t *Table) Favour(n ident.RouteName, prompt ident.Tokens, now time.Time) float64 {
	r := t.byRoute[n]
	if r == nil || len(r.arrived) < minRequests {
		return 1
	}
	cs := r.count(now)
	deficit := cs.deficit(r.class(prompt))
	if deficit < 0 && !cs.othersWait() {
		return 1
	}
	return max(minFavour, min(maxFavour, math.Exp(deficit)))
}

// counts holds the counts of a route's requests by class.
type counts [Classes]count

// count is a number of requests, and how many of them were served. waiting is set if one of
// the others was refused lately.
type count struct {
	asked, served float64
	waiting       bool
}

func (r *route) count(now time.Time) counts {
	var cs counts
	for i, q := range r.sorted {
		c := &cs[ClassOf(i, len(r.sorted))]
		c.asked++
		if q.served {
			c.served++
			continue
		}
		c.waiting = c.waiting || now.Sub(q.at) < waitTime
	}
	return cs
}

// deficit returns how much less a class got than its part of what the route served, in
// units of which each changes Favour by the factor e. It is negative if the class got more.
func (cs *counts) deficit(class Class) float64 {
	var all count
	for _, c := range cs {
		all.asked += c.asked
		all.served += c.served
	}
	own := cs[class]
	part := own.asked * all.served / all.asked
	return (part - own.served) / max(1, part*unitFraction)
}

// othersWait reports whether a class with a deficit is waiting.
func (cs *counts) othersWait() bool {
	for class := range Classes {
		if cs[class].waiting && cs.deficit(class) > 0 {
			return true
		}
	}
	return false
}
