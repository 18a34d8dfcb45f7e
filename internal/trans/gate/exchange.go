package gate

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/homes"
	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxSends bounds the sends of one request, including those that the
	// endpoint refused or that could not reach it. The route's Attempts bounds
	// only the sends that may have run the request.
	maxSends = 4
	// revokeMargin is subtracted from MaxConfigAge, so that revoked keys are
	// rejected before that age is reached.
	revokeMargin = 300 * time.Millisecond
	// staleAfter is the age of the configuration above which a request with an
	// unknown route or key gets status 503, since a newer configuration may
	// contain it.
	staleAfter = 3500 * time.Millisecond
	// A request counts as a retry of a rejected one if its caller had already
	// waited for longer than minEarlierWait when it arrived.
	minEarlierWait = 300 * time.Millisecond
	// defaultTimeout bounds a request if neither its route nor the caller sets
	// a limit.
	defaultTimeout = 30 * time.Second
	// retrySoon is the Retry-After of most rejections. It is short, since
	// another node may accept the request.
	retrySoon = 200 * time.Millisecond
	// retryElsewhere is the Retry-After of a node that stops, since others serve.
	retryElsewhere = 50 * time.Millisecond
	// retryLater is the Retry-After if memory could not be reserved. It leaves
	// time for the load to go down.
	retryLater = 700 * time.Millisecond
)

// errCrashesEndpoints means that the connections to several endpoints broke
// while they ran the request.
const errCrashesEndpoints = errors.ConstError("request has broken the connections to several endpoints")

// errResting means that all endpoints which could serve the request want none of this node
// for a time.
const errResting = errors.ConstError("endpoints want no requests of this node for a time")

// errUnreserved means that engines did not reserve the memory for a prompt.
const errUnreserved = errors.ConstError("memory could not be reserved")

// exchange is the state of one request of a caller across all its sends to
// endpoints.
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
	// homes says where the request may go, by the configuration in force when it arrived.
	homes homes.Rule

	// limited are the endpoints of the service that name limits, as of the last
	// placement.
	limited limitedEndpoints
	// permitted is the endpoint for which the request has a permit of another node.
	permitted ident.EndpointName
	// turn is the turn of the next attempt at an endpoint in slow start, or nil.
	turn *pace.Turn
	// ignoresSlowStart is set if the last placement did without the bounds of slow start.
	ignoresSlowStart bool
	// tried holds the endpoints to which the request is not sent again,
	// unreservedEngines those at which memory could not be reserved for it.
	tried, unreservedEngines ident.Set[ident.EndpointName]
	// doubtedAt is when the last send began that an endpoint of a data centre answered with 421,
	// or that did not reach one.
	doubtedAt map[ident.DataCentre]clock.Instant
	// sentTo holds the addresses to which the request was sent without a complete
	// response.
	sentTo []string
	// estimate is the time to the first event that the last placement
	// predicted, load the load that it was based on.
	estimate time.Duration
	load     place.Load
	// isPromptCounted is set once the prompt's parts count among the last ones.
	isPromptCounted bool
	// onTrial holds the barred parts of which the prompt is sent as a trial.
	onTrial []ident.PartID
	// failedReservations counts the placements for which memory could not be
	// reserved.
	failedReservations int
	// isDecided is set once a decision on the prompt has been recorded, isAdmitted if the
	// last one admitted it.
	isDecided, isAdmitted bool
	// sizeClass is the size class of the prompt; set with isDecided.
	sizeClass bysize.Class
	deferral  deferral
	// sends counts the sends of the request, including those that the endpoint
	// refused or that could not reach it. possibleRuns counts those that may
	// have run the request.
	sends, possibleRuns int
	// headerSent is set once the response header has been written to the
	// caller.
	headerSent bool
	// position is how far the caller has received a stream.
	position position
	// closing is why the caller's connection is closed, unless the caller was told so.
	closing closeReason
	// announcedClose is set if the response tells the caller that the connection is closed
	// after it.
	announcedClose bool

	// others are the attempts beside the current one, next is the one that the current one
	// is left for. Only the exchange's goroutine uses them.
	others []*attempt
	next   *attempt
	// reports receives the others when they are ready or have failed. It is created with
	// the first of them, and has room for all.
	reports chan *attempt

	mu                 sync.Mutex
	callerDisconnected bool
	// current is the attempt whose answer the exchange's goroutine reads. Only that
	// goroutine changes it.
	current *attempt
	// attached are the attempts that are interrupted if the caller disconnects.
	attached      []*attempt
	attachedArray [2]*attempt
}

// run serves the request and cancels it if the caller disconnects.
func (x *exchange) run() {
	if !x.admit() {
		return
	}
	watchEnded := make(chan struct{})
	go x.watchCaller(watchEnded)
	x.forward()
	x.caller.SetReadDeadline(conns.Expired)
	<-watchEnded
	x.caller.SetReadDeadline(time.Time{})
}

// watchCaller waits until the caller closes its connection, and then
// interrupts the sends in flight. It also returns if the caller sends more data
// or the read deadline passes.
func (x *exchange) watchCaller(watchEnded chan struct{}) {
	defer close(watchEnded)
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
	x.callerDisconnected = true
	for _, a := range x.attached {
		a.interrupt()
	}
}

func (x *exchange) setCurrent(a *attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.current = a
}

