package gate

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// connectTimeout bounds the dialing of a new connection.
	connectTimeout = 300 * time.Millisecond
	// maxInlineBody is the largest body in bytes that is written together with
	// the header before the response is read. Larger bodies are written while
	// the response is read.
	maxInlineBody = 16 << 10
	// lowestUrgency is the urgency of requests that wait for a slot. Those without a stated
	// urgency count as 5, so engines admit them first.
	lowestUrgency = 9
)

// result is how a send ended.
type result int

const (
	// notSent means that no byte can have reached the endpoint.
	notSent result = iota
	// superseded means that another endpoint answered while this one was silent.
	superseded
	// cancelled means that another endpoint answered first.
	cancelled
	// evacuated means that nothing was sent since a data centre was evacuated meanwhile.
	evacuated
	// unreserved means that KV memory could not be reserved.
	unreserved
	// refused means that the endpoint reported that it did not run the
	// request.
	refused
	// unanswered means that the endpoint may have run the request, but there
	// is no complete and valid response.
	unanswered
	// unusable means that the endpoint answered, but not with the rest of the stream
	// that the caller has begun to receive.
	unusable
	// failed means that the endpoint responded with a status of 500 or above.
	failed
	// complete means that the response was passed on to the caller. It is also
	// the result if writing to the caller failed.
	complete
)

func (r result) String() string {
	return [...]string{"not-sent", "superseded", "cancelled", "evacuated", "unreserved", "refused", "unanswered", "unusable", "failed", "complete"}[r]
}

// outcome describes how one send ended.
type outcome struct {
	result result
	reason string
	status int
	// response is the endpoint's refusal or error, which the caller gets if the request
	// is not sent again.
	response *wholeResponse
	// unreservedEngines are those at which memory could not be reserved.
	unreservedEngines ident.Set[ident.EndpointName]
	// whole is set if the endpoint answered with success and to the end, framed if the
	// answer's end was marked by more than the end of the connection.
	whole, framed bool
	// connBroken is set if the endpoint broke the connection.
	connBroken bool
	// linkLost is set if the send failed for reasons that lie between this node and the
	// endpoint: its link is lost, or, with peerLost, the peer over which it went.
	linkLost, peerLost bool
	// flooded is set if the endpoint sent more than an answer may have.
	flooded bool
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

// attempt is one send of a request to an endpoint. It begins in the goroutine of its
// exchange, or beside another attempt in one of its own; see exchange.startAnother. Only the
// exchange's goroutine passes its answer on. Until then, it uses nothing of the exchange that
// changes.
type attempt struct {
	*exchange
	choice    place.Choice
	startedAt time.Time
	// sentAt is startedAt on the clock that tells the age of the list of endpoints.
	sentAt clock.Instant
	// resumesAt is the exchange's position when the attempt began. isResumed is set if the
	// caller had received the header of a stream.
	resumesAt position
	isResumed bool
	// needsNewLink is set if a response on a reused link could not be told from one to an
	// earlier send.
	needsNewLink bool

	// slowTurn is the turn of the attempt at an endpoint in slow start, or nil.
	slowTurn *pace.Turn

	reserved   *reservationSet
	link       *links.Link
	pool       *links.Pool
	inFlightID works.ID
	// sender is the node from which the endpoint gets the request: this one, or a peer if
	// the link is a tunnel.
	sender ident.NodeName
	// upload writes a request beside the reads of its answer; nil if the request was written
	// before.
	upload *conns.Upload
	// writeBegun is set once the request is being written.
	writeBegun bool
	// requestWritten is set once the whole request has been written.
	requestWritten atomic.Bool

	wait wait
	// isSilent is set while the current attempt has waited for so long that another
	// endpoint was tried.
	isSilent bool
	// answer is what has been read of the endpoint's answer.
	answer answer
	// outcome is set when the attempt has ended.
	outcome outcome
	// isReady is set if begin has returned true, for an attempt beside another.
	isReady bool

	// exchange.mu guards the following fields. isAttached is set while the link is
	// interrupted if the caller disconnects, wasAttached once the endpoint may have got
	// the request.
	isAttached, wasAttached bool
	// isCancelled is set if another attempt was first.
	isCancelled bool
	// linkLost is set if the link is lost, wantsOther if another endpoint is to be tried
	// at once.
	linkLost, wantsOther bool
	// isGivenUp is set if the answer takes too much memory.
	isGivenUp bool
}

// newAttempt returns an attempt at the chosen endpoint, and counts it.
func (x *exchange) newAttempt(c place.Choice) *attempt {
	x.sends++
	turn := x.turn
	x.turn = nil
	if c.Waits {
		x.server.getMetrics().beyondSlots.Inc()
	}
	return &attempt{
		exchange: x, choice: c, startedAt: time.Now(), sentAt: x.server.staleRecords.now(),
		resumesAt: x.position, isResumed: x.headerSent,
		slowTurn: turn, pool: x.server.pool(c.Primary.Address),
		needsNewLink: x.reqHeader.ID == "" || x.wasSentTo(c.Primary.Address),
	}
}

// wasSentTo reports whether a link to an address may have carried the request.
func (x *exchange) wasSentTo(address string) bool {
	sent := slices.Contains(x.sentTo, address)
	x.eachRunning(func(c place.Choice) { sent = sent || c.Primary.Address == address })
	return sent
}

// begin sends the request and reads the answer: up to its first event if it is a stream, or
// else to its end. It reports whether the answer can be passed on. Otherwise the outcome is
// set.
func (a *attempt) begin() bool {
	if !a.prepare() || !a.checkSend() {
		return false
	}
	a.writeBegun = true
	if a.isCurrent() {
		a.recordDecision(true)
	}
	a.inFlightID = a.registerInFlight(a.choice)
	a.link.SetWriteDeadline(a.deadline)
	if !a.attach() {
		a.outcome = outcome{result: notSent, reason: "caller left"}
		return false
	}
	if !a.isOverPeer() {
		a.server.direct.add(a)
	}
	return a.roundTrip()
}

// prepare reserves memory and connects to the endpoint. It reports whether that succeeded.
// Otherwise the outcome is set.
func (a *attempt) prepare() bool {
	if a.isEvacuated() {
		a.withdraw()
		return false
	}
	if len(a.choice.Reservations) > 0 {
		var failedEngines ident.Set[ident.EndpointName]
		a.reserved, failedEngines = a.server.reserve(context.Background(), a.choice)
		if a.reserved == nil && a.isEvacuated() {
			a.withdraw()
			return false
		}
		if a.reserved == nil {
			a.outcome = outcome{result: unreserved, reason: errUnreserved.Error(), unreservedEngines: failedEngines}
			return false
		}
	}
	err := a.connect()
	if errors.Is(err, tunnel.ErrEvacuated) {
		a.outcome = outcome{result: notSent, reason: errEvacuated.Error()}
		return false
	}
	if err != nil {
		a.outcome = outcome{result: notSent, reason: "connect: " + err.Error()}
		return false
	}
	return true
}

// checkSend reports whether the request may still be written, since the reservation and the
// connection may have taken long. Otherwise the outcome is set.
func (a *attempt) checkSend() bool {
	if a.isEvacuated() {
		a.withdraw()
		return false
	}
	if a.isCurrent() && a.mayOutliveNode(time.Now(), 0) {
		a.outcome = outcome{result: notSent, reason: errStopping.Error()}
		return false
	}
	if !a.server.sentCold(a.choice.Primary, a.startedAt, time.Now()) {
		a.outcome = outcome{result: notSent, reason: errLapsed.Error()}
		return false
	}
	return true
}

// attach makes the link one that is interrupted if the caller disconnects or the attempt is
// cancelled. It returns false if that has happened already.
func (a *attempt) attach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.callerDisconnected || a.isCancelled {
		return false
	}
	a.isAttached, a.wasAttached = true, true
	if a.attached == nil {
		a.attached = a.attachedArray[:0]
	}
	a.attached = append(a.attached, a)
	return true
}

