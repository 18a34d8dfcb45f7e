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
	// maxSends bounds the endpoints asked for one request, also those that
	// refused it or could not be reached.
	maxSends = 4
	// revokeMargin is kept from the time in which a revoked key ends.
	revokeMargin = 300 * time.Millisecond
	// staleAfter is the age of the configuration from which an unknown route
	// or key may be one that this node has not heard of.
	staleAfter = 3500 * time.Millisecond
	// returnedAfter is the time waited from which a caller counts as returned.
	returnedAfter = 300 * time.Millisecond
	// defaultLimit bounds requests where neither route nor caller does.
	defaultLimit = 30 * time.Second
	// comeBack tells callers to try another node soon.
	comeBack = 200 * time.Millisecond
	// comeBackLater tells callers to come back when load has gone down.
	comeBackLater = 700 * time.Millisecond
)

// errCrashes means that endpoints broke under the request again and again.
const errCrashes = errors.ConstError("endpoints broke under this request")

// exchange is one request of a caller and all that is done for it.
type exchange struct {
	server  *Server
	caller  *caller
	request *http1.Request
	body    []byte
	arrived time.Time
	// deadline is when the caller must have the whole answer.
	deadline time.Time

	ask       relay.RequestHeader
	catalog   *topol.Catalog
	route     *topol.Route
	service   *topol.Service
	workspace *topol.Workspace

	tried, full ident.Set[ident.EndpointName]
	// estimate is the time to the first event that the last placement expected.
	estimate time.Duration
	// reserves counts the sets of engines without memory.
	reserves int
	// sends counts the endpoints that were sent the request, runs those that
	// may have run it.
	sends, runs int
	// begun tells that the header of the answer is out.
	begun bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// keep tells that the caller's connection is in order.
	keep bool
	done chan struct{}

	mu      sync.Mutex
	gone    bool
	current net.Conn
}

// run serves the request while it watches for the caller to leave.
func (x *exchange) run() {
	x.keep = true
	if !x.admit() {
		return
	}
	watched := make(chan struct{})
	go x.watch(watched)
	x.forward()
	x.caller.SetReadDeadline(past)
	<-watched
	x.caller.SetReadDeadline(time.Time{})
}

// watch waits for the caller to close its connection.
func (x *exchange) watch(ended chan struct{}) {
	defer close(ended)
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
	x.gone = true
	if x.current != nil {
		x.current.SetDeadline(past)
	}
}

// hold makes a connection end with the caller's. It reports false if the
// caller has left.
func (x *exchange) hold(c net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.current = c
	return !x.gone
}

func (x *exchange) left() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gone
}

// admit finds the route and workspace of the request. It answers and returns
// false if it isn't to be served.
func (x *exchange) admit() bool {
	s := x.server
	x.catalog = s.Feeds.Catalog()
	fleet := s.Feeds.Endpoints()
	if x.catalog == nil || fleet == nil {
		x.refuse(503, comeBack, "no configuration yet")
		return false
	}
	var err error
	x.ask, err = s.Dialect.Ask(&x.request.Head)
	if err != nil {
		x.refuse(400, 0, err.Error())
		return false
	}
	age := clock.Now().Sub(s.Feeds.CatalogConfirmedAt())
	x.route = x.catalog.Match(x.request.Host, x.request.Path())
	if x.route == nil {
		x.refuseUnknown(404, age, "no route")
		return false
	}
	if !x.authorize(age) {
		return false
	}
	if s.ending(x.route.Kind, x.arrived) {
		x.refuse(503, comeBack/4, "node ends before the answer could")
		return false
	}
	x.service = x.catalog.Services[x.route.Pick(random())]
	if x.service == nil {
		x.refuse(503, comeBack, "route without a service")
		return false
	}
	limit := x.route.Timeout
	if x.ask.TimeLeft > 0 && (limit <= 0 || x.ask.TimeLeft < limit) {
		limit = x.ask.TimeLeft
	}
	if limit <= 0 {
		limit = defaultLimit
	}
	x.deadline = x.arrived.Add(limit)
	x.lastEvent = x.ask.LastEvent
	x.tried = ident.Set[ident.EndpointName]{}
	x.full = ident.Set[ident.EndpointName]{}
	s.countRequest(x.service.Name)
	return true
}

// authorize finds the workspace of the caller's key.
func (x *exchange) authorize(age time.Duration) bool {
	if x.catalog.Keys == nil || x.route.Public {
		return true
	}
	if x.server.Strict && age > x.server.Revoke-revokeMargin {
		x.refuse(503, comeBack, "configuration is too old to trust keys, age "+age.String())
		return false
	}
	w, ok := x.catalog.Keys[x.ask.Key]
	if !ok {
		x.refuseUnknown(401, age, "unknown key")
		return false
	}
	x.workspace = w
	return true
}

