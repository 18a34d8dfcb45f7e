package gate

import (
	"math"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// metrics holds the Prometheus metrics of a Server.
type metrics struct {
	requests     *prometheus.CounterVec
	prompts      *prometheus.CounterVec
	rejections   *prometheus.CounterVec
	bySize       *prometheus.CounterVec
	sends        *prometheus.CounterVec
	timeToFirst  *prometheus.HistogramVec
	strikes      prometheus.Counter
	breaks       *prometheus.CounterVec
	omittedLines prometheus.Counter
	closes       *prometheus.CounterVec
	unanswered   *prometheus.CounterVec
	floods       prometheus.Counter
	acceptErrors prometheus.Counter
	evacuated    prometheus.Counter
	noHome       prometheus.Counter
	misdirected  *prometheus.CounterVec
	coldLeftOut  prometheus.Counter
	beyondSlots  prometheus.Counter
}

// lengthClasses are the classes of prompt sizes that label metrics.
var lengthClasses = []struct {
	upTo ident.Tokens
	name string
}{
	{0, "none"}, {8_000, "8k"}, {32_000, "32k"}, {128_000, "128k"}, {256_000, "256k"}, {512_000, "512k"}, {math.MaxInt64, "more"},
}

func lengthClass(n ident.Tokens) string {
	for _, c := range lengthClasses {
		if n <= c.upTo {
			return c.name
		}
	}
	return "more"
}

func newMetrics() *metrics {
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnum_requests_total", Help: "Requests by kind and by status; cut is an answer that was broken off, left a caller who left.",
		}, []string{"kind", "outcome"}),
		prompts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnum_prompts_total", Help: "Prompts by length and by status; cut and left as in laburnum_requests_total.",
		}, []string{"length", "outcome"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnum_rejections_total", Help: "Requests that could not be placed, by length of the prompt and by reason; retry is true if the caller had clearly less time left than the route's timeout, or if the request had been sent.",
		}, []string{"length", "why", "retry"}),
		bySize: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnum_size_requests_total", Help: "Prompts that may be deferred, by route, by size class among the route's prompts, and by outcome: asked, served, broken-off, or refused because of load.",
		}, []string{"route", "size", "outcome"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnum_sends_total", Help: "Sends to endpoints by result.",
		}, []string{"result"}),
		timeToFirst: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "laburnum_first_seconds", Help: "Time to the answer, or to the first event of a stream.",
			Buckets: []float64{.05, .1, .2, .3, .5, 1, 1.5, 3, 6, 12},
		}, []string{"kind", "length"}),
		strikes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnum_strikes_total", Help: "Requests that were in flight at an endpoint that crashed.",
		}),
		breaks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnum_connection_breaks_total", Help: "Investigations of endpoints that broke a connection or could not be reached, by cause.",
		}, []string{"cause"}),
		omittedLines: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnum_log_lines_left_out_total", Help: "Lines that were not logged since there were too many.",
		}),
		closes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnum_connections_closed_total", Help: "Callers' connections that were closed, by reason; unread is true if bytes of another request had been read.",
		}, []string{"why", "unread"}),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnum_unanswered_requests_total", Help: "Requests that were read whole and got no response, by the reason of the close; left is a caller who left.",
		}, []string{"why"}),
		noHome: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnum_no_home_region_total", Help: "Requests that no home region of their route and workspace could serve.",
		}),
		misdirected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnum_misdirected_sends_total", Help: "Sends and reservations that were answered with 421, since another endpoint has the address of the record, by data centre.",
		}, []string{"data_centre"}),
		acceptErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnum_accept_errors_total", Help: "Connections of callers that could not be accepted, for example since no descriptors were left.",
		}),
		evacuated: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnum_evacuated_requests_total", Help: "Requests that were not sent, or not again, since the data centres of all endpoints were evacuated.",
		}),
		coldLeftOut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnum_cold_left_out_total", Help: "Choices of an endpoint in which cold ones were left out, since this node's part of their allowance was used up.",
		}),
		beyondSlots: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnum_beyond_slots_total", Help: "Requests sent to engines whose slots were all taken, to wait for the next one.",
		}),
		floods: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnum_endless_answers_total", Help: "Answers that were given up since the endpoint sent more than an answer may have, or since they took too much memory.",
		}),
	}
}

