package edge

import (
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
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
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/internal/trans/share"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// stopMargin is subtracted from Settings.GracePeriod: a draining node stops
	// this long before the grace period ends, even if requests are in flight.
	stopMargin = 400 * time.Millisecond
	// minDrainTime is the minimum duration of a drain, in which the load balancer
	// notices that the node isn't ready. A shorter grace period takes precedence.
	minDrainTime = 3 * time.Second
	// closeTime is the part of a drain's longest time that is left for the end of
	// connections without a request.
	closeTime = 200 * time.Millisecond
	// pollInterval is the pause between two checks while waiting for the requests
	// in flight to end, or for the first configuration.
	pollInterval = 20 * time.Millisecond
	// memoryPercent is the soft memory limit of the Go runtime as a percentage of
	// Settings.MemoryMB.
	memoryPercent = 60
	// requestDivisor divides Settings.MemoryMB; the result bounds the bytes of callers'
	// requests.
	requestDivisor = 4
	// bufferDivisor divides Settings.MemoryMB; the result bounds the buffered
	// responses of endpoints.
	bufferDivisor = 8
)

// Node is one gateway process. The exported fields are set before Run.
type Node struct {
	Settings Settings
	Source   feeds.Source
	Decoder  feeds.Decoder
	// DecodeCatalog decodes a configuration document received from a peer.
	DecodeCatalog func(raw []byte) (*topol.Catalog, error)
	Dialect       gate.Dialect
	Reserver      gate.Reserver
	Reporter      Reporter
	// ReadyPath is the path of the load balancer's readiness checks.
	ReadyPath string
	Logger    zerolog.Logger
	// UseDialer, if it is set, is called before the node runs with the function by which
	// Reserver and Reporter should connect to endpoints.
	UseDialer func(links.DialFunc)
	// DialEndpoint opens connections to endpoints; if it is nil, links.Dial does.
	DialEndpoint links.DialFunc

	feeds     *feeds.Feeds
	gate      *gate.Server
	mesh      *share.Mesh
	stateSync *stateSync
	inFlight  *works.Table
	orphans   orphanTable
	// hasMembers is set once the list of members has been read.
	hasMembers atomic.Bool
	// recordedEra is the highest era that is recorded as complete in the store, as far as
	// keepRegistered knows.
	recordedEra uint64
}

// Run serves requests until stop is cancelled, then drains: it waits for the
// requests in flight, at most until stopMargin before the end of the grace
// period.
func (n *Node) Run(stop context.Context) error {
	s := n.Settings
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryPercent / 100)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.build(ctx)
	ls, err := listen(ctx, s.CallerAddress, s.ReadyAddress, s.PeerAddress)
	if err != nil {
		return err
	}
	n.Logger.Info().Str("callers", s.CallerAddress).Str("peers", s.PeerAddress).Strs("seeds", s.Seeds).Msg("node: started")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.gate.Run(ctx, ls[0]) })
	g.Go(func() error { return n.serveReady(ctx, ls[1], stop) })
	g.Go(func() error { return n.mesh.Run(ctx, ls[2]) })
	if s.MetricsAddress != "" {
		g.Go(func() error { n.serveMetrics(ctx); return nil })
	}
	g.Go(func() error { n.keepRegistered(ctx); return nil })
	g.Go(func() error {
		if !s.Bootstrap {
			n.stateSync.askPeers(ctx)
		}
		g.Go(func() error { return n.feeds.Run(ctx) })
		n.stateSync.run(ctx)
		return nil
	})
	if !s.Bootstrap {
		g.Go(func() error { n.findOrphans(ctx); return nil })
	}
	g.Go(func() error { n.drain(ctx, stop); cancel(); return nil })
	err = g.Wait()
	n.Logger.Info().Err(err).Msg("node: ended")
	return err
}

// listen listens on all addresses, or on none if one of them fails.
func listen(ctx context.Context, addrs ...string) ([]net.Listener, error) {
	var ls []net.Listener
	for _, a := range addrs {
		l, err := gate.Listen(ctx, a)
		if err != nil {
			for _, open := range ls {
				open.Close()
			}
			return nil, errors.Annotatef(err, "listen on %s", a)
		}
		ls = append(ls, l)
	}
	return ls, nil
}