// refuseUnknown refuses what the configuration doesn't hold, unless a newer
// one may hold it.
func (x *exchange) refuseUnknown(status int, age time.Duration, why string) {
	if age > staleAfter {
		x.refuse(503, comeBack, why+" in a configuration of age "+age.String())
		return
	}
	x.refuse(status, 0, why)
}

// refuse ends the request with an answer of this node.
func (x *exchange) refuse(status int, after time.Duration, why string) {
	e := x.server.line(false).Str("request", x.ask.ID).Int("status", status).Str("why", why).
		Dur("after", time.Since(x.arrived)).Int("sends", x.sends).Int64("prompt", int64(x.ask.Prompt)).Dur("estimate", x.estimate)
	if x.route != nil {
		e = e.Str("route", string(x.route.Name)).Uint64("version", uint64(x.catalog.Version)).Dur("age", clock.Now().Sub(x.server.Feeds.CatalogConfirmedAt()))
	}
	e.Msg("gate: refused")
	if x.begun {
		x.count("cut")
	} else {
		x.count(strconv.Itoa(status))
	}
	if x.begun {
		x.keep = false
		return
	}
	x.write(ownAnswer(status, after, x.last()))
}

// last reports whether the answer is the last on the caller's connection.
func (x *exchange) last() bool { return x.request.Close || x.server.stopping.Load() }

func (x *exchange) write(b []byte) bool {
	x.caller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.caller.Write(b); err != nil {
		x.keep = false
		return false
	}
	return true
}

// forward sends the request until it is answered or given up.
func (x *exchange) forward() {
	for {
		c, r, err := x.choose()
		if err != nil {
			x.giveUp(err, place.ReturnAfter(c, r))
			return
		}
		x.server.health.chosen(c.First.Name, time.Now())
		o := x.send(c)
		if x.left() {
			x.keep = false
			x.count("left")
			x.server.line(false).Str("request", x.ask.ID).Dur("after", time.Since(x.arrived)).Msg("gate: caller left")
			return
		}
		if x.settle(c, o) {
			return
		}
	}
}

// choose places the request.
func (x *exchange) choose() (place.Choice, place.Request, error) {
	s := x.server
	now := time.Now()
	if x.crashes(now) {
		return place.Choice{}, place.Request{}, errCrashes
	}
	fleet := s.Feeds.Endpoints()
	if !now.Before(x.deadline) || x.sends >= maxSends {
		return place.Choice{}, place.Request{}, place.ErrNone
	}
	r := place.Request{
		Prompt: x.ask.Prompt, Output: x.output(), Target: x.targetLeft(now), Gap: x.route.Gap, Returned: x.returned(),
		Left: x.deadline.Sub(now), DataCentre: s.DataCentre, Tried: x.tried, Full: x.full,
	}
	c, err := place.Choose(place.Scene{
		Now: now, Endpoints: fleet.ByService[x.service.Name], Engine: x.service.Engine,
		Works:   s.Works.All(),
		Avoid:   func(n ident.EndpointName) bool { return s.health.avoid(n, now) },
		Suspect: func(n ident.EndpointName) bool { return s.health.suspect(n, now) },
		Random:  random,
	}, r)
	x.estimate = c.Estimate
	return c, r, err
}

// returned reports whether the caller has waited before, as one does who was
// refused elsewhere.
func (x *exchange) returned() bool { return x.waited() > returnedAfter || x.sends > 0 }

// waited is the time that the caller waited before this request arrived, as
// far as its time left shows.
func (x *exchange) waited() time.Duration {
	if x.ask.TimeLeft <= 0 {
		return 0
	}
	return max(0, x.route.Timeout-x.ask.TimeLeft)
}

// targetLeft is what is left of the time in which the caller expects the first
// event.
func (x *exchange) targetLeft(now time.Time) time.Duration {
	return max(time.Millisecond, x.route.Target-x.waited()-now.Sub(x.arrived))
}

// output is the number of tokens that the answer probably has.
func (x *exchange) output() ident.Tokens {
	if x.ask.ExpectedOutput > 0 && x.ask.ExpectedOutput < x.ask.MaxOutput {
		return x.ask.ExpectedOutput
	}
	return x.ask.MaxOutput
}

// giveUp ends a request that gets no more endpoints.
func (x *exchange) giveUp(err error, after time.Duration) {
	switch {
	case x.begun:
		x.refuse(0, 0, "stream ends without its rest: "+err.Error())
	case x.runs > 0 && !time.Now().Before(x.deadline):
		x.refuse(504, 0, "no answer in time")
	case x.runs > 0:
		x.refuse(502, 0, "may have run, no answer: "+err.Error())
	case errors.Is(err, place.ErrFull) || errors.Is(err, place.ErrLate) || errors.Is(err, place.ErrCostly) || errors.Is(err, place.ErrDeferred):
		x.refuse(503, after, err.Error())
	default:
		x.refuse(503, comeBack, err.Error())
	}
}

