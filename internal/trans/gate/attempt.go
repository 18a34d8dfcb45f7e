package gate

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// connectTimeout bounds the dialing of a new connection.
	connectTimeout = 300 * time.Millisecond
)

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
	// isRepeat is set if another send may have run the request when the attempt began.
	isRepeat bool
	// needsNewLink is set if a response on a reused link could not be told from one to an
	// earlier send.
	needsNewLink bool

	// slowTurn is the turn of the attempt at an endpoint in slow start, or nil.
	slowTurn *pace.Turn

	reserved   *reservationSet
	link       *links.Link
	pool       *links.Pool
	inFlightID works.ID
	// unsentID is the ID of the attempt in Server.unsent.
	unsentID works.ID
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
	w := x.inFlightRequest(c)
	x.server.unsent.Put(w)
	return &attempt{
		exchange: x, choice: c, startedAt: time.Now(), sentAt: x.server.staleRecords.now(),
		resumesAt: x.position, isResumed: x.headerSent, isRepeat: x.mayHaveRun(),
		unsentID: w.ID, slowTurn: turn, pool: x.server.pool(c.Primary.Address),
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
	a.registerInFlight()
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
		var failedEngines map[ident.EndpointName]error
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
	if !a.server.mayWriteCold(a.choice.Primary, a.startedAt, time.Now()) {
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

// inFlightRequest describes the request as in flight at its endpoints.
func (x *exchange) inFlightRequest(c place.Choice) works.Request {
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
	return w
}

// registerInFlight records the request as in flight at its endpoints and
// announces it to the peers.
func (a *attempt) registerInFlight() {
	w := a.inFlightRequest(a.choice)
	a.inFlightID = w.ID
	a.server.InFlight.Put(w)
	a.server.unsent.Remove(a.server.Node, a.unsentID)
	a.server.AnnounceStart(w)
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
	a.server.unsent.Remove(a.server.Node, a.unsentID)
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
	ctx, cancel := context.WithDeadline(context.Background(), a.hardDeadline())
	defer cancel()
	var err error
	a.link, a.sender, err = a.server.connectTo(ctx, e, a.homes)
	return err
}
