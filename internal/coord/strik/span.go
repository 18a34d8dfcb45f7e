package strik

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// orderTolerance is by how much the times of two strikes of other nodes may be out of order: a
// request that is sent again at once follows the crash by less than messages differ in their
// delays.
const orderTolerance = 50 * time.Millisecond

// span is the time from when a request was sent until its endpoint crashed.
type span struct {
	from, to time.Time
	endpoint ident.EndpointName
}

// overlaps reports whether two requests were in flight at one time, so that their strikes count
// once. At one endpoint the order is strict, or the requests in flight at one crash would
// count as several.
func (s span) overlaps(o span) bool {
	var tolerance time.Duration
	if s.endpoint != o.endpoint {
		tolerance = orderTolerance
	}
	return !s.from.Add(tolerance).After(o.to) && !o.from.Add(tolerance).After(s.to)
}

// repeats reports whether the strike of a whole request may be of a crash that has been counted: at
// the same endpoint, or by a peer. Copies of one request that crash several endpoints at one
// time count for each.
func (s span) repeats(o span) bool {
	isFromPeer := o.from.IsZero()
	return (s.endpoint == o.endpoint || isFromPeer) && s.overlaps(o)
}
