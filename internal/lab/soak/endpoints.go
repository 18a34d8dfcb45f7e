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
	// recordLifetime is how long the record of a crashed endpoint stays in the
	// store.
	recordLifetime = time.Second
	// addressReuseDelay is the pause before another endpoint uses the address of
	// one that stopped.
	addressReuseDelay = 500 * time.Millisecond
	// extraServeTime is how long a departed endpoint keeps serving after
	// Bounds.DrainDelay, so that late requests are detected.
	extraServeTime = 1500 * time.Millisecond
)

// publishEndpoint writes an endpoint's record to the store.
func (s *Soak) publishEndpoint(e topol.Endpoint) error {
	e.Cold, e.StatesCold = s.journal.coldTime(e.Name), true
	b, err := s.Deployment.EncodeEndpoint(e)
	if err != nil {
		return err
	}
	s.store.Put(feeds.Endpoints, string(e.Name), b)
	return nil
}

// endpointName returns the name of the nth endpoint that was started.
func endpointName(n int64) ident.EndpointName { return ident.EndpointName(fmt.Sprintf("e%d", n)) }

// newEndpoint returns the record of an endpoint that is about to start. Each start
// gets a new name.
func (s *Soak) newEndpoint(e *endpointServer, service ident.ServiceName) topol.Endpoint {
	n := s.endpointCounter.Add(1)
	return topol.Endpoint{
		Name: endpointName(n), Service: service, Address: e.proxy.Address(),
		DataCentre: dataCentres[int(n)%len(dataCentres)], Slots: endpointSlots, Born: time.Now().UnixMilli(),
	}
}

// restartEndpoint starts a stopped endpoint again, under a new name and at the same
// address.
func (s *Soak) restartEndpoint(ctx context.Context, e *endpointServer) error {
	delay.For(ctx, addressReuseDelay)
	next := s.newEndpoint(e, e.endpoint().Service)
	if err := e.start(next); err != nil {
		return err
	}
	return s.publishEndpoint(next)
}

// replaceEndpoint injects ReplaceEndpoint: it marks an endpoint as leaving, lets
// it serve for DrainDelay and extraServeTime, removes its record, stops it and
// starts another in its place.
func (s *Soak) replaceEndpoint(ctx context.Context, e *endpointServer) error {
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

// removeEndpoint injects CrashEndpoint, which stops an endpoint and then removes
// its record, or LapseEndpoint, which removes the record and then stops the
// endpoint. Both start another endpoint in its place.
func (s *Soak) removeEndpoint(ctx context.Context, e *endpointServer, f ScheduledFault) error {
	e.replaceLock.Lock()
	defer e.replaceLock.Unlock()
	name := e.endpoint().Name
	if f.Kind == CrashEndpoint {
		e.stop()
		delay.For(ctx, recordLifetime)
	}
	s.store.Put(feeds.Endpoints, string(name), nil)
	s.journal.RecordDeparture(name)
	delay.For(ctx, f.Duration)
	if f.Kind == LapseEndpoint {
		delay.For(ctx, s.Bounds.DrainDelay+extraServeTime)
		e.stop()
	}
	return s.restartEndpoint(ctx, e)
}
