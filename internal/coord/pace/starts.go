package pace

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// forgetTime is how long an endpoint is known after it was last listed. An outage of the
// source may take it off the list for a time.
const forgetTime = time.Minute

// Change is what a new list of endpoints tells of one of them.
type Change struct {
	Endpoint *topol.Endpoint
	// IsFirst is set for the endpoints of the first list, IsNew for those that have started
	// since.
	IsFirst, IsNew bool
	// States is set if the record states a time for which the endpoint remains cold, and the
	// record before did not state the same.
	States bool
}

// Starts finds the starts of endpoints in the lists of endpoints. It is not safe for concurrent
// use.
type Starts struct {
	// services are those of which a list is known.
	services ident.Set[ident.ServiceName]
	seen     map[quota.Key]seenEndpoint
}

type seenEndpoint struct {
	cold     time.Duration
	states   bool
	sequence float64
	at       time.Time
}

// Key identifies the start of an endpoint.
func Key(e *topol.Endpoint) quota.Key { return quota.Key{Endpoint: e.Name, Born: e.Born} }

// Observe compares the endpoints of a service with those listed before.
func (s *Starts) Observe(n ident.ServiceName, es []*topol.Endpoint, now time.Time) []Change {
	if s.seen == nil {
		s.seen, s.services = map[quota.Key]seenEndpoint{}, ident.Set[ident.ServiceName]{}
	}
	isFirst := !s.services.Has(n)
	s.services.Add(n)
	var cs []Change
	for _, e := range es {
		old, known := s.seen[Key(e)]
		s.seen[Key(e)] = seenEndpoint{e.Cold, e.StatesCold, e.ColdSequence, now}
		c := Change{
			Endpoint: e, IsFirst: isFirst, IsNew: !known && !isFirst,
			States: e.StatesCold && (!known || !old.states || old.cold != e.Cold || old.sequence != e.ColdSequence),
		}
		if c.IsFirst || c.IsNew || c.States {
			cs = append(cs, c)
		}
	}
	return cs
}

// Forget forgets a service whose endpoints are never cold.
func (s *Starts) Forget(n ident.ServiceName) { delete(s.services, n) }

// Expire forgets the endpoints that have not been listed for forgetTime.
func (s *Starts) Expire(now time.Time) {
	for k, e := range s.seen {
		if now.Sub(e.at) > forgetTime {
			delete(s.seen, k)
		}
	}
}
