package gate

import (
	"context"
	"io"
	"net"
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
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// connectTimeout bounds the wait for a new connection.
	connectTimeout = 300 * time.Millisecond
	// maxAnswerHeader and maxAnswerBody bound an endpoint's answer in bytes.
	maxAnswerHeader = 32 << 10
	maxAnswerBody   = 16 << 20
	// inlineBody is the size of a body up to which it is written before the
	// answer is read.
	inlineBody = 16 << 10
	// maxStray is the number of answers to other requests that are passed over.
	maxStray = 2
)

// result tells how a send ended.
type result int

const (
	// notSent means that no byte can have reached the endpoint.
	notSent result = iota
	// unreserved means that memory could not be reserved.
	unreserved
	// refused means that the endpoint says that it has not run the request.
	refused
	// unanswered means that the request may have run.
	unanswered
	// failed means that the endpoint answered with a failure.
	failed
	// complete means that the caller has the answer.
	complete
)

func (r result) String() string {
	return [...]string{"not-sent", "unreserved", "refused", "unanswered", "failed", "complete"}[r]
}

// outcome is the end of one send.
type outcome struct {
	result result
	why    string
	status int
	// answer is the endpoint's failure as the caller would get it.
	answer []byte
	// broke tells that the endpoint broke the connection.
	broke bool
	// fault is the address of another endpoint that is to blame.
	fault string
	// began is when the send began, first the time from there to the first
	// event or the answer.
	began time.Time
	first time.Duration
	// gap is the longest pause between two writes of events.
	gap time.Duration
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	*exchange
	choice place.Choice
	hold   *hold
	link   *links.Link
	pool   *links.Pool
	work   works.ID
	began  time.Time
	// written tells that the whole request is written.
	written atomic.Bool
}

// send sends the request to an endpoint and passes its answer on.
func (x *exchange) send(c place.Choice) outcome {
	x.sends++
	a := &attempt{exchange: x, choice: c, pool: x.server.pools.Get(c.First.Address), began: time.Now()}
	o := a.run()
	o.began = a.began
	return o
}

// run reserves memory if the request needs it, connects and converses.
func (a *attempt) run() outcome {
	x := a.exchange
	if len(a.choice.Held) > 0 {
		var full ident.Set[ident.EndpointName]
		if a.hold, full = x.server.reserve(context.Background(), a.choice); a.hold == nil {
			return x.noMemory(full)
		}
		defer a.hold.end()
	}
	if err := a.connect(); err != nil {
		return outcome{result: notSent, why: "connect: " + err.Error()}
	}
	a.work = x.begin(a.choice)
	defer x.finish(a.work)
	if !x.hold(a.link) {
		a.link.Close()
		return outcome{result: notSent, why: "caller left"}
	}
	o, intact := a.converse()
	x.hold(nil)
	if intact && a.written.Load() {
		a.pool.Put(a.link, time.Now())
	} else {
		a.link.Close()
	}
	return o
}

// noMemory notes the engines without memory. The request stays unsent.
func (x *exchange) noMemory(full ident.Set[ident.EndpointName]) outcome {
	x.sends--
	x.reserves++
	for n := range full {
		x.full.Add(n)
	}
	return outcome{result: unreserved, why: "no memory to reserve"}
}

