// Package sizes counts how often the prompts of each size class were served, also from the log
// lines of nodes.
package sizes

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Result counts requests.
type Result struct {
	Asked, Served int
}

// Add adds the counts of b.
func (r *Result) Add(b Result) {
	r.Asked += b.Asked
	r.Served += b.Served
}

// Share returns the served share of the requests.
func (r Result) Share() float64 { return float64(r.Served) / max(1, float64(r.Asked)) }

// Results holds the counts of a route by size class.
type Results [bysize.Classes]Result

// All returns the counts of all classes together.
func (rs Results) All() Result {
	var sum Result
	for _, r := range rs {
		sum.Add(r)
	}
	return sum
}

// Add adds the counts of each class of b.
func (rs *Results) Add(b Results) {
	for i := range rs {
		rs[i].Add(b[i])
	}
}

// Request is a request of a kind or route.
type Request struct {
	Prompt ident.Tokens
	Served bool
}

// Count returns the counts of each route by the lines of a run. Only requests with a digest
// count, which are those with prompts that may be deferred: all their lines are logged unless
// there are very many. Tries of one request have the same digest.
func Count(ls []trace.Line) map[string]Results {
	byRoute := map[string]map[string]Request{}
	for _, l := range ls {
		digest, route := l.Get("digest"), l.Get("route")
		if digest == "" {
			continue
		}
		if byRoute[route] == nil {
			byRoute[route] = map[string]Request{}
		}
		byRoute[route][digest] = byRoute[route][digest].withLine(l)
	}
	counts := map[string]Results{}
	for route, rs := range byRoute {
		counts[route] = CountRequests(slices.Collect(maps.Values(rs)))
	}
	return counts
}

// withLine returns a request with what one of its lines says of it.
func (r Request) withLine(l trace.Line) Request {
	// A value that can't be parsed leaves the size as it is.
	if n, err := strconv.ParseInt(l.Get("prompt"), 10, 64); err == nil {
		r.Prompt = ident.Tokens(n)
	}
	if l.Text == "gate: sent" && l.Get("result") == "complete" && l.Get("status") == "200" {
		r.Served = true
	}
	return r
}

// CountRequests returns the counts of the requests of one kind or route. It sorts rs by size.
func CountRequests(rs []Request) Results {
	slices.SortFunc(rs, func(a, b Request) int { return cmp.Compare(a.Prompt, b.Prompt) })
	var counts Results
	for i, r := range rs {
		c := &counts[bysize.ClassOf(i, len(rs))]
		c.Asked++
		if r.Served {
			c.Served++
		}
	}
	return counts
}

// Ratio returns the ratio between the served share of a class and that of all.
func (rs Results) Ratio(class bysize.Class) float64 {
	all := rs.All()
	if all.Served == 0 {
		return 1
	}
	return rs[class].Share() / all.Share()
}

// Write writes a line with the served share of all requests and, for each class, the served
// and the asked requests and the ratio between the class's share and that of all.
func Write(w io.Writer, name string, rs Results) {
	all := rs.All()
	fmt.Fprintf(w, "%s\tall %d of %d, %.2f", name, all.Served, all.Asked, all.Share())
	for class := range bysize.Classes {
		r := rs[class]
		fmt.Fprintf(w, "\t%s %d of %d, ratio %.2f", class, r.Served, r.Asked, rs.Ratio(class))
	}
	fmt.Fprintln(w)
}
