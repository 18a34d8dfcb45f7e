package edge

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"laburnumstack.org/laburnum/internal/trans/gate"
)

const metricsPath = "/metrics"

// serveMetrics serves the metrics until the context ends. Errors are only
// logged, since the node can run without metrics.
func (n *Node) serveMetrics(ctx context.Context) {
	l, err := gate.Listen(ctx, n.Settings.MetricsAddress)
	if err != nil {
		n.Logger.Error().Err(err).Msg("node: cannot listen for metrics requests")
		return
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "laburnum_rejected_records_total", Help: "Records of endpoints that could not be decoded.",
	}, func() float64 { return float64(n.feeds.RejectedRecords()) }))
	n.gate.Register(registry)
	n.mesh.Register(registry)
	handle := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	srv := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(c *fasthttp.RequestCtx) {
			if string(c.Path()) != metricsPath {
				c.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			handle(c)
		},
	}
	if err := serveUntil(ctx, srv, l); err != nil {
		n.Logger.Error().Err(err).Msg("node: metrics server failed")
	}
}
