package soak

import (
	"math/rand/v2"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// permanentKeyShare is the share of requests with the key that is never
	// revoked, revokedKeyShare the share of requests with a revoked key, once there
	// is one. The others use the newest key.
	permanentKeyShare = 0.5
	revokedKeyShare   = 0.1
)

func (s *Soak) newCaller() *caller {
	c := &caller{codec: s.Deployment, journal: s.journal, host: routeHost, pickNode: s.pickNode, pickKey: s.pickKey, requestCounter: &s.requestCounter, crashing: &s.crashing, idleTimeout: s.idleTimeout, longStreams: s.ConnFaults}
	if s.ConnFaults {
		c.trait = callerTraits[s.callers%len(callerTraits)]
	}
	s.callers++
	return c
}

// pickNode returns the name and the address of a random node in rotation, or of any
// node if none is.
func (s *Soak) pickNode(distant bool) (ident.NodeName, string) {
	at := rand.IntN(len(s.nodes))
	for i := range s.nodes {
		if n := s.nodes[(at+i)%len(s.nodes)]; n.inRotation() {
			return n.name(), n.addressFor(distant)
		}
	}
	n := s.nodes[at]
	return n.name(), n.addressFor(distant)
}

// pickKey returns the permanent key, the newest key or a revoked one at random, and
// whether it is the permanent one.
func (s *Soak) pickKey() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := rand.Float64()
	switch {
	case u < permanentKeyShare:
		return permanentKey, true
	case u < permanentKeyShare+revokedKeyShare && len(s.keys) > 2:
		return s.keys[1+rand.IntN(len(s.keys)-2)], false
	default:
		return s.keys[len(s.keys)-1], false
	}
}
