// Package peer carries heartbeats, strikes and configurations between nodes
// over net/rpc.
package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	beatEvery = time.Second
	// fanout bounds the peers that one beat goes to.
	fanout      = 6
	callTimeout = time.Second
	// shareWait bounds how long sharing strikes holds up a request.
	shareWait = 500 * time.Millisecond
	// maxKnown bounds the members that one beat passes on.
	maxKnown = 16
)

// Mesh is this node's part of the exchange between nodes. Its exported fields
// are set before Run.
type Mesh struct {
	Self func() membr.Member
	// Seeds are peer addresses from the settings.
	Seeds  []string
	Clock  *trace.Clock
	Ring   *trace.Ring
	Logger zerolog.Logger
	// Fill adds this node's loads to a beat.
	Fill func(*messg.Heartbeat)
	// Take uses the loads of another node's beat.
	Take func(messg.Heartbeat)
	// Snapshot returns this node's configuration.
	Snapshot func() messg.ConfigReply
	// Behind is told of a peer with a newer configuration.
	Behind func(messg.ConfigReply)
	// Struck takes strikes from a peer.
	Struck func([]strik.Strike)

	mu      sync.Mutex
	members *membr.Table
	listed  ident.Set[string]
	clients map[string]*rpc.Client
}

// Init prepares the mesh; it is called once before Run.
func (m *Mesh) Init() {
	m.members = membr.New()
	m.clients = map[string]*rpc.Client{}
	m.listed = ident.Set[string]{}
}

// Run serves peers and sends heartbeats until the context ends.
func (m *Mesh) Run(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.serve(ctx, l) })
	g.Go(func() error { m.beatAll(ctx); return nil })
	return g.Wait()
}

// SetListed replaces the peer addresses that the VM list gave.
func (m *Mesh) SetListed(addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = ident.SetOf(addrs...)
}

// Members returns what is known of the other nodes.
func (m *Mesh) Members() []membr.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Entries()
}

// Alive reports whether a run of a node was heard of lately.
func (m *Mesh) Alive(n ident.NodeName, boot int64) bool {
	if s := m.Self(); s.Name == n {
		return s.Boot == boot
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.members.Get(n)
	return ok && e.Boot == boot && e.State != membr.Dead
}

// Rank returns this node's place by name among the nodes alive, and their
// number.
func (m *Mesh) Rank() (i, n int) {
	self := m.Self().Name
	n = 1
	for _, e := range m.Members() {
		if e.State != membr.Alive || e.Name == self {
			continue
		}
		n++
		if e.Name < self {
			i++
		}
	}
	return i, n
}

// heard notes a member that spoke for itself.
func (m *Mesh) heard(b messg.Heartbeat) {
	m.Clock.Observe(b.Stamp)
	m.mu.Lock()
	cs := m.members.Heard(b.From, time.Now())
	m.mu.Unlock()
	m.noteAll(cs)
	m.Take(b)
}

func (m *Mesh) noteAll(cs []membr.Change) {
	for _, c := range cs {
		was := string(c.From)
		if was == "" {
			was = "unknown"
		}
		m.Ring.Add(trace.Member, "", "node "+string(c.Name)+" is "+string(c.To)+", was "+was)
		if c.To == membr.Dead {
			m.Take(messg.Heartbeat{From: membr.Member{Name: c.Name}})
		}
	}
}

func (m *Mesh) beat() messg.Heartbeat {
	b := messg.Heartbeat{From: m.Self(), Stamp: m.Clock.Now()}
	for _, e := range m.Members() {
		if e.State == membr.Alive && len(b.Known) < maxKnown {
			b.Known = append(b.Known, e.Member)
		}
	}
	m.Fill(&b)
	return b
}

// beatAll sends heartbeats until the context ends.
func (m *Mesh) beatAll(ctx context.Context) {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		m.BeatOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// BeatOnce sends one heartbeat to some peers and ages the members.
func (m *Mesh) BeatOnce(ctx context.Context) {
	b := m.beat()
	var g errgroup.Group
	for _, a := range m.targets() {
		g.Go(func() error { m.beatTo(ctx, a, b); return nil })
	}
	g.Wait()
	m.mu.Lock()
	cs := m.members.Tick(time.Now())
	m.mu.Unlock()
	m.noteAll(cs)
}

// targets returns random peer addresses.
func (m *Mesh) targets() []string {
	self := m.Self().Peer
	m.mu.Lock()
	defer m.mu.Unlock()
	set := ident.SetOf(m.Seeds...)
	for a := range m.listed {
		set.Add(a)
	}
	for _, e := range m.members.Entries() {
		if e.State != membr.Dead {
			set.Add(e.Peer)
		}
	}
	delete(set, self)
	as := set.Sorted()
	rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(len(as), fanout)]
}

func (m *Mesh) beatTo(ctx context.Context, addr string, b messg.Heartbeat) {
	var r messg.Heartbeat
	if err := m.call(ctx, addr, "Node.Beat", b, &r); err != nil {
		return
	}
	m.heard(r)
	for _, k := range r.Known {
		m.meet(k)
	}
	if r.From.Version > b.From.Version {
		m.pull(ctx, addr)
	}
}

// meet learns the address of a member from another one.
func (m *Mesh) meet(k membr.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.members.Get(k.Name); !ok && k.Peer != "" {
		m.listed.Add(k.Peer)
	}
}

// pull fetches the configuration of a peer that has a newer one.
func (m *Mesh) pull(ctx context.Context, addr string) {
	var r messg.ConfigReply
	if err := m.call(ctx, addr, "Node.Config", messg.ConfigArgs{From: m.Self().Name}, &r); err != nil {
		return
	}
	if r.Based {
		m.Behind(r)
	}
}

// Share tells all known peers of new strikes, and returns when those that
// answer in time have them: the caller that is told of a failure may send the
// request to another node at once.
func (m *Mesh) Share(ss []strik.Strike) {
	args := messg.StrikeArgs{Stamp: m.Clock.Now(), Strikes: ss}
	var wg sync.WaitGroup
	for _, e := range m.Members() {
		if e.State == membr.Dead {
			continue
		}
		wg.Go(func() { m.shareWith(e.Peer, args) })
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	t := time.NewTimer(shareWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

func (m *Mesh) shareWith(addr string, args messg.StrikeArgs) {
	if err := m.call(context.Background(), addr, "Node.Strike", args, &messg.Empty{}); err != nil {
		m.Logger.Warn().Err(err).Str("peer", addr).Msg("peer: strikes not shared")
	}
}

// call makes one call with a deadline. A connection that failed or timed out
// is replaced by the next call.
func (m *Mesh) call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := m.client(ctx, addr)
	if err != nil {
		return err
	}
	err = conns.CallRPC(ctx, c, callTimeout, method, args, reply)
	if err != nil {
		m.forget(addr, c)
	}
	return errors.Annotatef(err, "%s at %s", method, addr)
}

func (m *Mesh) client(ctx context.Context, addr string) (*rpc.Client, error) {
	m.mu.Lock()
	c, ok := m.clients[addr]
	m.mu.Unlock()
	if ok {
		return c, nil
	}
	d := net.Dialer{Timeout: callTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c = rpc.NewClient(nc)
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.clients[addr]; ok {
		c.Close()
		return old, nil
	}
	m.clients[addr] = c
	return c, nil
}

func (m *Mesh) forget(addr string, c *rpc.Client) {
	m.mu.Lock()
	if m.clients[addr] == c {
		delete(m.clients, addr)
	}
	m.mu.Unlock()
	c.Close()
}
