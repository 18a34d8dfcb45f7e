// Package gate serves callers: it reads their requests, forwards each to an
// endpoint, retries where that is safe, and passes the response on to the
// caller.
package gate

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/extra"
	"laburnumstack.org/laburnum/internal/coord/homes"
	"laburnumstack.org/laburnum/internal/coord/memory"
	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/reach"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
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
	// writeTimeout bounds one write to a caller, which may have stopped
	// reading.
	writeTimeout = 10 * time.Second
	// maxConns bounds the number of callers' connections.
	maxConns = 3000
)

// Dialect reads and writes the header fields that are specific to a
// deployment.
type Dialect interface {
	// ParseRequest parses the header of a caller's request.
	ParseRequest(h *http1.Head) (relay.RequestHeader, error)
	// ForwardsField reports whether a field of a caller's request is forwarded
	// to endpoints. resumed is set if the node itself sets the event after
	// which a stream resumes.
	ForwardsField(f http1.Field, resumed bool) bool
	// AppendFields appends the fields that a node adds to a forwarded request.
	AppendFields(b []byte, h relay.ForwardHeader) []byte
	// Probe returns a request that shows whether an endpoint can be reached. The endpoint
	// runs nothing for it, and its response doesn't matter.
	Probe(e *topol.Endpoint) []byte
	// ParseResponse parses the header of an endpoint's response.
	ParseResponse(h *http1.Head, status int) relay.ResponseHeader
}

// Reserver reserves memory at engines.
type Reserver interface {
	// Reserve reserves memory or renews a reservation. It returns ErrNoMemory
	// if the engine has too little free memory, and ErrMisdirected if another
	// endpoint has its address.
	Reserve(ctx context.Context, e *topol.Endpoint, r relay.Reservation) error
	// Release ends a reservation.
	Release(ctx context.Context, e *topol.Endpoint, reservationID string) error
}

// ErrNoMemory means that an engine has too little free memory for a
// reservation.
const ErrNoMemory = errors.ConstError("no memory to reserve")

// ErrMisdirected means that another endpoint has the address of the engine's record.
const ErrMisdirected = errors.ConstError("another endpoint has the address of the engine's record")

// Budget bounds the retries for each service. A retry is another send of a
// request that an endpoint has refused or may have run. Sends after one that
// could not reach its endpoint don't count. In each Window, a node may retry Ratio
// times per request that it received, and all nodes together may make Extra
// further retries.
type Budget struct {
	Ratio  float64
	Window time.Duration
	Extra  int
}