// build creates the components of the node and connects them.
func (n *Node) build(ctx context.Context) {
	s := n.Settings
	n.inFlight = &works.Table{}
	n.feeds = &feeds.Feeds{Source: n.Source, Decoder: n.Decoder, Logger: n.Logger, Bootstrap: s.Bootstrap}
	n.mesh = &share.Mesh{
		Self: relay.Member{Name: s.Name, Address: s.PeerAddress, DataCentre: s.DataCentre, Cores: s.Cores}, InFlight: n.inFlight, Logger: n.Logger,
		HubThreshold: share.DefaultHubThreshold,
	}
	n.mesh.Init(ctx)
	n.stateSync = newStateSync(n.feeds, n.mesh, n.DecodeCatalog, n.Logger)
	n.feeds.ServedFor = n.stateSync.servedFor
	n.gate = &gate.Server{
		Dialect: n.Dialect, Reserver: n.Reserver, Feeds: n.feeds, InFlight: n.inFlight, Node: s.Name, DataCentre: s.DataCentre, Regions: s.Regions,
		StrictRevocation: s.StrictRevocation, MaxConfigAge: s.MaxConfigAge, MaxUnusedMemory: s.MaxUnusedMemory, Budget: s.Budget, GracePeriod: s.GracePeriod, Logger: n.Logger,
		DialEndpoint: n.DialEndpoint, AnnounceStatus: n.mesh.AnnounceStatus, AnnounceAvailability: n.mesh.AnnounceAvailability, AnnounceRest: n.mesh.AnnounceRest, AnnounceDecision: n.mesh.AnnounceDecision, Peers: n.mesh.Peers,
		RequestEndpoints: n.stateSync.requestEndpoints,
		MaxBufferedBytes: int64(s.MemoryMB) << 20 / bufferDivisor, MaxRequestBytes: int64(s.MemoryMB) << 20 / requestDivisor,
		AnnounceStart: n.mesh.AnnounceStart, AnnounceDecoding: n.mesh.AnnounceDecoding, AnnounceEnd: n.mesh.AnnounceEnd, NodeCount: n.mesh.NodeCount,
		AnnounceStrike: n.mesh.AnnounceStrike, AnnounceProof: n.mesh.AnnounceProof, AnnounceTrial: n.mesh.AnnounceTrial, AnnounceFailure: n.mesh.AnnounceFailure, AnnounceBreak: n.mesh.AnnounceBreak, AnnounceLimits: n.mesh.AnnounceLimits, Nodes: n.mesh.Nodes, FetchPermit: n.mesh.FetchPermit,
		ColdOverage: s.ColdOverage, ColdSlack: s.ColdSlack, Members: n.members, Bootstrap: s.Bootstrap,
	}
	n.feeds.OnReturned = func(dc ident.DataCentre) { n.gate.DataCentreReturned(dc, time.Now()) }
	n.mesh.OnFailed, n.mesh.OnBroke, n.mesh.OnStruck = n.gate.AddPeerFailures, n.gate.AddPeerBreaks, n.gate.AddStrikes
	n.mesh.PartStates, n.mesh.OnPartStates, n.mesh.OnProofs = n.gate.PartStates, n.gate.AddPeerPartStates, n.gate.AddPeerProofs
	n.mesh.OnTrials = n.gate.AddPeerTrials
	n.mesh.Availability, n.mesh.OnAvailability = n.gate.Availability, n.gate.AddPeerAvailability
	n.mesh.Rests, n.mesh.OnRests = n.gate.Rests, n.gate.AddPeerRests
	n.mesh.OnDecisions = n.gate.AddPeerDecisions
	n.mesh.OnOrphans = n.addOrphans
	if n.UseDialer != nil {
		n.UseDialer(n.gate.DialListed)
	}
	n.mesh.Status = func() (isolated, leaving bool) { return n.gate.Isolated(), n.gate.Draining() }
	tunnels := &tunnel.Server{Connect: n.gate.ConnectForPeer}
	n.mesh.ServeTunnel = tunnels.Serve
	n.mesh.Permit = n.gate.Permit
	n.mesh.Limits, n.mesh.OnLimits = n.gate.Limits, n.gate.AddPeerLimits
	for _, a := range s.Seeds {
		n.mesh.AddPeer(a)
	}
}

// ready reports whether the node can serve callers.
func (n *Node) ready() bool {
	return n.feeds.Catalog() != nil && n.feeds.Endpoints() != nil && n.feeds.EvacuationsKnown() && !n.stale()
}

// stale reports whether the configuration is too old for checking keys: a key
// may have been revoked since. A node whose keys wait until records that the store has lost are
// written again isn't stale: as a rule all nodes wait then, and it serves what needs no key.
func (n *Node) stale() bool {
	catalog, confirmedAt := n.feeds.ConfirmedCatalog()
	if !n.Settings.StrictRevocation || catalog.Keys == nil {
		return false
	}
	now := clock.Now()
	isOld := confirmedAt == 0 || now.Sub(confirmedAt) > n.Settings.MaxConfigAge
	return isOld && n.feeds.ConfirmWait(now) == 0
}

// serveReady answers the readiness checks of the load balancer until the context
// ends. The node is not ready once stop is cancelled.
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

// serveUntil serves the listener until the context ends.
func serveUntil(ctx context.Context, srv *fasthttp.Server, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	err := srv.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// drain waits until stop is cancelled, and then until no request is in flight
// and no caller would reuse an idle connection. Then it closes the connections of
// callers. It ends at the latest stopMargin before the end of the grace period.
func (n *Node) drain(ctx, stop context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-stop.Done():
	}
	began := time.Now()
	n.gate.Drain()
	n.Logger.Info().Int("inFlight", n.gate.InFlightCount()).Msg("node: stopping")
	end := began.Add(n.Settings.GracePeriod - stopMargin)
	for now := began; now.Before(end.Add(-closeTime)); now = time.Now() {
		if now.Sub(began) >= minDrainTime && n.gate.MayStop(now) {
			break
		}
		if !delay.For(ctx, pollInterval) {
			return
		}
	}
	stopCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.gate.Stop(stopCtx)
	n.Logger.Info().Int("inFlight", n.gate.InFlightCount()).Dur("after", time.Since(began)).Msg("node: stopped")
}
