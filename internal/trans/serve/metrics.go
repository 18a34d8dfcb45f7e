package serve

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Metrics holds the Prometheus metrics of a node.
type Metrics struct {
	Requests   *prometheus.CounterVec
	FirstToken *prometheus.HistogramVec
	Tokens     prometheus.Counter
	Retries    prometheus.Counter
	Resumes    prometheus.Counter
	Version    prometheus.Gauge
	Active     prometheus.Gauge
	Appends    prometheus.Counter
}

// NewMetrics creates and registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnum_requests_total", Help: "Requests by route, outcome and code.",
		}, []string{"route", "outcome", "code"}),
		FirstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "laburnum_first_token_seconds", Help: "Time to first token by prompt length class.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"class"}),
		Tokens:  prometheus.NewCounter(prometheus.CounterOpts{Name: "laburnum_tokens_total", Help: "Tokens sent to callers."}),
		Retries: prometheus.NewCounter(prometheus.CounterOpts{Name: "laburnum_retries_total", Help: "Attempts after the first."}),
		Resumes: prometheus.NewCounter(prometheus.CounterOpts{Name: "laburnum_resumes_total", Help: "Answers resumed at their position."}),
		Version: prometheus.NewGauge(prometheus.GaugeOpts{Name: "laburnum_config_version", Help: "Configuration version in force."}),
		Active:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "laburnum_active_requests", Help: "Requests in flight."}),
		Appends: prometheus.NewCounter(prometheus.CounterOpts{Name: "laburnum_log_appends_total", Help: "Records appended to the log."}),
	}
	r.MustRegister(m.Requests, m.FirstToken, m.Tokens, m.Retries, m.Resumes, m.Version, m.Active, m.Appends)
	return m
}

// lengthClass returns the value of the label "class" for the length of a prompt.
// Each class includes prompts of up to about twice the length that it is named
// after, except that 1M includes all longer ones.
func lengthClass(n ident.Tokens) string {
	switch {
	case n <= 2_000:
		return "1k"
	case n <= 16_000:
		return "8k"
	case n <= 64_000:
		return "32k"
	case n <= 256_000:
		return "128k"
	default:
		return "1M"
	}
}

func (m *Metrics) observeFirstToken(n ident.Tokens, d time.Duration) {
	m.FirstToken.WithLabelValues(lengthClass(n)).Observe(d.Seconds())
}
