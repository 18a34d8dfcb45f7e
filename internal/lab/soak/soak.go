package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	plainService ident.ServiceName   = "plain"
	modelService ident.ServiceName   = "model"
	host                             = "soak.example"
	workspace    ident.WorkspaceName = "w1"
	steadyKey                        = "steady"
	slots                            = 16
	// steadyShare of the callers use the key that stays, oldShare one that was
	// taken away, the others the newest.
	steadyShare = 0.5
	oldShare    = 0.1
	// portsEach is the number of ports of a node.
	portsEach = 8
	grace     = 8 * time.Second
)

var dataCentres = []ident.DataCentre{"a", "b", "c"}

// Soak is one run. The exported fields are set before Run.
type Soak struct {
	// Program is the path of the node's program.
	Program    string
	Deployment Deployment
	// Dir takes the settings and logs.
	Dir  string
	Seed uint64
	// For is how long faults come; Calm is the time before and after them.
	For, Calm time.Duration
	Nodes     int
	// Endpoints of each service and Callers are numbers.
	Endpoints, Callers int
	Bounds             Bounds
	// Output takes a line for each fault.
	Output io.Writer

	journal *Journal
	store   Store
	nodes   []*process
	servers []*server
	starts  atomic.Int64
	ids     atomic.Int64

	mu      sync.Mutex
	version ident.Version
	keys    []string
}

// Result is what a run showed.
type Result struct {
	Calls, Served, Refused, Broken, Steps int
	Violations                            []Violation
}

// Run plays the faults and checks the promises.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.journal = NewJournal()
	g, ctx := errgroup.WithContext(ctx)
	steps := Plan(s.Seed, s.For)
	var calm time.Time
	err := s.setUp(ctx, g)
	defer s.endNodes()
	if err == nil {
		end := s.journal.Disturb(Trouble{What: "start"})
		err = s.await(ctx)
		end()
	}
	if err == nil {
		callers, leave := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for range s.Callers {
			wg.Go(func() { s.newCaller().run(callers) })
		}
		delay.For(ctx, s.Calm)
		err = s.playAll(ctx, steps)
		delay.For(ctx, s.Bounds.Calm)
		calm = time.Now()
		delay.For(ctx, s.Calm)
		leave()
		wg.Wait()
	}
	s.endNodes()
	cancel()
	if werr := g.Wait(); err == nil && werr != nil && !errors.Is(werr, context.Canceled) {
		err = werr
	}
	if err != nil {
		return Result{}, err
	}
	return s.result(steps, calm), nil
}

func (s *Soak) result(steps []Step, calm time.Time) Result {
	r := Result{Steps: len(steps), Violations: s.journal.Check(s.Bounds, calm)}
	for _, c := range s.journal.all() {
		r.Calls++
		switch {
		case c.Status == http.StatusOK && c.Whole:
			r.Served++
		case c.Status >= http.StatusBadRequest:
			r.Refused++
		case c.Gone.IsZero():
			r.Broken++
		}
	}
	return r
}

// setUp starts the store, the endpoints and the nodes.
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
	s.keys = []string{steadyKey, "k0"}
	if err := s.publish(); err != nil {
		return err
	}
	return s.setUpNodes(ctx, g, l.Addr().String())
}

// newProxy runs a proxy to a target.
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
		e := &server{codec: s.Deployment, journal: s.journal, workspace: workspace}
		p, err := newProxy(ctx, g, e.target)
		if err != nil {
			return err
		}
		e.proxy = p
		first := s.newEndpoint(e, service)
		if err := e.start(first); err != nil {
			return err
		}
		context.AfterFunc(ctx, e.stop)
		s.servers = append(s.servers, e)
		if err := s.list(first); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) setUpNodes(ctx context.Context, g *errgroup.Group, store string) error {
	ips := make([]string, s.Nodes)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.0.1.%d", i+1)
	}
	port, err := freePorts(ips)
	if err != nil {
		return err
	}
	for i, ip := range ips {
		p, err := newProxy(ctx, g, func() string { return store })
		if err != nil {
			return err
		}
		dc := dataCentres[i%len(dataCentres)]
		n := &process{program: s.Program, deployment: s.Deployment, journal: s.journal, dir: s.Dir, store: p, place: Place{
			Name: ident.NodeName(fmt.Sprintf("node-%s-%d", dc, i)), DataCentre: dc, IP: ip, Port: port,
			Seeds: ips[:min(3, len(ips))], Store: p.Address(), First: true, Bounds: s.Bounds, Grace: grace,
		}}
		if err := n.start(); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		g.Go(func() error { n.watch(ctx); return nil })
	}
	return nil
}

