package gate

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/coord/vqueue"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// deferredPrompts holds the virtual queues of the services. It is safe for concurrent use.
type deferredPrompts struct {
	mu        sync.Mutex
	byService map[ident.ServiceName]*vqueue.Queue
}

// record adds a decision on a prompt. engine describes the engines of its service; it is nil if
// the service is not known, as for a decision of an older build.
func (d *deferredPrompts) record(b bysize.Decision, engine *topol.Engine, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if engine == nil {
		if b.Admitted {
			for _, q := range d.byService {
				q.Drop(b.Request, b.At, now)
			}
		}
		return
	}
	q := d.byService[b.Service]
	if q == nil {
		if !b.Admitted && b.Retry <= 0 {
			return
		}
		if d.byService == nil {
			d.byService = map[ident.ServiceName]*vqueue.Queue{}
		}
		q = &vqueue.Queue{}
		d.byService[b.Service] = q
	}
	p := vqueue.Prompt{Request: b.Request, Workspace: b.Workspace, Work: place.PrefillTime(engine, b.Prompt)}
	switch {
	case b.Admitted:
		q.Admit(p, b.At, now)
	case b.Retry > 0:
		q.Defer(p, b.At, b.Retry, now)
	default:
		q.Drop(b.Request, b.At, now)
	}
}

// with calls do with the queue of a service, unless there is none.
func (d *deferredPrompts) with(n ident.ServiceName, do func(*vqueue.Queue)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q := d.byService[n]; q != nil {
		do(q)
	}
}

// has reports whether there is a queue of a service.
func (d *deferredPrompts) has(n ident.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byService[n] != nil
}

// expire removes what no longer counts. It returns the number of entries of all queues.
func (d *deferredPrompts) expire(now time.Time) (waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, q := range d.byService {
		q.Expire(now)
		waiting += q.Len()
		if q.IsEmpty() {
			delete(d.byService, n)
		}
	}
	return waiting
}

// engineOf returns the description of the engines of a service, or nil if there is none.
func (s *Server) engineOf(n ident.ServiceName) *topol.Engine {
	c := s.Feeds.Catalog()
	if n == "" || c == nil || c.Services[n] == nil {
		return nil
	}
	return c.Services[n].Engine
}

// deferral is what the virtual queue of deferred prompts has to do with a request.
type deferral struct {
	// isPlaceKnown is set once place is.
	isPlaceKnown bool
	// place is the place that the prompt had when it arrived.
	place vqueue.Place
	// yield is the share of the rate that due prompts took at the last placement.
	yield float64
	// isUnservable is set if the caller was told a time after its deadline.
	isUnservable bool
	// isCounted is set once the request counts as a return.
	isCounted bool
}

// setPlace sets what the placement of a prompt needs to know of the deferred ones.
func (x *exchange) setPlace(r *place.Request, engines int, now time.Time) {
	if !x.isDeferrable(*r) {
		return
	}
	d := &x.deferral
	if !x.server.deferred.has(x.service.Name) {
		d.yield = 0
		return
	}
	if !d.isPlaceKnown {
		d.isPlaceKnown = true
		key := bysize.RequestKey(x.digest())
		x.server.deferred.with(x.service.Name, func(q *vqueue.Queue) { d.place = q.Find(key, now) })
	}
	d.yield = 0
	if !r.IsRetry {
		x.server.deferred.with(x.service.Name, func(q *vqueue.Queue) { d.yield = q.DueShare(engines, now) })
	}
	r.KeepsPlace = d.place == vqueue.KeptPlace
	r.Yield = d.yield
}

// deferFor returns the time after which the caller of a deferred prompt should retry.
func (x *exchange) deferFor(c place.Choice, r place.Request, now time.Time) time.Duration {
	l := vqueue.Load{
		Engines: len(x.candidates(now)), Estimate: c.Estimate, Target: r.Target, TimeLeft: r.TimeLeft, Favour: c.Load.Favour,
	}
	p := x.queuedPrompt()
	var q vqueue.Queue
	wait, servable := q.RetryTime(p, l, now)
	x.server.deferred.with(x.service.Name, func(q *vqueue.Queue) { wait, servable = q.RetryTime(p, l, now) })
	x.deferral.isUnservable = !servable
	return wait
}

// queuedPrompt describes the prompt for the virtual queue.
func (x *exchange) queuedPrompt() vqueue.Prompt {
	return vqueue.Prompt{
		Request: bysize.RequestKey(x.digest()), Workspace: x.workspaceName(), Work: place.PrefillTime(x.service.Engine, x.reqHeader.Prompt),
	}
}

// workspaceName returns the name of the caller's workspace, which is empty on a public route.
func (x *exchange) workspaceName() ident.WorkspaceName {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// retryOf returns the time that a refused caller was told, if its prompt has a place in the
// virtual queue: it was deferred, or it had a place and was refused for another reason.
func (x *exchange) retryOf(err error, told time.Duration) time.Duration {
	d := x.deferral
	if x.possibleRuns > 0 || x.headerSent || d.isUnservable || !errors.Is(err, place.ErrDeferred) && d.place == vqueue.NoPlace {
		return 0
	}
	return told
}

// countReturn counts the decision on a prompt whose caller has returned.
func (x *exchange) countReturn(admitted bool) {
	d := &x.deferral
	if d.isCounted || d.place == vqueue.NoPlace && x.waitedBefore() <= minEarlierWait {
		return
	}
	d.isCounted = true
	outcome := "refused"
	if admitted {
		outcome = "admitted"
	}
	x.server.getMetrics().returns.WithLabelValues(outcome, placeLabel(d.place)).Inc()
}

// placeLabel returns how metrics and log lines call a place.
func placeLabel(p vqueue.Place) string {
	switch p {
	case vqueue.KeptPlace:
		return "kept"
	case vqueue.EarlyPlace:
		return "early"
	default:
		return "unknown"
	}
}
