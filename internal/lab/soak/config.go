package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// changeKeys adds a key and revokes the one that was the newest before.
func (s *Soak) changeKeys() error {
	s.mu.Lock()
	old := s.keys[len(s.keys)-1]
	s.keys = append(s.keys, fmt.Sprintf("k%d", len(s.keys)))
	s.mu.Unlock()
	if err := s.publishConfig(); err != nil {
		return err
	}
	s.journal.RecordRevocation(old)
	return nil
}

// publishConfig writes a new version of the configuration to the store. Version
// numbers may have gaps.
func (s *Soak) publishConfig() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += ident.Version(1 + rand.IntN(3))
	return s.putConfig()
}

// rewriteConfig writes the newest version of the configuration again.
func (s *Soak) rewriteConfig() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putConfig()
}

// putConfig writes the configuration to the store. The caller holds s.mu.
func (s *Soak) putConfig() error {
	b, err := s.Deployment.EncodeCatalog(s.catalog())
	if err != nil {
		return err
	}
	s.store.Put(feeds.Configuration, s.Deployment.ConfigKey(), b)
	return nil
}

// catalog returns the current configuration. It has a route for each kind of
// request: prompts go to the model service, all others to the plain service.
func (s *Soak) catalog() *topol.Catalog {
	w := &topol.Workspace{Name: workspace}
	c := &topol.Catalog{
		Version: s.version,
		Services: map[ident.ServiceName]*topol.Service{
			plainService: {Name: plainService},
			modelService: {Name: modelService, Engine: &topol.Engine{
				Slots: endpointSlots, Memory: 300_000, DecodeSteps: 50, PrefillChunk: 2048, StepTime: 850 * time.Microsecond,
				PerSequence: 4 * time.Microsecond, PerThousandContext: 3 * time.Microsecond, PrefillRate: 177_000,
				PerMillionPairs: 184 * time.Microsecond, HopDelay: 50 * time.Microsecond,
			}},
		},
		Limits: topol.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: s.idleLimit},
		Keys:   map[string]*topol.Workspace{permanentKey: w, s.keys[len(s.keys)-1]: w},
	}
	if s.CapacityFaults {
		for _, service := range c.Services {
			service.ColdStart, service.ColdRate = coldStartTime, coldRate
		}
	}
	for _, k := range []topol.Kind{topol.Once, topol.Idempotent, topol.Stream} {
		service := plainService
		if k == topol.Stream {
			service = modelService
		}
		c.Add(&topol.Route{
			Name: ident.RouteName(k.String()), Host: routeHost, Prefix: fmt.Sprintf("/%s/%s/", service, k), Kind: k, Timeout: requestTimeout + s.extraRouteTimeout,
			Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Attempts: 3, Resumable: k == topol.Stream,
			Services: []topol.WeightedService{{Service: service, Weight: 1}},
		})
	}
	for i := range s.addedRoutes {
		c.Add(addedRoute(i))
	}
	return c
}
