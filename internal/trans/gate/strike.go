package gate

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

// maxStrikes is the number of strikes at which a request is no longer sent to
// endpoints.
const maxStrikes = 3

// strikes counts the endpoints that each request may have crashed. It is safe
// for concurrent use.
type strikes struct {
	mu    sync.Mutex
	table *strik.Table
}

func (s *strikes) add(ss ...strik.Strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		s.table = strik.New()
	}
	for _, x := range ss {
		s.table.Add(x)
	}
}

func (s *strikes) count(d strik.Digest, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return 0
	}
	return s.table.Count(d, now).All
}

// barredFor returns how long a request with at least maxStrikes strikes is not sent.
func (s *strikes) barredFor(d strik.Digest, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return 0
	}
	return s.table.FallsBelow(d, maxStrikes, now).Sub(now)
}

// hasAny reports whether any request has strikes.
func (s *strikes) hasAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.table.Len() > 0
}

func (s *strikes) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil {
		s.table.Expire(now)
	}
}

// AddStrikes adds strikes that peers, or this node, recorded.
func (s *Server) AddStrikes(ss []strik.Strike) {
	for _, k := range ss {
		// A connection was broken, which peers announce as a failure too.
		s.clearLost(k.Endpoint)
	}
	s.strikes.add(ss...)
	s.addPartStrikes(ss...)
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
	h := xxhash.New()
	if x.workspace != nil {
		h.WriteString(string(x.workspace.Name))
	}
	h.Write([]byte{0})
	h.Write(x.request.Target)
	h.Write([]byte{0})
	h.Write(x.body)
	return strik.Digest(h.Sum64())
}

// newStrike returns a strike of the request: the endpoint's connection broke while it ran
// the request.
func (x *exchange) newStrike(n ident.EndpointName, sentAt, now time.Time) *strik.Strike {
	return &strik.Strike{Digest: x.digest(), Endpoint: n, At: now, Parts: x.reqHeader.SharedParts, Took: now.Sub(sentAt), Trial: len(x.onTrial) > 0}
}

// addStrike records a strike of the request and informs the peers.
func (x *exchange) addStrike(k strik.Strike) {
	s := x.server
	s.AddStrikes([]strik.Strike{k})
	s.AnnounceStrike(k)
	s.getMetrics().strikes.Inc()
	s.requestLog(false).Str("request", x.reqHeader.ID).Str("endpoint", string(k.Endpoint)).Stringers("parts", partNames(k.Parts)).
		Int("strikes", s.strikes.count(k.Digest, k.At)).Msg("gate: endpoint broke the connection of a request in flight")
}

// crashesEndpoints reports whether the request has so many strikes that it is
// no longer sent to endpoints.
func (x *exchange) crashesEndpoints(now time.Time) bool {
	return x.server.strikes.hasAny() && x.server.strikes.count(x.digest(), now) >= maxStrikes
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
