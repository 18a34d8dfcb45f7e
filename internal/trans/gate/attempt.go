package gate

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// connectTimeout bounds the dialing of a new connection.
	connectTimeout = 300 * time.Millisecond
	// maxResponseHeader bounds the header of an endpoint's response in bytes.
	maxResponseHeader = 32 << 10
	// maxInlineBody is the largest body in bytes that is written together with
	// the header before the response is read. Larger bodies are written while
	// the response is read.
	maxInlineBody = 16 << 10
	// maxStaleResponses is the maximum number of responses to other requests
	// that are skipped on a link before the response to the current one.
	maxStaleResponses = 2
)

// result is how a send ended.
type result int

const (
	// notSent means that no byte can have reached the endpoint.
	notSent result = iota
	// unreserved means that KV memory could not be reserved.
	unreserved
	// refused means that the endpoint reported that it did not run the
	// request.
	refused
	// unanswered means that the endpoint may have run the request, but there
	// is no complete and valid response.
	unanswered
	// failed means that the endpoint responded with a status of 500 or above.
	failed
	// complete means that the response was passed on to the caller. It is also
	// the result if writing to the caller failed.
	complete
)

func (r result) String() string {
	return [...]string{"not-sent", "unreserved", "refused", "unanswered", "failed", "complete"}[r]
}

// outcome describes how one send ended.
type outcome struct {
	result result
	reason string
	status int
	// response is the endpoint's refusal or error as the caller gets it if the
	// request is not sent again.
	response *fullResponse
	// whole is set if the endpoint answered with success and to the end, framed if the
	// answer's end was marked by more than the end of the connection.
	whole, framed bool
	// connBroken is set if the endpoint broke the connection.
	connBroken bool
	// linkLost is set if the send failed for reasons that lie between this node and the
	// endpoint: its link is lost, or, with peerLost, the peer over which it went.
	linkLost, peerLost bool
	// rests is set if the endpoint stated that it wants no requests for a time.
	rests bool
	// faultAddress is the address of another endpoint that caused the failure,
	// empty if there is none.
	faultAddress string
	// startedAt is when the send began, timeToFirst the time from then to the
	// first event or the response header.
	startedAt   time.Time
	timeToFirst time.Duration
	// maxGap is the longest time between two writes of events to the caller.
	maxGap time.Duration
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	*exchange
	choice     place.Choice
	reserved   *reservationSet
	link       *links.Link
	pool       *links.Pool
	inFlightID works.ID
	startedAt  time.Time
	// sender is the node from which the endpoint gets the request: this one, or a peer if
	// the link is a tunnel.
	sender ident.NodeName
	// linkLost is set if the attempt was abandoned because its link is lost.
	// exchange.mu guards it.
	linkLost bool
	// requestWritten is set once the whole request has been written.
	requestWritten atomic.Bool
}

// send sends the request to an endpoint and passes the response on to the
// caller.
func (x *exchange) send(c place.Choice) outcome {
	x.sends++
	a := &attempt{exchange: x, choice: c, pool: x.server.pool(c.Primary.Address), startedAt: time.Now()}
	o := a.run()
	o.startedAt = a.startedAt
	return o
}

// run reserves memory if the request needs it, connects to the endpoint, sends
// the request and handles the response.
func (a *attempt) run() outcome {
	x := a.exchange
	if len(a.choice.Reservations) > 0 {
		var failedEngines ident.Set[ident.EndpointName]
		if a.reserved, failedEngines = x.server.reserve(context.Background(), a.choice); a.reserved == nil {
			return x.recordUnreservedEngines(failedEngines)
		}
		defer a.reserved.stopAndRelease()
	}
	if err := a.connect(); err != nil {
		return outcome{result: notSent, reason: "connect: " + err.Error()}
	}
	x.recordDecision(true)
	a.inFlightID = x.registerInFlight(a.choice)
	defer x.unregisterInFlight(a.inFlightID)
	if !x.setEndpointConn(a.link) {
		a.link.Close()
		return outcome{result: notSent, reason: "caller left"}
	}
	if !a.isOverPeer() {
		x.server.direct.add(a)
	}
	o, intact := a.roundTrip()
	x.server.direct.remove(a)
	x.setEndpointConn(nil)
	o.linkLost = o.result != complete && (a.isLinkLost() || o.peerLost)
	if intact && a.requestWritten.Load() && !a.isOverPeer() {
		a.pool.Put(a.link, time.Now())
	} else {
		a.link.Close()
	}
	return o
}

