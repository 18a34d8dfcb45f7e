package gate

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// errEvacuated means that the data centres of all endpoints that could serve the request, or
// of the chosen ones, are evacuated.
const errEvacuated = errors.ConstError("data centres of the endpoints are evacuated")

// retryEvacuated is the Retry-After of requests whose endpoints are all evacuated. An
// evacuation lasts for minutes, but the first one of several may be taken back at any time.
const retryEvacuated = 2 * time.Second

// isEvacuated reports whether an endpoint gets no further requests since its data centre is
// evacuated, or since it isn't known whether it is.
func (s *Server) isEvacuated(e *topol.Endpoint) bool {
	return !s.Feeds.EvacuationsKnown() || s.Feeds.Evacuated().Has(e.DataCentre)
}

// outsideEvacuated returns those of some endpoints whose data centre isn't evacuated.
func (s *Server) outsideEvacuated(es []*topol.Endpoint) []*topol.Endpoint {
	evacuated := s.Feeds.Evacuated()
	if len(evacuated) == 0 {
		return es
	}
	return slices.DeleteFunc(slices.Clone(es), func(e *topol.Endpoint) bool { return evacuated.Has(e.DataCentre) })
}

// allEvacuated reports whether the data centres of all endpoints that may serve the request,
// without those that are leaving, are evacuated. It is false if there are none.
func (x *exchange) allEvacuated() bool {
	evacuated := x.server.Feeds.Evacuated()
	return len(evacuated) > 0 && areAllEvacuated(x.homeEndpoints(), evacuated)
}

// areAllEvacuated reports whether the data centres of some endpoints, without those that are
// leaving, are evacuated. It is false if there are none.
func areAllEvacuated(es []*topol.Endpoint, evacuated ident.Set[ident.DataCentre]) bool {
	found := false
	for _, e := range es {
		switch {
		case e.Leaving:
		case evacuated.Has(e.DataCentre):
			found = true
		default:
			return false
		}
	}
	return found
}

// isEvacuated reports whether the data centre of the chosen endpoint, or of one of its helpers,
// has been evacuated since the choice.
func (a *attempt) isEvacuated() bool {
	return a.server.isEvacuated(a.choice.Primary) || slices.ContainsFunc(a.choice.Helpers, a.server.isEvacuated)
}

// withdraw ends an attempt before anything was sent.
func (a *attempt) withdraw() { a.outcome = outcome{result: evacuated, reason: errEvacuated.Error()} }

// noRequestKey is the key of a context whose connections carry no request of a caller.
type noRequestKey struct{}

// withoutRequest returns a context for connections that carry no request of a caller, but a
// probe, or an order for memory that is reserved already. Evacuated endpoints get these too.
func withoutRequest(ctx context.Context) context.Context {
	return context.WithValue(ctx, noRequestKey{}, true)
}

func carriesNoRequest(ctx context.Context) bool { return ctx.Value(noRequestKey{}) != nil }

// runningByDataCentre returns for each evacuated data centre that has endpoints how many of
// this node's requests run there, at the endpoint or at a helper.
func (s *Server) runningByDataCentre() map[ident.DataCentre]int {
	evacuated, list := s.Feeds.Evacuated(), s.Feeds.Endpoints()
	if len(evacuated) == 0 || list == nil {
		return nil
	}
	counts := map[ident.DataCentre]int{}
	for _, e := range list.ByName {
		if evacuated.Has(e.DataCentre) {
			counts[e.DataCentre] = 0
		}
	}
	for _, w := range s.InFlight.ByNode(s.Node) {
		at := ident.Set[ident.DataCentre]{}
		for _, n := range append([]ident.EndpointName{w.First}, w.Helpers...) {
			if e := list.ByName[n]; e != nil && evacuated.Has(e.DataCentre) {
				at.Add(e.DataCentre)
			}
		}
		for n := range at {
			counts[n]++
		}
	}
	return counts
}

// evacuationLog holds what was last logged of evacuations. Only the sweep uses it.
type evacuationLog struct {
	// empty holds the evacuated data centres without endpoints, running those in which
	// requests of this node still ran, and services those whose endpoints are all
	// evacuated.
	empty, running ident.Set[ident.DataCentre]
	services       ident.Set[ident.ServiceName]
}

// logEvacuations logs what has changed since the last call: evacuations without effect, those
// in which this node's last request has ended, and services that have no endpoints left or
// have some again.
func (s *Server) logEvacuations() {
	evacuated, list, catalog := s.Feeds.Evacuated(), s.Feeds.Endpoints(), s.Feeds.Catalog()
	if list == nil || catalog == nil {
		return
	}
	s.logEvacuatedDataCentres(evacuated)
	s.logEvacuatedServices(catalog, list, evacuated)
}

// logEvacuatedDataCentres logs the evacuated data centres without endpoints, and those in which
// this node's last request has ended.
func (s *Server) logEvacuatedDataCentres(evacuated ident.Set[ident.DataCentre]) {
	l, counts := &s.evacuationLog, s.runningByDataCentre()
	empty, running := ident.Set[ident.DataCentre]{}, ident.Set[ident.DataCentre]{}
	for _, n := range evacuated.Sorted() {
		count, hasEndpoints := counts[n]
		switch {
		case !hasEndpoints:
			empty.Add(n)
			if !l.empty.Has(n) {
				s.Logger.Warn().Str("dataCentre", string(n)).Msg("gate: evacuated data centre has no endpoints")
			}
		case count > 0:
			running.Add(n)
		case l.running.Has(n):
			s.Logger.Info().Str("dataCentre", string(n)).Msg("gate: no requests of this node run in an evacuated data centre any more")
		}
	}
	l.empty, l.running = empty, running
}

// logEvacuatedServices logs the services that have no endpoints left or have some again.
func (s *Server) logEvacuatedServices(catalog *topol.Catalog, list *feeds.EndpointList, evacuated ident.Set[ident.DataCentre]) {
	l := &s.evacuationLog
	services := ident.Set[ident.ServiceName]{}
	for n := range catalog.Services {
		if areAllEvacuated(list.ByService[n], evacuated) {
			services.Add(n)
		}
	}
	for _, n := range services.Sorted() {
		if !l.services.Has(n) {
			s.Logger.Warn().Str("service", string(n)).Msg("gate: all endpoints of a service are evacuated, its requests are rejected")
		}
	}
	for _, n := range l.services.Sorted() {
		if !services.Has(n) {
			s.Logger.Info().Str("service", string(n)).Msg("gate: not all endpoints of a service are evacuated any more")
		}
	}
	l.services = services
}

// evacuationMetrics collects the requests that still run in evacuated data centres.
type evacuationMetrics struct {
	server  *Server
	running *prometheus.Desc
}

func newEvacuationMetrics(s *Server) evacuationMetrics {
	return evacuationMetrics{s, prometheus.NewDesc("laburnum_evacuated_in_flight", "Requests of this node that still run in an evacuated data centre.", []string{"data_centre"}, nil)}
}

// Describe sends the descriptions of the metrics.
func (m evacuationMetrics) Describe(ds chan<- *prometheus.Desc) { ds <- m.running }

// Collect sends the metrics.
func (m evacuationMetrics) Collect(ms chan<- prometheus.Metric) {
	for n, count := range m.server.runningByDataCentre() {
		ms <- prometheus.MustNewConstMetric(m.running, prometheus.GaugeValue, float64(count), string(n))
	}
}