func (a *attempt) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isAttached = false
	a.attached = slices.DeleteFunc(a.attached, func(b *attempt) bool { return a == b })
}

// interrupt makes reads and writes on the link fail at once. The caller holds exchange.mu.
func (a *attempt) interrupt() {
	if a.isAttached {
		a.link.SetDeadline(conns.Expired)
	}
}

// registerInFlight records the request as in flight at its endpoints and
// announces it to the peers.
func (x *exchange) registerInFlight(c place.Choice) works.ID {
	w := works.Request{
		ID: works.ID(x.server.lastID.Add(1)), Node: x.server.Node, First: c.Primary.Name,
		Prompt: x.reqHeader.Prompt, Output: x.expectedOutput(), Share: x.reqHeader.Prompt, Gap: x.route.Gap, Target: x.remainingTarget(time.Now()), Since: time.Now(),
	}
	for i, h := range c.Helpers {
		w.Helpers = append(w.Helpers, h.Name)
		if i < len(c.Reservations) {
			w.Held = append(w.Held, works.Reservation{Endpoint: h.Name, Tokens: c.Reservations[i]})
			w.Share = max(0, w.Share-c.Reservations[i])
		}
	}
	x.server.InFlight.Put(w)
	x.server.AnnounceStart(w)
	return w.ID
}

func (x *exchange) unregisterInFlight(id works.ID) {
	x.server.InFlight.Remove(x.server.Node, id)
	x.server.AnnounceEnd(id)
}

// end releases what the attempt holds.
func (a *attempt) end() {
	if a.link != nil {
		a.server.direct.remove(a)
		a.detach()
		a.outcome.linkLost = a.outcome.result != complete && (a.isLinkLost() || a.outcome.peerLost)
		if a.answer.isIntact && a.requestWritten.Load() && !a.isOverPeer() {
			a.pool.Put(a.link, time.Now())
		} else {
			a.link.Close()
		}
	}
	a.releaseTurn()
	if !a.writeBegun {
		a.server.abandonCold(a.choice.Primary)
	}
	if a.inFlightID != 0 {
		a.unregisterInFlight(a.inFlightID)
	}
	if a.reserved != nil {
		a.reserved.stopAndRelease()
	}
	a.releaseMemory()
	a.outcome.startedAt = a.startedAt
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
// ID, or one that was already sent to the address: its response could not be told
// from an earlier one.
func (a *attempt) connect() error {
	e := a.choice.Primary
	a.sender = a.server.Node
	if a.route.Repeatable() && !a.needsNewLink && a.server.sendsDirectly(e) {
		if a.link = a.pool.Take(time.Now()); a.link != nil {
			return nil
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.deadline)
	defer cancel()
	var err error
	a.link, a.sender, err = a.server.connectTo(ctx, e, a.homes)
	return err
}

func (a *attempt) writeRequest() error {
	header := a.forwardedRequestHeader()
	if len(a.body) <= maxInlineBody {
		_, err := a.link.Write(append(header, a.body...))
		a.requestWritten.Store(err == nil)
		return err
	}
	a.upload = conns.NewUpload(a.link.Conn)
	go func() {
		b := net.Buffers{header, a.body}
		_, err := b.WriteTo(a.upload)
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
	resumed := a.resumesAt.begun
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
		fields.LastEvent = a.resumesAt.lastID
	}
	if a.choice.Waits {
		fields.Urgency, fields.HasUrgency = lowestUrgency, true
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
