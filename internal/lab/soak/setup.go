package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// portsPerNode is the number of consecutive ports reserved for each node.
	portsPerNode = 8
	// gracePeriod is how long a graceful shutdown of a node may take.
	gracePeriod = 8 * time.Second
)

// setUp starts the store, the endpoints and the nodes, and writes the records of
// the configuration and the endpoints.
func (s *Soak) setUp(ctx context.Context, g *errgroup.Group) error {
	s.store = s.Deployment.NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h := &http.Server{Handler: s.store}
	g.Go(func() error { h.Serve(l); return nil })
	context.AfterFunc(ctx, func() { h.Close() })
	if err := s.setUpEndpoints(ctx, g); err != nil {
		return err
	}
	s.keys = []string{permanentKey, "k0"}
	s.idleLimit = defaultIdleTimeout
	defer s.journal.StartIdleLimit(s.idleLimit)()
	if err := s.publishConfig(); err != nil {
		return err
	}
	return s.setUpNodes(ctx, g, l.Addr().String())
}

// newProxy starts a proxy to a target on a free port.
func newProxy(ctx context.Context, g *errgroup.Group, target func() string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Listener: l, Target: target}
	g.Go(func() error { p.Run(ctx); return nil })
	return p, nil
}

func (s *Soak) setUpEndpoints(ctx context.Context, g *errgroup.Group) error {
	for i := range 2 * s.Endpoints {
		service := []ident.ServiceName{plainService, modelService}[i%2]
		e := &endpointServer{codec: s.Deployment, journal: s.journal, workspace: workspace, crashing: &s.crashing, failResumes: &s.failResumes}
		e.onCrash = func(p *crashingPart) { s.crash(ctx, e, p) }
		p, err := newProxy(ctx, g, e.target)
		if err != nil {
			return err
		}
		p.Owner = s.ownerOf
		e.proxy = p
		first := s.newEndpoint(e, service)
		if err := e.start(first); err != nil {
			return err
		}
		context.AfterFunc(ctx, e.stop)
		s.endpoints = append(s.endpoints, e)
		if err := s.publishEndpoint(first); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) setUpNodes(ctx context.Context, g *errgroup.Group, storeAddress string) error {
	ips := make([]string, s.Nodes)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.0.1.%d", i+1)
	}
	port, err := findFreePorts(ips)
	if err != nil {
		return err
	}
	for i, ip := range ips {
		p, err := newProxy(ctx, g, func() string { return storeAddress })
		if err != nil {
			return err
		}
		dc := dataCentres[i%len(dataCentres)]
		n := &process{programs: s.Programs, starts: i, deployment: s.Deployment, journal: s.journal, dir: s.Dir, storeProxy: p, config: NodeConfig{
			Name: ident.NodeName(fmt.Sprintf("node-%s-%d", dc, i)), DataCentre: dc, IP: ip, Port: port,
			Seeds: ips[:min(3, len(ips))], StoreAddress: p.Address(), Bootstrap: true, Bounds: s.Bounds, GracePeriod: gracePeriod,
		}}
		if n.distantProxy, err = newProxy(ctx, g, n.callerAddress); err != nil {
			return err
		}
		n.distantProxy.Delay = distantDelay
		n.distantProxy.SetMode(ModeDelay)
		if err := n.start(); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		g.Go(func() error { n.watchReadiness(ctx); return nil })
	}
	return nil
}

// findFreePorts returns the first of portsPerNode consecutive ports that are free
// on all the given IP addresses.
func findFreePorts(ips []string) (int, error) {
	const tries, low, high = 200, 20000, 30000
	for range tries {
		port := low + rand.IntN(high-low)
		if arePortsFree(ips, port) {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

func arePortsFree(ips []string, port int) bool {
	for _, ip := range ips {
		for i := range portsPerNode {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+i))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// awaitReady waits until all nodes are ready.
func (s *Soak) awaitReady(ctx context.Context) error {
	const limit = 30 * time.Second
	began := time.Now()
	for slices.ContainsFunc(s.nodes, func(n *process) bool { return !n.isReady() }) {
		if time.Since(began) > limit || !delay.For(ctx, readyCheckInterval) {
			return errors.New("nodes are not ready")
		}
	}
	return nil
}

func (s *Soak) terminateNodes() {
	for _, n := range s.nodes {
		<-n.terminate()
	}
}
