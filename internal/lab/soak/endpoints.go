package soak

import (
	"context"
	"fmt"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// entryLife is how long the entry of an endpoint that crashed stays.
	entryLife = time.Second
	// reuseAfter is the pause before an address is used again.
	reuseAfter = 500 * time.Millisecond
	// serveOn is how long an endpoint that left goes on beyond the bound.
	serveOn = 1500 * time.Millisecond
)

// list writes an endpoint's record.
func (s *Soak) list(e topol.Endpoint) error {
	b, err := s.Deployment.Endpoint(e)
	if err != nil {
		return err
	}
	s.store.Put(feeds.Endpoints, string(e.Name), b)
	return nil
}

// newEndpoint names a start of an endpoint.
func (s *Soak) newEndpoint(e *server, service ident.ServiceName) topol.Endpoint {
	n := s.starts.Add(1)
	return topol.Endpoint{
		Name: ident.EndpointName(fmt.Sprintf("e%d", n)), Service: service, Address: e.proxy.Address(),
		DataCentre: dataCentres[int(n)%len(dataCentres)], Slots: slots, Born: time.Now().UnixMilli(),
	}
}

// renew starts an endpoint that has stopped, under a new name and at the same
// address.
func (s *Soak) renew(ctx context.Context, e *server) error {
	delay.For(ctx, reuseAfter)
	next := s.newEndpoint(e, e.endpoint().Service)
	if err := e.start(next); err != nil {
		return err
	}
	return s.list(next)
}

// replace empties an endpoint, takes it away and starts another.
func (s *Soak) replace(ctx context.Context, e *server) error {
	e.turn.Lock()
	defer e.turn.Unlock()
	leaving := e.setLeaving()
	if err := s.list(leaving); err != nil {
		return err
	}
	s.journal.Left(leaving.Name)
	delay.For(ctx, s.Bounds.Drain+serveOn)
	s.store.Put(feeds.Endpoints, string(leaving.Name), nil)
	e.stop()
	return s.renew(ctx, e)
}

// crash ends an endpoint without a word, or takes only its entry away.
func (s *Soak) crash(ctx context.Context, e *server, st Step) error {
	e.turn.Lock()
	defer e.turn.Unlock()
	name := e.endpoint().Name
	if st.Fault == CrashEndpoint {
		e.stop()
		delay.For(ctx, entryLife)
	}
	s.store.Put(feeds.Endpoints, string(name), nil)
	s.journal.Left(name)
	delay.For(ctx, st.For)
	if st.Fault == LapseEndpoint {
		delay.For(ctx, s.Bounds.Drain+serveOn)
		e.stop()
	}
	return s.renew(ctx, e)
}