// Register adds the server's metrics to a registry.
func (s *Server) Register(r prometheus.Registerer) {
	m := s.getMetrics()
	r.MustRegister(m.requests, m.prompts, m.rejections, m.bySize, m.sends, m.timeToFirst, m.strikes, m.breaks, m.omittedLines, m.closes, m.unanswered, m.floods, m.acceptErrors, m.evacuated, m.noHome, m.misdirected, m.coldLeftOut, m.beyondSlots, newEvacuationMetrics(s),
		gauge("laburnum_evacuated_data_centres", "Data centres whose evacuation is in force.", func() float64 { return float64(len(s.Feeds.Evacuated())) }),
		gauge("laburnum_slow_start_endpoints", "Endpoints in slow start.", func() float64 { return float64(s.pacing.slowCount.Load()) }),
		gauge("laburnum_slow_start_bound", "Sum of the bounds on concurrent requests at the endpoints in slow start, of all nodes together.", func() float64 { return float64(s.slowBounds()) }),
		gauge("laburnum_cold_endpoints", "Endpoints taken for cold.", func() float64 { return float64(s.pacing.coldCount.Load()) }),
		gauge("laburnum_in_flight", "Requests under way.", func() float64 { return float64(s.inFlightCount.Load()) }),
		gauge("laburnum_limited_endpoints", "Endpoints that named a limit of their requests.", func() float64 { return float64(s.endpointLimits.count.Load()) }),
		gauge("laburnum_lost_links", "Endpoints that only peers reach.", func() float64 { return float64(s.direct.lostCount.Load()) }),
		gauge("laburnum_parts_with_strikes", "Requests, and parts of prompts, that have or recently had strikes.", func() float64 { return float64(s.strikes.Count()) }),
		gauge("laburnum_unavailable_endpoints", "Statements of endpoints that are leaving, or that want no requests of a node.", func() float64 { return float64(s.availability.count.Load()) }),
		gauge("laburnum_stale_groups", "Data centres of a service whose endpoints are avoided since their records may be out of date.", func() float64 { return float64(s.staleRecords.groups.Load()) }),
		gauge("laburnum_request_bytes", "Memory taken by callers' requests, but for small ones.", func() float64 { return float64(s.requestBytes.Used()) }),
		gauge("laburnum_answer_bytes", "Memory taken by endpoints' answers, but for small ones.", func() float64 { return float64(s.answers.Held()) }),
		gauge("laburnum_connections", "Connections of callers.", func() float64 { return float64(s.openConns.Load()) }),
		gauge("laburnum_nodes", "Nodes known, this one included.", func() float64 { return float64(s.NodeCount()) }),
		gauge("laburnum_configuration_version", "Version in force.", func() float64 {
			if c := s.Feeds.Catalog(); c != nil {
				return float64(c.Version)
			}
			return 0
		}),
		gauge("laburnum_configuration_age_seconds", "Time since the configuration was known to be the newest.", func() float64 {
			return ageOf(s.Feeds.CatalogConfirmedAt()).Seconds()
		}),
		gauge("laburnum_configuration_wait_seconds", "Time until the configuration can be confirmed, since the store has lost records.", func() float64 {
			return s.Feeds.ConfirmWait(clock.Now()).Seconds()
		}),
		gauge("laburnum_endpoints_age_seconds", "Time since the endpoints were listed.", func() float64 {
			return clock.Now().Sub(s.Feeds.EndpointsConfirmedAt()).Seconds()
		}),
		gauge("laburnum_endpoints", "Endpoints listed.", func() float64 {
			if f := s.Feeds.Endpoints(); f != nil {
				return float64(len(f.ByName))
			}
			return 0
		}),
	)
}

func gauge(name, help string, f func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f)
}

// getMetrics returns the server's metrics. They are created at the first call,
// even if they are never registered.
func (s *Server) getMetrics() *metrics {
	s.metricsOnce.Do(func() { s.metrics = newMetrics() })
	return s.metrics
}

// countRequestEnd counts a request that has ended. label is the status, "cut" if
// the response was truncated, or "left" if the caller disconnected.
func (x *exchange) countRequestEnd(label string) {
	m := x.server.getMetrics()
	m.requests.WithLabelValues(x.routeKind(), label).Inc()
	if x.reqHeader.Prompt > 0 {
		m.prompts.WithLabelValues(lengthClass(x.reqHeader.Prompt), label).Inc()
	}
}

func (x *exchange) routeKind() string {
	if x.route == nil {
		return "unknown"
	}
	return x.route.Kind.String()
}

// countRejection counts a request that could not be placed.
func (x *exchange) countRejection(reason error, isRetry bool) {
	x.server.getMetrics().rejections.WithLabelValues(lengthClass(x.reqHeader.Prompt), reason.Error(), strconv.FormatBool(isRetry)).Inc()
}

// observeLatency records the time to the first event or to the response
// header.
func (x *exchange) observeLatency(latency time.Duration) {
	length := "none"
	if x.route.Kind == topol.Stream {
		length = lengthClass(x.reqHeader.Prompt)
	}
	x.server.getMetrics().timeToFirst.WithLabelValues(x.routeKind(), length).Observe(latency.Seconds())
}
