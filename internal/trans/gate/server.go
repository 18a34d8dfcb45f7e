// Package gate serves callers: it reads their requests, sends each to an
// endpoint, tries again where that is safe, and passes the answer back as it
// was given.
package gate

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/coord/extra"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// Limits before the first configuration is known.
	defaultHeader        = 16 << 10
	defaultBody          = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// writeTimeout bounds one write to a caller who doesn't read.
	writeTimeout = 10 * time.Second
	readBuffer   = 4 << 10
	// maxConns bounds the connections of callers.
	maxConns = 3000
)

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// Dialect reads and writes the header fields of a deployment.
type Dialect interface {
	// Ask reads what the header of a request says.
	Ask(h *http1.Head) (relay.RequestHeader, error)
	// Passes reports whether a caller's field goes to endpoints.
	Passes(f http1.Field, resumed bool) bool
	// Send adds the fields that a node sets.
	Send(b []byte, s relay.ForwardHeader) []byte
	// Note reads what the header of an answer says.
	Note(h *http1.Head, status int) relay.ResponseHeader
}

// Orders reserves memory at engines.
type Orders interface {
	// Reserve sets memory aside or renews a reservation. It returns
	// ErrNoMemory if the engine has none free.
	Reserve(ctx context.Context, e *topol.Endpoint, r relay.Reservation) error
	// Release ends a reservation.
	Release(ctx context.Context, e *topol.Endpoint, ticket string) error
}

// ErrNoMemory means that an engine has no memory to reserve.
const ErrNoMemory = errors.ConstError("no memory to reserve")

// Budget bounds the sends beyond the first of each request for all nodes.
type Budget struct {
	Ratio  float64
	Window time.Duration
	Extra  int
}

// Server serves callers. The exported fields are set before Run.
type Server struct {
	Dialect    Dialect
	Orders     Orders
	Feeds      *feeds.Feeds
	Works      *works.Table
	Node       ident.NodeName
	DataCentre ident.DataCentre
	// Strict refuses requests with keys while the configuration is older than
	// Revoke.
	Strict bool
	Revoke time.Duration
	Budget Budget
	// Grace is the time between the order to stop and the end.
	Grace  time.Duration
	Logger zerolog.Logger
	// Began, Wrote and Done tell the peers of this node's works.
	Began func(works.Work)
	Wrote func(works.ID)
	Done  func(works.ID)
	// Strike and Report tell them of a broken connection and of an endpoint
	// that can't be reached.
	Strike func(strik.Strike)
	Report func(ident.EndpointName)
	// Nodes returns the number of nodes alive.
	Nodes func() int

	boot    int64
	pools   links.Pools
	health  health
	strikes strikes
	lines   lines
	metrics *metrics
	// metricsOnce guards the making of metrics.
	metricsOnce sync.Once
	budgets     budgets
	nextID      atomic.Uint64
	stopping    atomic.Bool
	// stopSince is the Unix time of the order to stop in nanoseconds.
	stopSince atomic.Int64
	inFlight  atomic.Int64
	open      atomic.Int64

	mu    sync.Mutex
	conns map[*caller]struct{}
}

// budgets holds the budget of each service.
type budgets struct {
	mu sync.Mutex
	m  map[ident.ServiceName]*extra.Budget
}

func (s *Server) budget(n ident.ServiceName) *extra.Budget {
	b, ok := s.budgets.m[n]
	if !ok {
		b = &extra.Budget{Ratio: s.Budget.Ratio, Window: s.Budget.Window, Floor: s.Budget.Extra}
		if s.budgets.m == nil {
			s.budgets.m = map[ident.ServiceName]*extra.Budget{}
		}
		s.budgets.m[n] = b
	}
	return b
}

// countRequest notes a request for a service.
func (s *Server) countRequest(n ident.ServiceName) {
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	s.budget(n).Request(time.Now())
}

// takeExtra reports whether one more send to a service is within the budget.
func (s *Server) takeExtra(n ident.ServiceName) bool {
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	return s.budget(n).Take(time.Now(), s.Nodes())
}

// Run serves callers on a listener until the context ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	s.conns = map[*caller]struct{}{}
	s.boot = time.Now().UnixMilli()
	stop := context.AfterFunc(ctx, func() { l.Close(); s.closeAll() })
	defer stop()
	go s.sweep(ctx)
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			s.Logger.Warn().Err(err).Msg("gate: accept failed")
			time.Sleep(acceptPause)
			continue
		}
		if s.open.Load() >= maxConns {
			s.Logger.Warn().Msg("gate: too many connections")
			c.Close()
			continue
		}
		s.open.Add(1)
		go s.serve(ctx, c)
	}
}