// settle decides what follows a send. It returns true if the request has its
// answer.
func (x *exchange) settle(c place.Choice, o outcome) bool {
	s := x.server
	now := time.Now()
	x.note(c, o, now)
	if o.result == complete {
		return true
	}
	if o.result == unreserved {
		if x.reserves < maxReserves {
			return false
		}
		x.giveUp(place.ErrFull, comeBackLater)
		return true
	}
	x.tried.Add(c.First.Name)
	may := now.Before(x.deadline) && x.sends < maxSends
	switch o.result {
	case notSent:
		return false
	case refused:
		if may && s.takeExtra(x.service.Name) && !x.none() {
			return false
		}
	default:
		x.runs++
		if may && x.route.Repeatable() && x.runs < x.route.Attempts && !x.none() && s.takeExtra(x.service.Name) {
			return false
		}
	}
	x.end(o, now)
	return true
}

// none reports whether no endpoint is left to try.
func (x *exchange) none() bool {
	for _, e := range x.server.Feeds.Endpoints().ByService[x.service.Name] {
		if !e.Leaving && !x.tried.Has(e.Name) {
			return false
		}
	}
	return true
}

// end gives the caller the last outcome.
func (x *exchange) end(o outcome, now time.Time) {
	switch {
	case x.begun:
		x.refuse(0, 0, "stream is cut: "+o.why)
	case o.answer != nil:
		x.count(strconv.Itoa(o.status))
		x.write(o.answer)
	case o.result == refused:
		x.refuse(503, comeBack, o.why)
	case !now.Before(x.deadline):
		x.refuse(504, 0, o.why)
	default:
		x.refuse(502, 0, o.why)
	}
}

// note records what a send says of the endpoint.
func (x *exchange) note(c place.Choice, o outcome, now time.Time) {
	s := x.server
	s.figures().sends.WithLabelValues(o.result.String()).Inc()
	s.line(o.result == complete).Str("request", x.ask.ID).Str("endpoint", string(c.First.Name)).Strs("helpers", names(c.Helpers)).
		Str("result", o.result.String()).Str("why", o.why).Dur("estimate", c.Estimate).Dur("first", o.first).Dur("gap", o.gap).
		Dur("took", now.Sub(o.began)).Dur("after", now.Sub(x.arrived)).Int64("prompt", int64(x.ask.Prompt)).
		Str("route", string(x.route.Name)).Int("status", o.status).Msg("gate: sent")
	if o.result == complete {
		x.count(strconv.Itoa(o.status))
		x.observe(now.Sub(x.arrived) - now.Sub(o.began) + o.first)
	}
	switch {
	case o.fault != "":
		x.blame(o.fault, now)
	case o.result == complete:
		s.health.worked(c.First.Name)
	case o.result == notSent || o.result == unanswered:
		s.pools.Get(c.First.Address).Drop()
		if s.health.failed(c.First.Name, now) {
			s.Report(c.First.Name)
		}
		if o.broke {
			x.strike(c.First.Name, now)
		}
	case o.result == failed && x.service.Engine != nil:
		s.health.failed(c.First.Name, now)
	}
}

// blame notes a failure of the endpoint that another one names.
func (x *exchange) blame(addr string, now time.Time) {
	if e := x.server.Feeds.Endpoints().ByAddress[addr]; e != nil {
		if x.server.health.failed(e.Name, now) {
			x.server.Report(e.Name)
		}
		x.tried.Add(e.Name)
	}
}

// begin tells the peers of a work at an endpoint.
func (x *exchange) begin(c place.Choice) works.ID {
	w := works.Work{
		ID: works.ID(x.server.nextID.Add(1)), Node: x.server.Node, First: c.First.Name,
		Prompt: x.ask.Prompt, Output: x.output(), Share: x.ask.Prompt, Gap: x.route.Gap, Target: x.targetLeft(time.Now()), Since: time.Now(),
	}
	for i, h := range c.Helpers {
		w.Helpers = append(w.Helpers, h.Name)
		if i < len(c.Held) {
			w.Held = append(w.Held, works.Held{Endpoint: h.Name, Tokens: c.Held[i]})
			w.Share = max(0, w.Share-c.Held[i])
		}
	}
	x.server.Works.Put(w)
	x.server.Began(w)
	return w.ID
}

func (x *exchange) finish(id works.ID) {
	x.server.Works.Done(x.server.Node, id)
	x.server.Done(id)
}

// names lists endpoints for a log line.
func names(es []*topol.Endpoint) []string {
	ns := make([]string, len(es))
	for i, e := range es {
		ns[i] = string(e.Name)
	}
	return ns
}
