package gate

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/memory"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/trans/http1"
	"laburnumstack.org/laburnum/internal/trans/tunnel"
)

const (
	// maxResponseHeader bounds the header of an endpoint's response in bytes.
	maxResponseHeader = 32 << 10
	// maxStaleResponses is the maximum number of responses to other requests
	// that are skipped on a link before the response to the current one.
	maxStaleResponses = 2
)

// wholeResponse is a response of an endpoint with its body.
type wholeResponse struct {
	head *http1.Response
	body net.Buffers
}

// answer is what an attempt has read of its endpoint's answer.
type answer struct {
	wholeResponse
	// held is the memory for the body or for events in bytes, account its account once it
	// is no longer small.
	held    int64
	account *memory.Account
	reader  eventReader
	// events reads the events of a stream; nil for other answers. The events in next were
	// read last, together with the error in err.
	events *eventReader
	next   []byte
	err    error
	// isIntact is set if the link can carry another request.
	isIntact bool
}

// roundTrip writes the request and reads the answer as begin does.
func (a *attempt) roundTrip() bool {
	if err := a.writeRequest(); err != nil {
		a.outcome = failedSend("write", err)
		return false
	}
	a.link.SetDeadlineHandler(a)
	a.wait.begin(time.Now(), a.headerWait())
	a.setReadDeadline()
	res, header, err := a.readResponseHeader()
	if err != nil {
		a.outcome = failedSend("read response", err)
		a.outcome.flooded = a.isFlood(err)
		return false
	}
	a.hear()
	if header.ID == a.reqHeader.ID {
		a.observeIdentity(res.Status)
	}
	if header.ID == a.reqHeader.ID && res.Status != http.StatusMisdirectedRequest {
		a.server.observeLimit(a.choice.Primary, header, time.Now())
		a.server.observeCold(a.choice.Primary, a.service, header, time.Now())
		a.server.observeAvailability(a.choice.Primary, a.sender, header, time.Now())
	}
	a.outcome = outcome{status: res.Status, rests: header.Rest > 0, faultAddress: header.FaultAddress, timeToFirst: time.Since(a.startedAt)}
	if k, n := res.Get("Keep-Alive"); n > 0 {
		a.applyKeepAlive(string(k))
	}
	a.answer.head = res
	switch kind := a.classify(res, header); kind {
	case eventAnswer:
		a.answer.reader = a.newEventReader(res)
		a.answer.events = &a.answer.reader
		return a.readFirstEvents()
	case unusableAnswer, untrueNotRun:
		a.outcome.result, a.outcome.reason = unusable, kind.describe(res)
		return false
	case finalAnswer:
		a.markAnswered()
		return a.readWhole(kind)
	default:
		return a.readWhole(kind)
	}
}

// failedSend returns the outcome of a send that ended with an error in the given step.
func failedSend(step string, err error) outcome {
	return outcome{result: unanswered, connBroken: isConnBroken(err), timedOut: isTimeout(err), peerLost: errors.Is(err, tunnel.ErrPeerLost), reason: step + ": " + err.Error()}
}

// hear records that bytes arrived, if they came over a link of this node.
func (a *attempt) hear() {
	if !a.isOverPeer() {
		a.server.direct.hear(time.Now())
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

// readWhole reads a whole response. It reports whether the response can be passed on. If the
// endpoint refused or failed, the outcome keeps it, since the request may be sent again.
func (a *attempt) readWhole(kind answerKind) (ready bool) {
	res, o := a.answer.head, &a.outcome
	a.wait.end()
	a.setReadDeadline()
	var err error
	a.answer.body, err = a.readBody(res)
	if err != nil {
		err = a.readError(err)
		o.flooded = a.isFlood(err)
		o.result, o.connBroken, o.timedOut, o.reason = unanswered, isConnBroken(err), isTimeout(err), "response truncated: "+err.Error()
		o.peerLost = errors.Is(err, tunnel.ErrPeerLost)
		if kind == refusalAnswer {
			o.result = refused
		}
		return false
	}
	a.answer.isIntact = !res.Close && kind != unsignedAnswer
	o.isWholeAnswer, o.framed = kind == finalAnswer || kind == errorAnswer, res.Framing != http1.UntilClose
	switch kind {
	case refusalAnswer:
		o.result, o.reason, o.response = refused, kind.describe(res), &a.answer.wholeResponse
		return false
	case errorAnswer:
		o.result, o.reason, o.response = failed, kind.describe(res), &a.answer.wholeResponse
		return false
	case unsignedAnswer:
		o.result, o.reason = unanswered, kind.describe(res)
		return false
	}
	return true
}

// relay passes the answer on to the caller, to the end of a stream. The outcome is set.
func (a *attempt) relay() {
	if a.answer.events != nil {
		a.relayStream()
		return
	}
	res, o := a.answer.head, &a.outcome
	if promisesNotRun(res.Status) && (a.possibleRuns > 0 || len(a.others) > 0) {
		o.result, o.reason = unusable, untrueNotRun.describe(res)
		return
	}
	a.goesOn()
	a.releaseTurn()
	a.writeResponse(&a.answer.wholeResponse)
	o.result = complete
	o.whole = res.Status/100 == 2
}

// writeResponse writes a response to the caller.
func (x *exchange) writeResponse(r *wholeResponse) {
	x.writeToCaller(fullResponse(r.head, r.body, x.announcesClose())...)
}
