package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxLostRecords is the largest number of records that LoseRecords removes from
	// each stream.
	maxLostRecords = 12
	// maxRewriteDelay is the longest time until lost records are written again.
	maxRewriteDelay = time.Second
	// limitTime is how long LimitEndpoint lasts, limitRate the limit in requests per
	// second.
	limitTime = 10 * time.Second
	limitRate = 0.5
	// routesAdded is the number of routes that GrowConfig adds, maxAddedRoutes the
	// largest number of them.
	routesAdded    = 1400
	maxAddedRoutes = 5600
)

// loseRecords injects LoseRecords. The operator and the endpoints write their records
// again; the nodes must do so too.
func (s *Soak) loseRecords(ctx context.Context, n int) error {
	rewritten := s.lose(n)
	delay.For(ctx, rand.N(maxRewriteDelay))
	return s.rewriteRecords(rewritten)
}

// lose makes the store lose the last records. The returned function is to be called when the
// evacuations have been written again.
func (s *Soak) lose(n int) (rewritten func()) {
	end := s.journal.StartDisturbance(Disturbance{Kind: evacuationsMissing})
	s.store.Lose(1 + n%maxLostRecords)
	return end
}

// rewriteRecords writes the records of the operator and of the endpoints again, and removes those
// of endpoints that are gone. It calls rewritten once the evacuations are written, since those
// of endpoints wait for faults that replace one.
func (s *Soak) rewriteRecords(rewritten func()) error {
	if err := s.rewriteConfig(); err != nil {
		return err
	}
	s.rewriteEvacuations()
	rewritten()
	current := ident.Set[ident.EndpointName]{}
	for _, e := range s.endpoints {
		e.replaceLock.Lock()
		defer e.replaceLock.Unlock()
		record := e.endpoint()
		current.Add(record.Name)
		if err := s.publishEndpoint(record); err != nil {
			return err
		}
	}
	for i := range s.endpointCounter.Load() {
		if name := endpointName(i + 1); !current.Has(name) {
			s.store.Put(feeds.Endpoints, string(name), nil)
		}
	}
	return nil
}

// limitEndpoint injects LimitEndpoint.
func (s *Soak) limitEndpoint(ctx context.Context, e *endpointServer) {
	l := &limitPeriod{endpoint: e.endpoint().Name, namedAt: time.Now()}
	if !e.limit.CompareAndSwap(nil, l) {
		return
	}
	delay.For(ctx, limitTime)
	e.limit.Store(nil)
	if text := l.check(); text != "" {
		s.journal.AddViolation("limit", "%s", text)
	}
}

// growConfig injects GrowConfig.
func (s *Soak) growConfig() error {
	s.mu.Lock()
	s.addedRoutes = min(s.addedRoutes+routesAdded, maxAddedRoutes)
	s.mu.Unlock()
	return s.changeKeys()
}

// addedRoute returns the route with the given number of those that growConfig adds.
func addedRoute(i int) *topol.Route {
	return &topol.Route{
		Name: ident.RouteName(fmt.Sprintf("added-%d", i)), Host: routeHost, Prefix: fmt.Sprintf("/added/%08x/", i*104729), Kind: topol.Idempotent,
		Timeout: requestTimeout, Target: 300 * time.Millisecond, Attempts: 2, Services: []topol.WeightedService{{Service: plainService, Weight: 1}},
	}
}