// freePorts returns the first of some ports that are free on all hosts.
func freePorts(ips []string) (int, error) {
	const tries, low, high = 200, 20000, 30000
	for range tries {
		port := low + rand.IntN(high-low)
		if portsFree(ips, port) {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsFree(ips []string, port int) bool {
	for _, ip := range ips {
		for i := range portsEach {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+i))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// await returns when all nodes are ready.
func (s *Soak) await(ctx context.Context) error {
	const limit = 30 * time.Second
	began := time.Now()
	for slices.ContainsFunc(s.nodes, func(n *process) bool { return !n.answers() }) {
		if time.Since(began) > limit || !delay.For(ctx, readyEvery) {
			return errors.New("nodes are not ready")
		}
	}
	return nil
}

// playAll plays the faults at their times and returns when all are over.
func (s *Soak) playAll(ctx context.Context, steps []Step) error {
	var g errgroup.Group
	began := time.Now()
	for _, st := range steps {
		delay.For(ctx, st.At-time.Since(began))
		fmt.Fprintln(s.Output, st)
		g.Go(func() error { return s.play(ctx, st) })
	}
	return g.Wait()
}

func (s *Soak) endNodes() {
	for _, n := range s.nodes {
		<-n.end()
	}
}

func (s *Soak) newCaller() *caller {
	return &caller{codec: s.Deployment, journal: s.journal, host: host, pick: s.pick, key: s.key, ids: &s.ids}
}

// pick returns a node in rotation, or any if none is.
func (s *Soak) pick() (ident.NodeName, string) {
	at := rand.IntN(len(s.nodes))
	for i := range s.nodes {
		if n := s.nodes[(at+i)%len(s.nodes)]; n.inRotation() {
			return n.name(), n.callers()
		}
	}
	n := s.nodes[at]
	return n.name(), n.callers()
}

// key returns the steady key, the newest, or one that was taken away.
func (s *Soak) key() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := rand.Float64()
	switch {
	case u < steadyShare:
		return steadyKey, true
	case u < steadyShare+oldShare && len(s.keys) > 2:
		return s.keys[1+rand.IntN(len(s.keys)-2)], false
	default:
		return s.keys[len(s.keys)-1], false
	}
}

// changeKeys puts a new key in the place of the newest.
func (s *Soak) changeKeys() error {
	s.mu.Lock()
	old := s.keys[len(s.keys)-1]
	s.keys = append(s.keys, fmt.Sprintf("k%d", len(s.keys)))
	s.mu.Unlock()
	if err := s.publish(); err != nil {
		return err
	}
	s.journal.Revoked(old)
	return nil
}

// publish writes a new version of the configuration.
func (s *Soak) publish() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += ident.Version(1 + rand.IntN(3))
	b, err := s.Deployment.Catalog(s.catalog())
	if err != nil {
		return err
	}
	s.store.Put(feeds.Configuration, s.Deployment.ConfigKey(), b)
	return nil
}

func (s *Soak) catalog() *topol.Catalog {
	w := &topol.Workspace{Name: workspace}
	c := &topol.Catalog{
		Version: s.version,
		Services: map[ident.ServiceName]*topol.Service{
			plainService: {Name: plainService},
			modelService: {Name: modelService, Engine: &topol.Engine{
				Slots: slots, Memory: 300_000, DecodeSteps: 50, PrefillChunk: 2048, StepTime: 850 * time.Microsecond,
				PerSequence: 4 * time.Microsecond, PerThousandContext: 3 * time.Microsecond, PrefillRate: 177_000,
				PerMillionPairs: 184 * time.Microsecond, HopDelay: 50 * time.Microsecond,
			}},
		},
		Limits: topol.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second},
		Keys:   map[string]*topol.Workspace{steadyKey: w, s.keys[len(s.keys)-1]: w},
	}
	for _, k := range []topol.Kind{topol.Once, topol.Idempotent, topol.Stream} {
		service := plainService
		if k == topol.Stream {
			service = modelService
		}
		c.Routes = append(c.Routes, topol.Route{
			Name: ident.RouteName(k.String()), Host: host, Prefix: fmt.Sprintf("/%s/%s/", service, k), Kind: k, Timeout: callTime,
			Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Attempts: 3, Resumable: k == topol.Stream,
			Services: []topol.WeightedService{{Service: service, Weight: 1}},
		})
	}
	return c
}