// connect takes a link from the pool. Requests that run at most once get a new
// one, so that a link closed by the endpoint can't leave their fate open.
func (a *attempt) connect() error {
	now := time.Now()
	if a.route.Repeatable() {
		if a.link = a.pool.Take(now); a.link != nil {
			return nil
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.deadline)
	defer cancel()
	var err error
	a.link, err = a.pool.Dial(ctx, connectTimeout)
	return err
}

// converse writes the request and reads the answer. It reports whether the
// link can carry another request.
func (a *attempt) converse() (outcome, bool) {
	a.link.SetWriteDeadline(a.deadline)
	if err := a.write(); err != nil {
		return outcome{result: unanswered, broke: broke(err), why: "write: " + err.Error()}, false
	}
	a.readUntil(a.patience())
	res, note, err := a.readHead()
	if err != nil {
		return outcome{result: unanswered, broke: broke(err), why: "answer: " + err.Error()}, false
	}
	o := outcome{status: res.Status, fault: note.FaultAddress, first: time.Since(a.began)}
	if k, n := res.Get("Keep-Alive"); n > 0 {
		a.keepAlive(string(k))
	}
	if res.Status/100 == 2 && !note.NotRun && a.route.Kind == topol.Stream {
		return a.relayStream(res, o)
	}
	return a.relayWhole(res, note, o)
}

// keepAlive takes the time for which the endpoint keeps the link.
func (a *attempt) keepAlive(v string) {
	_, rest, ok := strings.Cut(v, "timeout=")
	if !ok {
		return
	}
	digits := rest[:len(rest)-len(strings.TrimLeft(rest, "0123456789"))]
	if n, err := strconv.Atoi(digits); err == nil {
		a.link.KeepAlive(n)
	}
}

// another reports whether the request may still run at another endpoint.
func (a *attempt) another() bool { return a.route.Repeatable() && a.runs+1 < a.route.Attempts }

// readUntil bounds the next reads of the link, which end at once if the caller
// has left.
func (a *attempt) readUntil(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gone {
		t = past
	}
	a.link.SetReadDeadline(t)
}

// patience is the moment until which the endpoint has time for its answer, if
// another can be asked then.
func (a *attempt) patience() time.Time {
	if a.route.Kind == topol.Stream {
		return a.within(max(3*a.choice.Estimate, a.route.Target) + streamPatience)
	}
	return a.within(a.route.Target)
}

// within is the end of a wait after which another endpoint is asked, or the
// deadline if there is none to ask.
func (a *attempt) within(wait time.Duration) time.Time {
	t := time.Now().Add(wait)
	if !a.another() || a.deadline.Before(t) {
		return a.deadline
	}
	return t
}

// streamPatience is what a stream may be later than expected.
const streamPatience = 1500 * time.Millisecond

func (a *attempt) write() error {
	head := a.head()
	if len(a.body) <= inlineBody {
		_, err := a.link.Write(append(head, a.body...))
		a.written.Store(err == nil)
		return err
	}
	go func() {
		b := net.Buffers{head, a.body}
		_, err := b.WriteTo(a.link.Conn)
		a.written.Store(err == nil)
	}()
	return nil
}

// head is the header of the request as the endpoint gets it.
func (a *attempt) head() []byte {
	r := a.request
	size := 1024
	if len(a.body) <= inlineBody {
		size += len(a.body)
	}
	b := make([]byte, 0, size)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	resumed := a.lastEvent != a.ask.LastEvent
	d := a.server.Dialect
	r.EndToEnd(func(f http1.Field) {
		if d.Passes(f, resumed) {
			b = f.Append(b)
		}
	})
	s := relay.ForwardHeader{Endpoint: a.choice.First.Name, TimeLeft: time.Until(a.deadline)}
	if a.workspace != nil {
		s.Workspace = a.workspace.Name
	}
	if resumed {
		s.LastEvent = a.lastEvent
	}
	for i, h := range a.choice.Helpers {
		helper := relay.Helper{Endpoint: h.Name, Address: h.Address}
		if a.hold != nil && i < len(a.hold.tickets) {
			helper.ReservationID = a.hold.tickets[i]
		}
		s.Helpers = append(s.Helpers, helper)
	}
	b = d.Send(b, s)
	if r.Framing != http1.None {
		b = http1.Append(b, "Content-Length", strconv.Itoa(len(a.body)))
	}
	return append(b, "\r\n"...)
}

// readHead reads the header of the answer, and passes over late answers to
// other requests on the link.
func (a *attempt) readHead() (*http1.Response, relay.ResponseHeader, error) {
	for range maxStray + 1 {
		res, err := http1.ReadResponse(a.link.Reader, maxAnswerHeader, string(a.request.Method))
		if err != nil {
			return nil, relay.ResponseHeader{}, err
		}
		note := a.server.Dialect.Note(&res.Head, res.Status)
		if note.ID == a.ask.ID || note.ID == "" && res.Status/100 != 2 {
			return res, note, nil
		}
		if res.Close {
			break
		}
		if _, err := io.Copy(io.Discard, http1.NewBody(a.link.Reader, res.Framing, res.Length)); err != nil {
			return nil, relay.ResponseHeader{}, err
		}
	}
	return nil, relay.ResponseHeader{}, errors.Annotate(http1.ErrMalformed, "answer to another request")
}

// relayWhole reads an answer to its end and passes it on.
func (a *attempt) relayWhole(res *http1.Response, note relay.ResponseHeader, o outcome) (outcome, bool) {
	a.readUntil(a.deadline)
	body, err := http1.ReadBody(a.link.Reader, res.Framing, res.Length, maxAnswerBody)
	if err != nil {
		o.result, o.broke, o.why = unanswered, broke(err), "answer is cut: "+err.Error()
		if note.NotRun {
			o.result = refused
		}
		return o, false
	}
	intact := !res.Close
	whole := wholeAnswer(res, body, a.last())
	switch {
	case note.NotRun:
		o.result, o.why, o.answer = refused, "endpoint refused", whole
		return o, intact
	case res.Status >= 500:
		o.result, o.why, o.answer = failed, "endpoint failed", whole
		return o, intact
	case res.Status/100 == 2 && !note.Signed:
		o.result, o.why = unanswered, "answer without a signature"
		return o, false
	}
	a.exchange.write(whole)
	o.result = complete
	return o, intact
}
