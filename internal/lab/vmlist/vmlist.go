// Package vmlist is a stand-in for the platform's list of VMs. It lists the running
// VMs, including those that are about to be removed.
package vmlist

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/httpd"
	"laburnumstack.org/laburnum/pkg/ident"
)

// VM is an entry of the list.
type VM struct {
	Name       string
	Address    string
	DataCentre ident.DataCentre
	// Role is "Node" or "Endpoint".
	Role string
	// Leaving is set if the VM is about to be removed.
	Leaving bool
}

// Server serves the list. The exported fields are set before Listen.
type Server struct {
	// Address is the address to listen on. Listen sets the port if it is zero.
	Address string
	// Lag is the time until a change of the list is visible.
	Lag time.Duration

	mu        sync.Mutex
	snapshots []snapshot
	web       httpd.Server
}

// snapshot is the list after a change.
type snapshot struct {
	changedAt time.Time
	vms       []VM
}

// Listen opens the listener and sets Address to the actual address. It is separate
// from Run so that clients can be given the address before. It must be called before
// Set and Remove.
func (s *Server) Listen() error {
	s.web.Handler = s.handle
	s.snapshots = []snapshot{{}}
	return s.web.Listen(&s.Address)
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error { return s.web.Run(ctx) }

// Set adds or replaces an entry.
func (s *Server) Set(v VM) {
	s.change(func(vms []VM) []VM {
		vms = slices.DeleteFunc(vms, func(e VM) bool { return e.Name == v.Name })
		return append(vms, v)
	})
}

// Remove removes an entry.
func (s *Server) Remove(name string) {
	s.change(func(vms []VM) []VM {
		return slices.DeleteFunc(vms, func(e VM) bool { return e.Name == name })
	})
}

// change adds a snapshot with a changed copy of the list.
func (s *Server) change(f func([]VM) []VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.snapshots[len(s.snapshots)-1].vms
	s.snapshots = append(s.snapshots, snapshot{time.Now(), f(slices.Clone(last))})
}

// visibleVMs returns the list as it was Lag ago and drops earlier snapshots.
func (s *Server) visibleVMs(now time.Time) []VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.snapshots) > 1 && now.Sub(s.snapshots[1].changedAt) >= s.Lag {
		s.snapshots = s.snapshots[1:]
	}
	return s.snapshots[0].vms
}

// handle lists the VMs at /vms, or for POST, adds or replaces the VM in the request
// body.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/vms" {
		httpd.WriteError(ctx, fasthttp.StatusNotFound, "not-found", "no such call")
		return
	}
	if !ctx.IsPost() {
		httpd.WriteJSON(ctx, fasthttp.StatusOK, append([]VM{}, s.visibleVMs(time.Now())...))
		return
	}
	var v VM
	if httpd.DecodeBody(ctx, &v) {
		s.Set(v)
	}
}