// recordUnreservedEngines records the engines at which memory could not be
// reserved. The send doesn't count, since nothing was sent.
func (x *exchange) recordUnreservedEngines(engines ident.Set[ident.EndpointName]) outcome {
	x.sends--
	x.failedReservations++
	for n := range engines {
		x.unreservedEngines.Add(n)
	}
	return outcome{result: unreserved, reason: errUnreserved.Error()}
}

// isOverPeer reports whether the link is a tunnel over a peer.
func (a *attempt) isOverPeer() bool { return a.sender != a.server.Node }

func (a *attempt) isLinkLost() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.linkLost
}

// connect takes an idle link from the pool or dials a new one. A request that
// may run only once always gets a new link: if the endpoint closed a reused
// one, it would be unknown whether the request ran. So does a request without an
// ID, since its response could not be told from one to an earlier request.
func (a *attempt) connect() error {
	e := a.choice.Primary
	a.sender = a.server.Node
	if a.route.Repeatable() && a.reqHeader.ID != "" && a.server.sendsDirectly(e) {
		if a.link = a.pool.Take(time.Now()); a.link != nil {
			return nil
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.deadline)
	defer cancel()
	var err error
	a.link, a.sender, err = a.server.connectTo(ctx, e)
	return err
}

// roundTrip writes the request and handles the response. It reports whether
// the link can carry another request.
func (a *attempt) roundTrip() (outcome, bool) {
	a.link.SetWriteDeadline(a.deadline)
	if err := a.writeRequest(); err != nil {
		return failedSend("write", err), false
	}
	a.setReadDeadline(a.headerDeadline())
	res, header, err := a.readResponseHeader()
	if err != nil {
		return failedSend("read response", err), false
	}
	a.hear()
	if header.ID == a.reqHeader.ID && res.Status != http.StatusMisdirectedRequest {
		a.server.observeLimit(a.choice.Primary, header, time.Now())
		a.server.observeAvailability(a.choice.Primary, a.sender, header, time.Now())
	}
	o := outcome{status: res.Status, rests: header.Rest > 0, faultAddress: header.FaultAddress, timeToFirst: time.Since(a.startedAt)}
	if k, n := res.Get("Keep-Alive"); n > 0 {
		a.applyKeepAlive(string(k))
	}
	if res.Status/100 == 2 && !header.NotRun && a.route.Kind == topol.Stream {
		return a.relayStream(res, o)
	}
	return a.relayResponse(res, header, o)
}

// failedSend returns the outcome of a send that ended with an error in the given step.
func failedSend(step string, err error) outcome {
	return outcome{result: unanswered, connBroken: isConnBroken(err), peerLost: errors.Is(err, tunnel.ErrPeerLost), reason: step + ": " + err.Error()}
}

// hear records that bytes arrived, if they came over a link of this node.
func (a *attempt) hear() {
	if !a.isOverPeer() {
		a.server.direct.hear()
	}
}

// applyKeepAlive applies the timeout of a Keep-Alive field to the link.
func (a *attempt) applyKeepAlive(field string) {
	_, rest, ok := strings.Cut(field, "timeout=")
	if !ok {
		return
	}
	digits := rest[:len(rest)-len(strings.TrimLeft(rest, "0123456789"))]
	if n, err := strconv.Atoi(digits); err == nil {
		a.link.SetAnnouncedTimeout(n)
	}
}

func (a *attempt) writeRequest() error {
	header := a.forwardedRequestHeader()
	if len(a.body) <= maxInlineBody {
		_, err := a.link.Write(append(header, a.body...))
		a.requestWritten.Store(err == nil)
		return err
	}
	go func() {
		b := net.Buffers{header, a.body}
		_, err := b.WriteTo(a.link.Conn)
		a.requestWritten.Store(err == nil)
	}()
	return nil
}

// forwardedRequestHeader returns the header of the request as the endpoint gets it.
func (a *attempt) forwardedRequestHeader() []byte {
	r := a.request
	size := 1024
	if len(a.body) <= maxInlineBody {
		size += len(a.body)
	}
	b := make([]byte, 0, size)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	resumed := a.lastEvent != a.reqHeader.LastEvent
	d := a.server.Dialect
	r.EndToEnd(func(f http1.Field) {
		if d.ForwardsField(f, resumed) {
			b = f.Append(b)
		}
	})
	fields := relay.ForwardHeader{Endpoint: a.choice.Primary.Name, TimeLeft: time.Until(a.deadline)}
	if a.workspace != nil {
		fields.Workspace = a.workspace.Name
	}
	if resumed {
		fields.LastEvent = a.lastEvent
	}
	for i, h := range a.choice.Helpers {
		helper := relay.Helper{Endpoint: h.Name, Address: h.Address}
		if a.reserved != nil && i < len(a.reserved.ids) {
			helper.ReservationID = a.reserved.ids[i]
		}
		fields.Helpers = append(fields.Helpers, helper)
	}
	b = d.AppendFields(b, fields)
	if r.Framing != http1.None {
		b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(a.body)))
	}
	return append(b, "\r\n"...)
}