const (
	// acceptPause is the wait after a failed accept.
	acceptPause = 20 * time.Millisecond
	// sweepEvery is the pause between two searches for idle connections.
	sweepEvery = time.Second
)

// sweep closes connections to endpoints that are not used any more.
func (s *Server) sweep(ctx context.Context) {
	delay.Every(ctx, sweepEvery, func(now time.Time) {
		s.strikes.expire(now)
		fleet := s.Feeds.Endpoints()
		s.pools.Expire(now, func(addr string) bool {
			return fleet == nil || fleet.ByAddress[addr] != nil
		})
	})
}

// Drain lets callers know that this node stops.
func (s *Server) Drain() { s.drainSince(time.Now()) }

func (s *Server) drainSince(t time.Time) {
	s.stopSince.Store(t.UnixNano())
	s.stopping.Store(true)
}

// ending reports whether a new request might not be finished before this node
// ends.
func (s *Server) ending(k topol.Kind, now time.Time) bool {
	if !s.stopping.Load() {
		return false
	}
	since := now.Sub(time.Unix(0, s.stopSince.Load()))
	if k == topol.Stream {
		return since > lastStreams
	}
	return since > s.Grace-lastPlain
}

const (
	// lastStreams is the time after the order to stop up to which new streams
	// are taken; lastPlain is the time before the end of the grace up to which
	// other requests are.
	lastStreams = 2500 * time.Millisecond
	lastPlain   = 2500 * time.Millisecond
)

// InFlight returns the number of requests under way.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// caller is one connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *Server) serve(ctx context.Context, nc net.Conn) {
	c := &caller{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer)}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.open.Add(-1)
		c.Close()
	}()
	for ctx.Err() == nil && s.serveOne(c) {
	}
}

// limits are the bounds on what callers may send.
func (s *Server) limits() (header, body int, headerTimeout, idle time.Duration) {
	c := s.Feeds.Catalog()
	if c == nil {
		return defaultHeader, defaultBody, defaultHeaderTimeout, defaultIdleTimeout
	}
	l := c.Limits
	return l.Header, l.Body, l.HeaderTimeout, l.IdleTimeout
}

// serveOne serves one request and reports whether the connection can carry
// another.
func (s *Server) serveOne(c *caller) bool {
	headerLimit, bodyLimit, headerTimeout, idle := s.limits()
	c.SetReadDeadline(time.Now().Add(idle))
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	arrived := time.Now()
	c.SetReadDeadline(arrived.Add(headerTimeout))
	req, err := http1.ReadRequest(c.reader, headerLimit)
	if err != nil {
		s.refuseMessage(c, err)
		return false
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{server: s, caller: c, request: req, arrived: arrived, done: make(chan struct{})}
	if req.Continue && req.Framing != http1.None {
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.SetReadDeadline(arrived.Add(bodyTimeout))
	x.body, err = http1.ReadBody(c.reader, req.Framing, req.Length, bodyLimit)
	if err != nil {
		s.refuseMessage(c, err)
		return false
	}
	c.SetReadDeadline(time.Time{})
	x.run()
	return x.keep && !req.Close && !s.stopping.Load()
}

// bodyTimeout bounds the time in which a body arrives.
const bodyTimeout = 15 * time.Second

// refuseMessage answers what is no proper request, as far as the caller can
// still hear it.
func (s *Server) refuseMessage(c *caller, err error) {
	status := 0
	var ne net.Error
	switch {
	case errors.Is(err, http1.ErrHeaderTooLong):
		status = 431
	case errors.Is(err, http1.ErrBodyTooLong):
		status = 413
	case errors.As(err, &ne) && ne.Timeout():
		status = 408
	case errors.Is(err, http1.ErrMalformed):
		status = 400
	}
	if status == 0 {
		return
	}
	s.figures().requests.WithLabelValues("unknown", strconv.Itoa(status)).Inc()
	s.line(false).Err(err).Int("status", status).Msg("gate: refused a message")
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.Write(ownAnswer(status, 0, true))
	if l, ok := c.Conn.(*conns.LingeringConn); ok {
		l.Linger()
	}
}

// listenConfig hardens the connections of callers.
var listenConfig = net.ListenConfig{Control: conns.SetTCPUserTimeout}

// Listen opens the callers' port.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	l, err := listenConfig.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return conns.LingerListener{Listener: l}, nil
}

func random() float64 { return rand.Float64() }
