package gate

import (
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

// maxCrashes is the number of endpoints whose connection broke under a request
// from which the request is sent no more.
const maxCrashes = 3

// strikes counts the endpoints that requests may have crashed. It is safe for
// concurrent use.
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

// any reports whether any request has strikes.
func (s *strikes) any() bool {
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

// Struck takes strikes that peers counted.
func (s *Server) Struck(ss []strik.Strike) { s.strikes.add(ss...) }

// Failed takes endpoints that a peer could not reach.
func (s *Server) Failed(ns []ident.EndpointName) {
	now := time.Now()
	for _, n := range ns {
		s.health.failed(n, now)
	}
}

// digest identifies the request's workspace and content.
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

// strike counts an endpoint whose connection broke under the request.
func (x *exchange) strike(n ident.EndpointName, now time.Time) {
	s := strik.Strike{Digest: x.digest(), Endpoint: n, At: now}
	x.server.strikes.add(s)
	x.server.Strike(s)
}

// crashes reports whether the request is known to crash endpoints.
func (x *exchange) crashes(now time.Time) bool {
	return x.server.strikes.any() && x.server.strikes.count(x.digest(), now) >= maxCrashes
}

// broke reports whether an error is the other end's breaking of a connection.
func broke(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
