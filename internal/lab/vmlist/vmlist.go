// Package vmlist is a stand-in for the platform's list of live and leaving
// VMs.
package vmlist

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/flaky"
	"laburnumstack.org/laburnum/internal/lab/httpd"
	"laburnumstack.org/laburnum/pkg/ident"
)

// VM is one entry of the list.
type VM struct {
	Name       string
	Address    string
	DataCentre ident.DataCentre
	// Role is Node or Endpoint.
	Role string
	// Leaving tells that the VM is going away.
	Leaving bool
}

// Server is the list. Changes show after the lag.
type Server struct {
	// Address is the address to listen on.
	Address string
	Lag     time.Duration

	mu       sync.Mutex
	versions []version
	listener *flaky.Listener
}

type version struct {
	at  time.Time
	vms []VM
}

// Listen opens the listener, so that the address is known before Run.
func (s *Server) Listen() error {
	l, err := httpd.Listen(&s.Address)
	if err != nil {
		return err
	}
	s.listener = l
	s.versions = []version{{}}
	return nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	web := &httpd.Server{Handler: s.handle, Listener: s.listener}
	return web.Run(ctx)
}

// Set adds or replaces an entry.
func (s *Server) Set(v VM) {
	s.change(func(vs []VM) []VM {
		vs = slices.DeleteFunc(vs, func(o VM) bool { return o.Name == v.Name })
		return append(vs, v)
	})
}

// Remove drops an entry.
func (s *Server) Remove(name string) {
	s.change(func(vs []VM) []VM {
		return slices.DeleteFunc(vs, func(o VM) bool { return o.Name == name })
	})
}

func (s *Server) change(f func([]VM) []VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.versions[len(s.versions)-1].vms
	s.versions = append(s.versions, version{time.Now(), f(slices.Clone(last))})
}

func (s *Server) visible(now time.Time) []VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.versions) > 1 && now.Sub(s.versions[1].at) >= s.Lag {
		s.versions = s.versions[1:]
	}
	return s.versions[0].vms
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/vms" {
		httpd.WriteError(ctx, fasthttp.StatusNotFound, "not-found", "no such call")
		return
	}
	if !ctx.IsPost() {
		httpd.WriteJSON(ctx, fasthttp.StatusOK, append([]VM{}, s.visible(time.Now())...))
		return
	}
	var v VM
	if httpd.DecodeBody(ctx, &v) {
		s.Set(v)
	}
}
