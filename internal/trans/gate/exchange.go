package gate

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxSends bounds the sends of one request, including those that the
	// endpoint refused or that could not reach it.
	maxSends = 4
	// revokeMargin is subtracted from MaxConfigAge, so that revoked keys are
	// rejected before that age is reached.
	revokeMargin = 300 * time.Millisecond
	// staleAfter is the age of the configuration from which an unknown route
	// or key may be one that was added since.
	staleAfter = 3500 * time.Millisecond
	// returnedAfter is the time waited from which a caller is assumed to have
	// been rejected before.
	returnedAfter = 300 * time.Millisecond
	// defaultTimeout bounds a request if neither its route nor the caller sets
	// a limit.
	defaultTimeout = 30 * time.Second
	// retrySoon is the Retry-After with which callers try another node soon.
	retrySoon = 200 * time.Millisecond
	// retryLater is the Retry-After with which callers return when the load
	// has gone down.
	retryLater = 700 * time.Millisecond
)

// errCrashesEndpoints means that the connections to several endpoints broke
// while they ran the request.
const errCrashesEndpoints = errors.ConstError("request has broken the connections to several endpoints")

// exchange serves one request of a caller, over all its sends to endpoints.
type exchange struct {
	server  *Server
	caller  *callerConn
	request *http1.Request
	body    []byte
	arrived time.Time
	// deadline is when the caller must have the whole response.
	deadline time.Time

	reqHeader relay.RequestHeader
	catalog   *topol.Catalog
	route     *topol.Route
	service   *topol.Service
	workspace *topol.Workspace

	tried, full ident.Set[ident.EndpointName]
	// estimate is the time to the first event that the last placement
	// predicted.
	estimate time.Duration
	// failedReservations counts the placements for which memory could not be
	// reserved.
	failedReservations int
	// sends counts the endpoints to which the request was sent, possibleRuns
	// those that may have run it.
	sends, possibleRuns int
	// headerSent is set once the response header has been written to the
	// caller.
	headerSent bool
	// lastEvent is the id of the last event that the caller has received.
	lastEvent string
	// keepConn is set while the caller's connection can carry another request.
	keepConn bool
	done     chan struct{}

	mu           sync.Mutex
	callerGone   bool
	endpointConn net.Conn
}

// run serves the request and cancels it if the caller leaves.
func (x *exchange) run() {
	x.keepConn = true
	if !x.admit() {
		return
	}
	watched := make(chan struct{})
	go x.watchCaller(watched)
	x.forward()
	x.caller.SetReadDeadline(expiredDeadline)
	<-watched
	x.caller.SetReadDeadline(time.Time{})
}

// watchCaller waits until the caller closes its connection, and then
// interrupts the send in flight. It also returns if the caller sends more data
// or the read deadline passes.
func (x *exchange) watchCaller(done chan struct{}) {
	defer close(done)
	_, err := x.caller.reader.Peek(1)
	if err == nil {
		return
	}
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.callerGone = true
	if x.endpointConn != nil {
		x.endpointConn.SetDeadline(expiredDeadline)
	}
}

// setEndpointConn sets the connection that is interrupted when the caller
// leaves. It returns false if the caller has already left.
func (x *exchange) setEndpointConn(c net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endpointConn = c
	return !x.callerGone
}

func (x *exchange) callerHasLeft() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.callerGone
}

