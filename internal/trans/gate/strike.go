package gate

import (
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

// AddStrikes adds strikes that peers, or this node, recorded.
func (s *Server) AddStrikes(ss []strik.Strike) {
	for _, k := range ss {
		// A connection was broken, which peers announce as a failure too.
		s.clearLost(k.Endpoint)
	}
	var barred []ident.PartID
	s.strikes.Update(func(t *strik.Parts) {
		for _, k := range ss {
			barred = append(barred, t.Add(k)...)
		}
	})
	for _, p := range barred {
		s.Logger.Warn().Stringer("part", p).Bool("request", isRequest(ss, p)).Msg("gate: requests with a part that crashes endpoints are no longer sent")
	}
}

// isRequest reports whether a part stands for the whole request of one of some strikes.
func isRequest(ss []strik.Strike, p ident.PartID) bool {
	return slices.ContainsFunc(ss, func(k strik.Strike) bool { return k.Digest.Part() == p })
}

// AddPeerBreaks records endpoints that live, but broke the connection of a peer's request.
func (s *Server) AddPeerBreaks(ns []ident.EndpointName) {
	now := time.Now()
	for _, n := range ns {
		s.endpointHealth.recordFailure(n, now)
	}
}

// AddPeerFailures records failures of endpoints that a peer announced.
func (s *Server) AddPeerFailures(ns []ident.EndpointName) {
	now := time.Now()
	for _, n := range ns {
		s.recordLost(n, now)
	}
}

// digest returns a hash of the request's workspace, target and body.
func (x *exchange) digest() strik.Digest {
	if x.hasDigest {
		return x.digestValue
	}
	h := xxhash.New()
	if x.workspace != nil {
		h.WriteString(string(x.workspace.Name))
	}
	h.Write([]byte{0})
	h.Write(x.request.Target)
	h.Write([]byte{0})
	h.Write(x.body)
	x.digestValue, x.hasDigest = strik.Digest(h.Sum64()), true
	return x.digestValue
}

// newStrike returns a strike of the request: the endpoint's connection broke while it ran
// the request.
func (x *exchange) newStrike(n ident.EndpointName, sentAt, now time.Time) *strik.Strike {
	return &strik.Strike{Digest: x.digest(), Endpoint: n, At: now, Parts: x.reqHeader.SharedParts, Took: now.Sub(sentAt), Trial: x.trial != nil}
}

// await keeps a strike until the cause of the break is known.
func (s *Server) await(k *strik.Strike) (p *strik.Pending) {
	if k != nil {
		s.strikes.Update(func(t *strik.Parts) { p = t.Await(*k) })
	}
	return p
}

// resolve ends the wait for the cause of a break. If the endpoint has crashed, and the request has
// not ended well since, it records the strike and informs the peers.
func (x *exchange) resolve(p *strik.Pending, crashed bool) {
	s := x.server
	if p == nil {
		return
	}
	var k strik.Strike
	var stands bool
	s.strikes.Update(func(t *strik.Parts) { k, stands = t.Resolve(p) })
	if !crashed || !stands {
		return
	}
	s.AddStrikes([]strik.Strike{k})
	s.AnnounceStrike(k)
	s.getMetrics().strikes.Inc()
	s.requestLog(false).Str("request", x.reqHeader.ID).Str("endpoint", string(k.Endpoint)).Stringers("parts", partNames(k.Parts)).
		Stringer("digest", k.Digest.Part()).Msg("gate: endpoint crashed with a request in flight")
}

// isConnBroken reports whether an error means that the other end broke the
// connection.
func isConnBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isTimeout reports whether an error means that nothing more arrived in time.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
