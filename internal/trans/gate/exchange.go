package gate

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/homes"
	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// A request counts as a retry of a rejected one if its caller had already
	// waited for longer than minEarlierWait when it arrived.
	minEarlierWait = 300 * time.Millisecond
)

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
	// doubtedAt is when the last send began that an endpoint of a data centre, or an engine at
	// which memory was to be reserved, answered with 421, or that did not reach an endpoint.
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
	// trial is the trial that the request is sent as, or nil.
	trial *strik.Trial
	// digestValue is the digest of the request if hasDigest is set.
	digestValue strik.Digest
	hasDigest   bool
	// failedReservations counts the placements for which memory could not be
	// reserved.
	failedReservations int
	// isDecided is set once a decision on the prompt has been recorded, isAdmitted if the
	// last one admitted it.
	isDecided, isAdmitted bool
	// sizeClass is the size class of the prompt; set with isDecided.
	sizeClass bysize.Class
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