func (x *exchange) isCallerDisconnected() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.callerDisconnected
}

// admit finds the route, workspace and service of the request. If the request
// can't be served, it rejects it and returns false.
func (x *exchange) admit() bool {
	s := x.server
	s.awaitState()
	x.catalog = s.Feeds.Catalog()
	endpoints := s.Feeds.Endpoints()
	if x.catalog == nil || endpoints == nil || !s.Feeds.EvacuationsKnown() {
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
	x.homes = x.homeRule()
	if x.hasNoHome() {
		x.rejectUnplaced(errNoHome, retryHome)
		return false
	}
	if x.mayOutliveNode(time.Now(), 0) {
		x.reject(503, retryElsewhere, errStopping.Error())
		return false
	}
	x.position.lastID = x.reqHeader.LastEvent
	x.tried = ident.Set[ident.EndpointName]{}
	x.unreservedEngines = ident.Set[ident.EndpointName]{}
	s.countRequest(x.service.Name)
	return true
}

// authorize looks up the workspace of the caller's key, unless the route is
// public. If the key is unknown, or the configuration is so old that the key may
// have been revoked, it rejects the request and returns false.
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
		Dur("after", time.Since(x.arrived)).Int("sends", x.sends).Int64("prompt", int64(x.reqHeader.Prompt)).Dur("estimate", x.estimate).Dur("retryAfter", retryAfter)
	if x.reqHeader.Prompt > 0 {
		e = x.addLoad(e.Dur("backlog", x.load.Backlog))
	}
	if x.route != nil {
		e = e.Dur("waited", x.waitedBefore()).Str("route", string(x.route.Name)).Uint64("version", uint64(x.catalog.Version)).Dur("age", clock.Now().Sub(x.server.Feeds.CatalogConfirmedAt()))
	}
	if x.homes.Binds() {
		e = e.Strs("homes", x.homeNames())
	}
	e.Msg("gate: refused")
	x.recordUnserved()
	if x.headerSent {
		x.countRequestEnd("cut")
	} else {
		x.countRequestEnd(strconv.Itoa(status))
	}
	if x.headerSent {
		x.closing = closeCut
		return
	}
	x.writeToCaller(emptyResponse(status, retryAfter, x.announcesClose()))
}

// announcesClose decides whether the caller's connection is closed after the response, whose
// header tells the caller so. It is called when that header is written.
func (x *exchange) announcesClose() bool {
	x.announcedClose = x.request.Close || x.server.Draining()
	return x.announcedClose
}

func (x *exchange) writeToCaller(pieces ...[]byte) bool {
	if !x.caller.beginReply() {
		x.closing = closeEnd
		return false
	}
	x.caller.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, b := range pieces {
		if _, err := x.caller.Write(b); err != nil {
			x.closing = closeWrite
			return false
		}
	}
	return true
}

// forward sends the request to endpoints until it has a response or is
// rejected.
func (x *exchange) forward() {
	defer func() { x.server.endTrial(x.takeTrial()) }()
	for {
		if ok, wait := x.checkParts(time.Now()); !ok {
			x.rejectUnplaced(errCrashesEndpoints, wait)
			return
		}
		c, r, err := x.choose()
		if errors.Is(err, place.ErrNoEndpoint) && len(x.limited.atLimit) > 0 && x.fetchPermit() {
			continue
		}
		if err != nil {
			x.rejectUnplaced(err, x.retryAfter(err, c, r))
			return
		}
		if !x.takeLimit(c.Primary) {
			// Another request has just taken its place.
			continue
		}
		x.server.endpointHealth.recordChosen(c.Primary.Name, time.Now())
		if x.follow(x.newAttempt(c)) {
			return
		}
	}
}

// follow runs an attempt, and goes over to one beside it if that answers first, until none is
// under way. It reports whether the request has ended.
func (x *exchange) follow(a *attempt) bool {
	x.setCurrent(a)
	isReady := a.begin()
	for {
		if isReady && x.next == nil {
			a.relay()
		}
		next := x.endCurrent()
		if !x.isCallerDisconnected() {
			x.settle(a, time.Now())
			if next == nil && a.outcome.result != complete {
				next = x.awaitOther()
			}
		}
		switch {
		case x.isCallerDisconnected():
			x.endNext(next)
			x.cancelOthers()
			x.recordLeft()
			return true
		case next == nil:
			x.cancelOthers()
			return x.handleOutcome(a.outcome, time.Now())
		}
		a, isReady = next, true
		x.setCurrent(a)
	}
}

// endCurrent ends the current attempt. It returns the one that it was left for, if any.
func (x *exchange) endCurrent() (next *attempt) {
	a := x.current
	next, x.next = x.next, nil
	if next != nil {
		a.outcome.result, a.outcome.reason = superseded, errSuperseded.Error()
	}
	a.end()
	x.setCurrent(nil)
	return next
}

// endNext ends an attempt whose answer is not passed on; it may be nil.
func (x *exchange) endNext(b *attempt) {
	if b != nil {
		x.recordCancelled(b)
		b.end()
	}
}

// recordLeft records that the caller has disconnected.
func (x *exchange) recordLeft() {
	x.closing = closeLeft
	x.countRequestEnd("left")
	x.recordUnserved()
	x.server.requestLog(false).Str("request", x.reqHeader.ID).Dur("after", time.Since(x.arrived)).Msg("gate: caller left")
}