// Server serves callers. The exported fields are set before Run.
type Server struct {
	Dialect  Dialect
	Reserver Reserver
	Feeds    *feeds.Feeds
	// InFlight holds the requests of all nodes that are in flight at endpoints.
	InFlight   *works.Table
	Node       ident.NodeName
	DataCentre ident.DataCentre
	// Regions holds the regions of this node and of the data centres.
	Regions homes.Regions
	// StrictRevocation rejects requests to routes that need a key if the
	// configuration is older than MaxConfigAge minus revokeMargin, so that a
	// revoked key works no longer than MaxConfigAge.
	StrictRevocation bool
	MaxConfigAge     time.Duration
	// MaxUnusedMemory is how long memory may stay reserved at an engine before a prompt
	// uses it; zero means no bound.
	MaxUnusedMemory time.Duration
	Budget          Budget
	// MaxBufferedBytes bounds the bytes of endpoints' responses that the node holds
	// at one time, but for small ones; zero means no bound.
	MaxBufferedBytes int64
	// MaxRequestBytes bounds the bytes of callers' requests that the node holds at one time,
	// but for small ones; zero means no bound.
	MaxRequestBytes int64
	// MinGapWait is the least time for which a stream is silent, and HeaderSlack that for
	// which its header is overdue, before another endpoint is tried; zero means the
	// defaults.
	MinGapWait, HeaderSlack time.Duration
	// GracePeriod is the time between the stop signal and the end of the
	// process.
	GracePeriod time.Duration
	Logger      zerolog.Logger
	// AnnounceStart, AnnounceDecoding and AnnounceEnd inform the peers of this
	// node's in-flight requests.
	AnnounceStart    func(works.Request)
	AnnounceDecoding func(works.ID)
	AnnounceEnd      func(works.ID)
	// AnnounceStrike informs the peers of a strike, AnnounceProof of parts that are
	// cleared of strikes, and AnnounceFailure of an endpoint that failed.
	AnnounceStrike func(strik.Strike)
	AnnounceProof  func(strik.Proof)
	// AnnounceTrial informs the peers that this node has begun or ended a trial of barred parts.
	AnnounceTrial   func(strik.Trial)
	AnnounceFailure func(ident.EndpointName)
	// AnnounceBreak informs the peers of an endpoint that lives, but broke the connection of a
	// request.
	AnnounceBreak func(ident.EndpointName)
	// AnnounceLimits informs the peers of limits that endpoints named or that have
	// ended.
	AnnounceLimits func(...quota.Limit)
	// AnnounceAvailability informs the peers of what an endpoint stated to all nodes,
	// AnnounceRest of what it stated to one.
	AnnounceAvailability func(avail.State)
	AnnounceRest         func(avail.Rest)
	// AnnounceDecision informs the peers of a decision on a prompt.
	AnnounceDecision func(bysize.Decision)
	// Nodes returns the nodes that share the limits of endpoints.
	Nodes func(now time.Time) quota.Nodes
	// Members returns the nodes that share the requests to endpoints that are cold or in slow
	// start; nil means that this node is alone.
	Members func(now time.Time) pace.Members
	// FetchPermit asks another node for the permission to send a request to an
	// endpoint, out of that node's share of the endpoint's limit.
	FetchPermit func(ident.NodeName, quota.Key) (relay.Permit, error)
	// AnnounceStatus informs the peers that Isolated has changed, Peers returns the
	// peers over which requests can be sent.
	AnnounceStatus func()
	Peers          func(now time.Time) []reach.Peer
	// DialEndpoint opens connections to endpoints; if it is nil, links.Dial does.
	DialEndpoint links.DialFunc
	// RequestEndpoints asks for a newer list of endpoints; nil means that there is no way to.
	RequestEndpoints func()
	// ColdOverage and ColdSlack give the bound on the requests to a cold endpoint in any
	// second: the rate that it tolerates times ColdOverage, plus ColdSlack.
	ColdOverage, ColdSlack float64
	// Bootstrap is set if no node has run in the deployment before, so that the endpoints
	// run no requests of earlier nodes.
	Bootstrap bool
	// NodeCount returns the number of known nodes, including this one.
	NodeCount func() int

	// startedAt is when Run began.
	startedAt time.Time
	// startMillis is the Unix time of startedAt in milliseconds. It keeps
	// reservation IDs unique across restarts.
	startMillis int64
	// unsent holds this node's requests that are placed, but wait for a reservation or a
	// connection. They count toward the load of their endpoints for this node alone.
	unsent         works.Table
	pools          links.Pools
	endpointHealth endpointHealth
	strikes        strikes
	direct         directLinks
	diagnoses      singleflight.Group
	looks          singleflight.Group
	investigations singleflight.Group
	availability   statedAvailability
	endpointLimits endpointLimits
	staleRecords   staleRecords
	pacing         pacing
	isolation      atomic.Pointer[isolation]
	decisions      sizeDecisions
	evacuationLog  evacuationLog
	// limitsOnce guards the creation of endpointLimits.
	limitsOnce sync.Once
	logLimiter logLimiter
	// noRegionsOnce guards the log line that the settings name no regions.
	noRegionsOnce sync.Once
	// unansweredLog limits the lines about requests without a response.
	unansweredLog logLimiter
	metrics       *metrics
	// metricsOnce guards the creation of metrics.
	metricsOnce  sync.Once
	retryBudgets retryBudgets
	// lastID is the last number used in the ID of an in-flight request or a
	// reservation.
	lastID atomic.Uint64
	// drainStart is when the stop signal came, if it has.
	drainStart clock.Moment
	// inFlightCount counts the requests of callers that this node serves.
	inFlightCount atomic.Int64
	// requestBytes counts the bytes of callers' requests.
	requestBytes memory.Counter
	// answers is the memory for endpoints' responses.
	answers memory.Budget
	// openConns counts the connections of callers, refusedConns those beyond maxConns.
	openConns    atomic.Int64
	refusedConns atomic.Int64

	// stopping is set once connections without a request are closed.
	stopping atomic.Bool

	// mu guards what follows.
	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	listener net.Listener
	// acceptEnded is closed when no more connections are accepted.
	acceptEnded chan struct{}
}

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	mu        sync.Mutex
	byService map[ident.ServiceName]*extra.Budget
}