// admit finds the route, workspace and service of the request. If the request
// can't be served, it rejects it and returns false.
func (x *exchange) admit() bool {
	s := x.server
	x.catalog = s.Feeds.Catalog()
	endpoints := s.Feeds.Endpoints()
	if x.catalog == nil || endpoints == nil {
		x.reject(503, retrySoon, "no configuration yet")
		return false
	}
	var err error
	x.reqHeader, err = s.Dialect.ParseRequest(&x.request.Head)
	if err != nil {
		x.reject(400, 0, err.Error())
		return false
	}
	age := clock.Now().Sub(s.Feeds.CatalogConfirmedAt())
	x.route = x.catalog.Match(x.request.Host, x.request.Path())
	if x.route == nil {
		x.rejectUnknown(404, age, "no matching route")
		return false
	}
	if !x.authorize(age) {
		return false
	}
	if s.rejectsNew(x.route.Kind, x.arrived) {
		x.reject(503, retrySoon/4, "node may stop before the request finishes")
		return false
	}
	x.service = x.catalog.Services[x.route.PickService(random())]
	if x.service == nil {
		x.reject(503, retrySoon, "route has no service")
		return false
	}
	limit := x.route.Timeout
	if x.reqHeader.TimeLeft > 0 && (limit <= 0 || x.reqHeader.TimeLeft < limit) {
		limit = x.reqHeader.TimeLeft
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	x.deadline = x.arrived.Add(limit)
	x.lastEvent = x.reqHeader.LastEvent
	x.tried = ident.Set[ident.EndpointName]{}
	x.full = ident.Set[ident.EndpointName]{}
	s.countRequest(x.service.Name)
	return true
}

// authorize looks up the workspace of the caller's key. If the key is unknown
// or may have been revoked, it rejects the request and returns false.
func (x *exchange) authorize(age time.Duration) bool {
	if x.catalog.Keys == nil || x.route.Public {
		return true
	}
	if x.server.StrictRevocation && age > x.server.MaxConfigAge-revokeMargin {
		x.reject(503, retrySoon, "configuration is too old to trust keys, age "+age.String())
		return false
	}
	w, ok := x.catalog.Keys[x.reqHeader.Key]
	if !ok {
		x.rejectUnknown(401, age, "unknown key")
		return false
	}
	x.workspace = w
	return true
}

// rejectUnknown rejects a request whose route or key is not in the
// configuration. If the configuration is old, the status is 503, since a newer
// one may contain it.
func (x *exchange) rejectUnknown(status int, age time.Duration, reason string) {
	if age > staleAfter {
		x.reject(503, retrySoon, reason+" in a configuration of age "+age.String())
		return
	}
	x.reject(status, 0, reason)
}

// reject ends the request with a response of this node. If the response header
// has already been sent, it marks the connection to be closed instead, so that
// the caller sees a truncated response.
func (x *exchange) reject(status int, retryAfter time.Duration, reason string) {
	e := x.server.requestLog(false).Str("request", x.reqHeader.ID).Int("status", status).Str("why", reason).
		Dur("after", time.Since(x.arrived)).Int("sends", x.sends).Int64("prompt", int64(x.reqHeader.Prompt)).Dur("estimate", x.estimate)
	if x.route != nil {
		e = e.Str("route", string(x.route.Name)).Uint64("version", uint64(x.catalog.Version)).Dur("age", clock.Now().Sub(x.server.Feeds.CatalogConfirmedAt()))
	}
	e.Msg("gate: refused")
	if x.headerSent {
		x.countOutcome("cut")
	} else {
		x.countOutcome(strconv.Itoa(status))
	}
	if x.headerSent {
		x.keepConn = false
		return
	}
	x.writeToCaller(emptyResponse(status, retryAfter, x.closesConn()))
}

// closesConn reports whether the caller's connection is closed after the
// response.
func (x *exchange) closesConn() bool { return x.request.Close || x.server.draining.Load() }

func (x *exchange) writeToCaller(b []byte) bool {
	x.caller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.caller.Write(b); err != nil {
		x.keepConn = false
		return false
	}
	return true
}

// forward sends the request to endpoints until it has a response or is
// rejected.
func (x *exchange) forward() {
	for {
		c, r, err := x.choose()
		if err != nil {
			x.rejectUnplaced(err, place.RetryAfter(c, r))
			return
		}
		x.server.endpointHealth.recordChosen(c.Primary.Name, time.Now())
		o := x.send(c)
		if x.callerHasLeft() {
			x.keepConn = false
			x.countOutcome("left")
			x.server.requestLog(false).Str("request", x.reqHeader.ID).Dur("after", time.Since(x.arrived)).Msg("gate: caller left")
			return
		}
		if x.handleOutcome(c, o) {
			return
		}
	}
}

// choose picks the endpoint of the next send, and the engines that help it.
func (x *exchange) choose() (place.Choice, place.Request, error) {
	s := x.server
	now := time.Now()
	if x.crashesEndpoints(now) {
		return place.Choice{}, place.Request{}, errCrashesEndpoints
	}
	endpoints := s.Feeds.Endpoints()
	if !now.Before(x.deadline) || x.sends >= maxSends {
		return place.Choice{}, place.Request{}, place.ErrNoEndpoint
	}
	r := place.Request{
		Prompt: x.reqHeader.Prompt, Output: x.expectedOutput(), Target: x.remainingTarget(now), Gap: x.route.Gap, IsRetry: x.hasReturned(),
		TimeLeft: x.deadline.Sub(now), DataCentre: s.DataCentre, Tried: x.tried, Full: x.full,
	}
	c, err := place.Choose(place.ServiceState{
		Now: now, Endpoints: endpoints.ByService[x.service.Name], Engine: x.service.Engine,
		InFlight: s.Works.All(),
		Avoid:    func(n ident.EndpointName) bool { return s.endpointHealth.isAvoided(n, now) },
		Suspect:  func(n ident.EndpointName) bool { return s.endpointHealth.isSuspect(n, now) },
		Random:   random,
	}, r)
	x.estimate = c.Estimate
	return c, r, err
}

// hasReturned reports whether the caller has waited before, as one does who
// was rejected by another node, or the request has been sent before.
func (x *exchange) hasReturned() bool { return x.waitedBefore() > returnedAfter || x.sends > 0 }

// waitedBefore returns the time that the caller waited before this request
// arrived: the part of the route's timeout that is missing from the caller's
// time left.
func (x *exchange) waitedBefore() time.Duration {
	if x.reqHeader.TimeLeft <= 0 {
		return 0
	}
	return max(0, x.route.Timeout-x.reqHeader.TimeLeft)
}

// remainingTarget returns the rest of the time within which the caller expects
// the first event, at least 1 ms.
func (x *exchange) remainingTarget(now time.Time) time.Duration {
	return max(time.Millisecond, x.route.Target-x.waitedBefore()-now.Sub(x.arrived))
}

// expectedOutput returns the expected number of tokens of the answer: the
// caller's estimate if it is below the maximum, or else the maximum.
func (x *exchange) expectedOutput() ident.Tokens {
	if x.reqHeader.ExpectedOutput > 0 && x.reqHeader.ExpectedOutput < x.reqHeader.MaxOutput {
		return x.reqHeader.ExpectedOutput
	}
	return x.reqHeader.MaxOutput
}

// rejectUnplaced ends a request that is not sent to any further endpoint. Err
// is the reason that the placement gave.
func (x *exchange) rejectUnplaced(err error, retryAfter time.Duration) {
	switch {
	case x.headerSent:
		x.reject(0, 0, "stream not resumed: "+err.Error())
	case x.possibleRuns > 0 && !time.Now().Before(x.deadline):
		x.reject(504, 0, "no response before the deadline")
	case x.possibleRuns > 0:
		x.reject(502, 0, "no response, the request may have run: "+err.Error())
	case errors.Is(err, place.ErrFull) || errors.Is(err, place.ErrLate) || errors.Is(err, place.ErrCostly) || errors.Is(err, place.ErrDeferred):
		x.reject(503, retryAfter, err.Error())
	default:
		x.reject(503, retrySoon, err.Error())
	}
}

// handleOutcome decides whether the request is sent again. It returns true if
// the request has ended.
func (x *exchange) handleOutcome(c place.Choice, o outcome) bool {
	s := x.server
	now := time.Now()
	x.recordOutcome(c, o, now)
	if o.result == complete {
		return true
	}
	if o.result == unreserved {
		if x.failedReservations < maxReservationAttempts {
			return false
		}
		x.rejectUnplaced(place.ErrFull, retryLater)
		return true
	}
	x.tried.Add(c.Primary.Name)
	canRetry := now.Before(x.deadline) && x.sends < maxSends
	switch o.result {
	case notSent:
		return false
	case refused:
		if canRetry && s.takeRetry(x.service.Name) && !x.allTried() {
			return false
		}
	default:
		x.possibleRuns++
		if canRetry && x.route.Repeatable() && x.possibleRuns < x.route.Attempts && !x.allTried() && s.takeRetry(x.service.Name) {
			return false
		}
	}
	x.respondWithOutcome(o, now)
	return true
}

// allTried reports whether all endpoints of the service have been tried,
// except those that are leaving.
func (x *exchange) allTried() bool {
	for _, e := range x.server.Feeds.Endpoints().ByService[x.service.Name] {
		if !e.Leaving && !x.tried.Has(e.Name) {
			return false
		}
	}
	return true
}

// respondWithOutcome ends the request with the outcome of its last send.
func (x *exchange) respondWithOutcome(o outcome, now time.Time) {
	switch {
	case x.headerSent:
		x.reject(0, 0, "stream not resumed: "+o.reason)
	case o.response != nil:
		x.countOutcome(strconv.Itoa(o.status))
		x.writeToCaller(o.response)
	case o.result == refused:
		x.reject(503, retrySoon, o.reason)
	case !now.Before(x.deadline):
		x.reject(504, 0, o.reason)
	default:
		x.reject(502, 0, o.reason)
	}
}

// recordOutcome records the outcome of a send in the metrics, the log and the
// health of the endpoint.
func (x *exchange) recordOutcome(c place.Choice, o outcome, now time.Time) {
	s := x.server
	s.getMetrics().sends.WithLabelValues(o.result.String()).Inc()
	s.requestLog(o.result == complete).Str("request", x.reqHeader.ID).Str("endpoint", string(c.Primary.Name)).Strs("helpers", endpointNames(c.Helpers)).
		Str("result", o.result.String()).Str("why", o.reason).Dur("estimate", c.Estimate).Dur("first", o.timeToFirst).Dur("gap", o.maxGap).
		Dur("took", now.Sub(o.startedAt)).Dur("after", now.Sub(x.arrived)).Int64("prompt", int64(x.reqHeader.Prompt)).
		Str("route", string(x.route.Name)).Int("status", o.status).Msg("gate: sent")
	if o.result == complete {
		x.countOutcome(strconv.Itoa(o.status))
		x.observeLatency(now.Sub(x.arrived) - now.Sub(o.startedAt) + o.timeToFirst)
	}
	switch {
	case o.faultAddress != "":
		x.recordFaultAt(o.faultAddress, now)
	case o.result == complete:
		s.endpointHealth.recordSuccess(c.Primary.Name)
	case o.result == notSent || o.result == unanswered:
		s.pools.Get(c.Primary.Address).CloseIdle()
		if s.endpointHealth.recordFailure(c.Primary.Name, now) {
			s.AnnounceFailure(c.Primary.Name)
		}
		if o.connBroken {
			x.addStrike(c.Primary.Name, now)
		}
	case o.result == failed && x.service.Engine != nil:
		s.endpointHealth.recordFailure(c.Primary.Name, now)
	}
}

// recordFaultAt records a failure of the endpoint at an address that another
// endpoint has named as the cause of its own failure. The request is not sent
// to that endpoint any more.
func (x *exchange) recordFaultAt(addr string, now time.Time) {
	if e := x.server.Feeds.Endpoints().ByAddress[addr]; e != nil {
		if x.server.endpointHealth.recordFailure(e.Name, now) {
			x.server.AnnounceFailure(e.Name)
		}
		x.tried.Add(e.Name)
	}
}

// registerInFlight records the request as in flight at its endpoints and
// announces it to the peers.
func (x *exchange) registerInFlight(c place.Choice) works.ID {
	w := works.Request{
		ID: works.ID(x.server.nextID.Add(1)), Node: x.server.Node, First: c.Primary.Name,
		Prompt: x.reqHeader.Prompt, Output: x.expectedOutput(), Share: x.reqHeader.Prompt, Gap: x.route.Gap, Target: x.remainingTarget(time.Now()), Since: time.Now(),
	}
	for i, h := range c.Helpers {
		w.Helpers = append(w.Helpers, h.Name)
		if i < len(c.Reservations) {
			w.Held = append(w.Held, works.Reservation{Endpoint: h.Name, Tokens: c.Reservations[i]})
			w.Share = max(0, w.Share-c.Reservations[i])
		}
	}
	x.server.Works.Put(w)
	x.server.AnnounceStart(w)
	return w.ID
}

func (x *exchange) unregisterInFlight(id works.ID) {
	x.server.Works.Remove(x.server.Node, id)
	x.server.AnnounceEnd(id)
}

// endpointNames returns the names of endpoints for a log line.
func endpointNames(es []*topol.Endpoint) []string {
	ns := make([]string, len(es))
	for i, e := range es {
		ns[i] = string(e.Name)
	}
	return ns
}