// readResponseHeader reads the header of the response to the request. It skips up to
// maxStaleResponses other responses on the link. If the response has no ID, the header
// that is returned is empty: what it states may not be about this request.
func (a *attempt) readResponseHeader() (*http1.Response, relay.ResponseHeader, error) {
	for range maxStaleResponses + 1 {
		res, err := http1.ReadResponse(a.link.Reader, maxResponseHeader, string(a.request.Method))
		if err != nil {
			return nil, relay.ResponseHeader{}, err
		}
		header := a.server.Dialect.ParseResponse(&res.Head, res.Status)
		if header.ID == a.reqHeader.ID {
			return res, header, nil
		}
		if a.isErrorWithoutID(res.Status, header) {
			return res, relay.ResponseHeader{}, nil
		}
		if res.Close {
			break
		}
		if err := skipBody(a.link.Reader, res); err != nil {
			return nil, relay.ResponseHeader{}, err
		}
	}
	return nil, relay.ResponseHeader{}, errors.Annotate(http1.ErrMalformed, "response to another request")
}

// isErrorWithoutID reports whether a response is an error without an ID that answers the
// request. That is so only on a link that has carried no other request, and not if the
// response promises that the request has not run: an endpoint that knows this also knows
// the request's ID.
func (a *attempt) isErrorWithoutID(status int, h relay.ResponseHeader) bool {
	return h.ID == "" && !a.link.Reused() && status/100 != 2 && !h.NotRun && !promisesNotRun(status)
}

// promisesNotRun reports whether callers take a status as the promise that the request
// has not run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayResponse reads a whole response and passes it on to the caller. If the
// endpoint refused or failed, the response is kept in the outcome instead,
// since the request may be sent again. A successful response without a
// signature is discarded, since it may not come from an endpoint that ran the
// request.
func (a *attempt) relayResponse(res *http1.Response, header relay.ResponseHeader, o outcome) (outcome, bool) {
	a.setReadDeadline(a.deadline)
	body, buffer, err := a.server.readBody(a.link.Reader, res)
	defer buffer.release()
	if err != nil {
		o.result, o.connBroken, o.reason = unanswered, isConnBroken(err), "response truncated: "+err.Error()
		o.peerLost = errors.Is(err, tunnel.ErrPeerLost)
		if header.NotRun {
			o.result = refused
		}
		return o, false
	}
	intact := !res.Close
	full := newFullResponse(res, body)
	switch {
	case header.NotRun:
		o.result, o.reason, o.response = refused, "endpoint refused", full
		return o, intact
	case res.Status >= 500:
		o.result, o.reason, o.response = failed, "endpoint failed", full
		return o, intact
	case res.Status/100 == 2 && !header.Signed:
		o.result, o.reason = unanswered, "response is not signed"
		return o, false
	}
	a.exchange.writeResponse(full)
	o.result = complete
	o.whole, o.framed = res.Status/100 == 2, res.Framing != http1.UntilClose
	return o, intact
}
