package edge

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/internal/trans/gate"
	"laburnumstack.org/laburnum/internal/trans/share"
)

const (
	// announceEvery is the pause between two tries to be listed as a member.
	announceEvery = time.Second
	// stopMargin is kept from the end of the grace.
	stopMargin = 400 * time.Millisecond
	// listenPast is how long a node that stops serves new connections; the
	// balancer needs that to notice.
	listenPast = 3 * time.Second
	// idleParts and idleOf give the part of the idle timeout for which callers
	// may use a silent connection again.
	idleParts, idleOf = 4, 5
	// stopTick is the pause between two looks at the requests in flight.
	stopTick = 20 * time.Millisecond
	// memoryShare of the limit is the soft limit of the runtime in percent.
	memoryShare = 60
)

// Node is one process. The exported fields are set before Run.
type Node struct {
	Settings Settings
	Source   feeds.Source
	Decoder  feeds.Decoder
	// Configuration decodes the document that peers pass on.
	Configuration func(raw []byte) (*topol.Catalog, error)
	Dialect       gate.Dialect
	Orders        gate.Orders
	Reporter      Reporter
	// ReadyPath is the path at which the balancer asks.
	ReadyPath string
	Logger    zerolog.Logger

	feeds *feeds.Feeds
	gate  *gate.Server
	mesh  *share.Mesh
	news  *news
	works *works.Table
}

// Run serves until the context ends, then finishes what is in flight.
func (n *Node) Run(stop context.Context) error {
	s := n.Settings
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryShare / 100)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.assemble(ctx)
	var ls [3]net.Listener
	for i, a := range []string{s.Callers, s.Ready, s.Peers} {
		l, err := gate.Listen(ctx, a)
		if err != nil {
			return errors.Annotatef(err, "listen on %s", a)
		}
		ls[i] = l
	}
	n.Logger.Info().Str("callers", s.Callers).Str("peers", s.Peers).Strs("seeds", s.Seeds).Msg("node: started")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.gate.Run(ctx, ls[0]) })
	g.Go(func() error { return n.serveReady(ctx, ls[1], stop) })
	g.Go(func() error { return n.mesh.Run(ctx, ls[2]) })
	if s.Metrics != "" {
		g.Go(func() error { n.serveMetrics(ctx); return nil })
	}
	g.Go(func() error { return n.feeds.Run(ctx) })
	g.Go(func() error { n.announce(ctx); return nil })
	g.Go(func() error { n.news.run(ctx); return nil })
	if !s.First {
		g.Go(func() error { n.findOrphans(ctx); return nil })
	}
	g.Go(func() error { n.drain(ctx, stop); cancel(); return nil })
	err := g.Wait()
	n.Logger.Info().Err(err).Msg("node: ended")
	return err
}

func (n *Node) assemble(ctx context.Context) {
	s := n.Settings
	n.works = &works.Table{}
	n.feeds = &feeds.Feeds{Source: n.Source, Decoder: n.Decoder, Logger: n.Logger}
	n.mesh = &share.Mesh{
		Self: relay.Member{Name: s.Name, Address: s.Peers, DataCentre: s.DataCentre, Cores: s.Cores}, Works: n.works, Logger: n.Logger,
		HubsFrom: share.DefaultHubsFrom,
	}
	n.mesh.Init(ctx)
	n.news = &news{feeds: n.feeds, mesh: n.mesh, decode: n.Configuration, logger: n.Logger}
	n.mesh.State = n.news.state
	n.feeds.Follows = n.news.follows
	n.gate = &gate.Server{
		Dialect: n.Dialect, Orders: n.Orders, Feeds: n.feeds, Works: n.works, Node: s.Name, DataCentre: s.DataCentre,
		StrictRevocation: s.Strict, RevocationLimit: s.Revoke, Budget: s.Budget, GracePeriod: s.Grace, Logger: n.Logger,
		AnnounceStart: n.mesh.Began, AnnounceDecoding: n.mesh.Wrote, AnnounceEnd: n.mesh.Done, NodeCount: n.mesh.Nodes,
		AnnounceStrike: n.mesh.Strike, AnnounceFailure: n.mesh.Report,
	}
	n.mesh.Failed, n.mesh.Struck = n.gate.AddPeerFailures, n.gate.AddPeerStrikes
	for _, a := range s.Seeds {
		n.mesh.Meet(a)
	}
}

// ready reports whether the node can serve callers.
func (n *Node) ready() bool {
	return n.feeds.Catalog() != nil && n.feeds.Fleet() != nil && !n.stale()
}

// stale reports whether keys can't be trusted any more.
func (n *Node) stale() bool {
	return n.Settings.Strict && clock.Now().Sub(n.feeds.Proven()) > n.Settings.Revoke
}

// serveReady answers the balancer.
func (n *Node) serveReady(ctx context.Context, l net.Listener, stop context.Context) error {
	srv := &fasthttp.Server{
		ReadBufferSize: 2048, WriteBufferSize: 512, NoDefaultServerHeader: true,
		Handler: func(c *fasthttp.RequestCtx) {
			switch {
			case string(c.Path()) != n.ReadyPath:
				c.SetStatusCode(fasthttp.StatusNotFound)
			case stop.Err() != nil || !n.ready():
				c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
	}
	return serveUntil(ctx, srv, l)
}

// serveUntil serves until the context ends.
func serveUntil(ctx context.Context, srv *fasthttp.Server, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	err := srv.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// announce puts this node on the list of members and meets the others.
func (n *Node) announce(ctx context.Context) {
	r := feeds.Record{Key: string(n.Settings.Name), Value: []byte(n.Settings.Peers)}
	for ctx.Err() == nil {
		err := n.Source.Put(ctx, feeds.Members, r)
		if err == nil {
			err = n.meetMembers(ctx)
		}
		if err == nil {
			return
		}
		n.Logger.Warn().Err(err).Msg("node: not listed as a member yet")
		delay.For(ctx, announceEvery)
	}
}

func (n *Node) meetMembers(ctx context.Context) error {
	page, err := n.Source.Newest(ctx, feeds.Members)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		n.mesh.Meet(string(r.Value))
	}
	return nil
}

// drain waits for the order to stop, and then until nothing is in flight and
// no caller can think an idle connection usable.
func (n *Node) drain(ctx, stop context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-stop.Done():
	}
	began := time.Now()
	n.gate.Drain()
	n.Logger.Info().Int("inFlight", n.gate.InFlight()).Msg("node: stopping")
	least := listenPast
	if c := n.feeds.Catalog(); c != nil {
		least = max(least, c.Limits.IdleTimeout*idleParts/idleOf)
	}
	least = min(least, n.Settings.Grace-stopMargin)
	for {
		since := time.Since(began)
		if since >= least && n.gate.InFlight() == 0 || since >= n.Settings.Grace-stopMargin {
			break
		}
		delay.For(ctx, stopTick)
	}
	n.Logger.Info().Int("inFlight", n.gate.InFlight()).Dur("after", time.Since(began)).Msg("node: stopped")
}