// retryBudget returns the retry budget of a service and creates it if needed.
// The caller must hold s.retryBudgets.mu.
func (s *Server) retryBudget(n ident.ServiceName) *extra.Budget {
	b, ok := s.retryBudgets.byService[n]
	if !ok {
		b = &extra.Budget{Ratio: s.Budget.Ratio, Window: s.Budget.Window, Extra: s.Budget.Extra}
		if s.retryBudgets.byService == nil {
			s.retryBudgets.byService = map[ident.ServiceName]*extra.Budget{}
		}
		s.retryBudgets.byService[n] = b
	}
	return b
}

// countRequest counts a request for a service in its retry budget.
func (s *Server) countRequest(n ident.ServiceName) {
	s.retryBudgets.mu.Lock()
	defer s.retryBudgets.mu.Unlock()
	s.retryBudget(n).AddRequest(time.Now())
}

// takeRetry reports whether the budget of a service allows another retry, and
// takes it from the budget.
func (s *Server) takeRetry(n ident.ServiceName) bool {
	s.retryBudgets.mu.Lock()
	defer s.retryBudgets.mu.Unlock()
	return s.retryBudget(n).TakeRetry(time.Now(), s.NodeCount())
}

// Run serves callers on a listener until the context ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	s.startedAt = time.Now()
	s.startMillis = s.startedAt.UnixMilli()
	s.answers.Limit = s.MaxBufferedBytes
	s.logRegions()
	s.InFlight.Watch(s.observeMark, s.observeEnd)
	acceptEnded := make(chan struct{})
	s.mu.Lock()
	s.conns = map[*callerConn]struct{}{}
	s.listener, s.acceptEnded = l, acceptEnded
	s.mu.Unlock()
	go s.sweep(ctx)
	go s.watchLinks(ctx)
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	err := s.accept(ctx, l)
	close(acceptEnded)
	if err != nil {
		return err
	}
	<-ctx.Done()
	s.closeAll()
	return nil
}

// accept accepts connections and serves each, until the context ends or Stop is called.
func (s *Server) accept(ctx context.Context, l net.Listener) error {
	patient := conns.Patient(l, s.Logger, s.getMetrics().acceptErrors.Inc)
	for {
		c, err := patient.Accept()
		if err != nil && (ctx.Err() != nil || s.stopping.Load()) {
			return nil
		}
		if err != nil {
			return err
		}
		if s.openConns.Load() >= maxConns {
			go s.refuseConn(c)
			continue
		}
		s.openConns.Add(1)
		go s.serve(ctx, c)
	}
}

// sweepInterval is how often expired strikes and connections are dropped.
const sweepInterval = time.Second

// sweep periodically drops expired strikes, and closes idle connections to
// endpoints that have expired or whose endpoint is gone.
func (s *Server) sweep(ctx context.Context) {
	delay.Every(ctx, sweepInterval, func(now time.Time) {
		s.strikes.Update(func(t *strik.Parts) { t.Expire(now) })
		s.refreshLimits(now)
		s.expireAvailability(now)
		s.refreshStale()
		s.refreshPace(now)
		s.decisions.expire(now)
		s.logEvacuations()
		endpoints := s.Feeds.Endpoints()
		s.pools.Expire(now, func(addr string) bool {
			return endpoints == nil || endpoints.ByAddress[addr] != nil
		})
	})
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// listenConfig bounds how long bytes sent on an accepted connection may stay
// unacknowledged.
var listenConfig = net.ListenConfig{Control: conns.SetTCPUserTimeout}

// Listen listens on a TCP address. The accepted connections are of type
// *conns.LingeringConn.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	l, err := listenConfig.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return conns.LingeringListener{Listener: l}, nil
}

func random() float64 { return rand.Float64() }
