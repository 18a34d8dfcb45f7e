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
	// entryTimeout is how long a crashed endpoint stays in the store.
	entryTimeout = time.Second
	// addressReuseDelay is the pause before another endpoint uses the address of
	// one that stopped.
	addressReuseDelay = 500 * time.Millisecond
	// extraServeTime is how long a departed endpoint serves on beyond
	// Bounds.DrainDelay, so that requests that come too late are seen.
	extraServeTime = 1500 * time.Millisecond
)

// publishEndpoint writes an endpoint's record to the store.
func (s *Soak) publishEndpoint(e topol.Endpoint) error {
	b, err := s.Deployment.EncodeEndpoint(e)
	if err != nil {
		return err
	}
	s.store.Put(feeds.Endpoints, string(e.Name), b)
	return nil
}

// newEndpoint returns the record of an endpoint that is about to start. Each start
// gets a new name.
func (s *Soak) newEndpoint(e *server, service ident.ServiceName) topol.Endpoint {
	n := s.endpointCounter.Add(1)
	return topol.Endpoint{
		Name: ident.EndpointName(fmt.Sprintf("e%d", n)), Service: service, Address: e.proxy.Address(),
		DataCentre: dataCentres[int(n)%len(dataCentres)], Slots: endpointSlots, Born: time.Now().UnixMilli(),
	}
}

// restartEndpoint starts a stopped endpoint again, under a new name and at the same
// address.
func (s *Soak) restartEndpoint(ctx context.Context, e *server) error {
	delay.For(ctx, addressReuseDelay)
	next := s.newEndpoint(e, e.endpoint().Service)
	if err := e.start(next); err != nil {
		return err
	}
	return s.publishEndpoint(next)
}

// replaceEndpoint drains an endpoint, removes it and starts another in its place.
func (s *Soak) replaceEndpoint(ctx context.Context, e *server) error {
	e.replaceLock.Lock()
	defer e.replaceLock.Unlock()
	leaving := e.setLeaving()
	if err := s.publishEndpoint(leaving); err != nil {
		return err
	}
	s.journal.RecordDeparture(leaving.Name)
	delay.For(ctx, s.Bounds.DrainDelay+extraServeTime)
	s.store.Put(feeds.Endpoints, string(leaving.Name), nil)
	e.stop()
	return s.restartEndpoint(ctx, e)
}

// crashEndpoint stops an endpoint without draining it and removes its record later,
// or for LapseEndpoint, removes the record while the endpoint still serves. Both
// end with the start of another in its place.
func (s *Soak) crashEndpoint(ctx context.Context, e *server, f ScheduledFault) error {
	e.replaceLock.Lock()
	defer e.replaceLock.Unlock()
	name := e.endpoint().Name
	if f.Fault == CrashEndpoint {
		e.stop()
		delay.For(ctx, entryTimeout)
	}
	s.store.Put(feeds.Endpoints, string(name), nil)
	s.journal.RecordDeparture(name)
	delay.For(ctx, f.Duration)
	if f.Fault == LapseEndpoint {
		delay.For(ctx, s.Bounds.DrainDelay+extraServeTime)
		e.stop()
	}
	return s.restartEndpoint(ctx, e)
}
