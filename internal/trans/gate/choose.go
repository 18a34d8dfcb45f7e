package gate

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// choose picks the endpoint of the next send, and the engines that help it.
func (x *exchange) choose() (place.Choice, place.Request, error) {
	s := x.server
	now := time.Now()
	s.observeStarts(now)
	x.limited = limitedEndpoints{}
	if x.mayOutliveNode(now, 0) {
		return place.Choice{}, place.Request{}, errStopping
	}
	if !now.Before(x.deadline) || x.sends >= maxSends {
		return place.Choice{}, place.Request{}, place.ErrNoEndpoint
	}
	if x.allEvacuated() {
		return place.Choice{}, place.Request{}, errEvacuated
	}
	candidates := x.candidates(now)
	if len(candidates) == 0 && x.hasNoHome() {
		return place.Choice{}, place.Request{}, errNoHome
	}
	x.limited = s.endpointLimits.among(candidates, now)
	delete(x.limited.atLimit, x.permitted)
	s.addCold(&x.limited, candidates, now)
	c, r, err := x.place(candidates, now)
	x.estimate, x.load = c.Estimate, c.Load
	if err == nil && x.mayOutliveNode(now, c.Estimate) {
		err = errStopping
	}
	if errors.Is(err, place.ErrNoEndpoint) && x.sends == 0 && len(x.limited.atLimit) == 0 {
		if s.restsForThisNode(s.outsideEvacuated(x.homeEndpoints()), now) {
			err = errResting
		}
	}
	return c, r, err
}

// candidates returns the endpoints of the service that may get the request by their data centres
// and by what they state. Some may be full, at their limits or tried before.
func (x *exchange) candidates(now time.Time) []*topol.Endpoint {
	s := x.server
	return s.outsideEvacuated(s.availability.accepting(x.homeEndpoints(), s.Node, now))
}

// homeEndpoints returns the endpoints of the service in data centres that may serve the request.
func (x *exchange) homeEndpoints() []*topol.Endpoint {
	return x.withinHomes(x.server.Feeds.Endpoints().ByService[x.service.Name])
}

// place places the request. After an answer 421, or a send that reached no endpoint, it does
// without the endpoints of the same data centre that no later list confirms, unless the request
// can be placed at no other. If a data centre loses its endpoints, they look idle, and a request
// would use all of its sends there.
func (x *exchange) place(candidates []*topol.Endpoint, now time.Time) (place.Choice, place.Request, error) {
	r, st := x.placeRequest(now), x.serviceState(candidates, now)
	if doubtful := x.doubtful(candidates); len(doubtful) > 0 {
		certain := r
		certain.Tried = doubtful
		for n := range r.Tried {
			doubtful.Add(n)
		}
		if c, err := x.chooseFrom(st, certain); err == nil {
			return c, certain, nil
		}
	}
	c, err := x.chooseFrom(st, r)
	return c, r, err
}

// placeRequest describes the request for its placement.
func (x *exchange) placeRequest(now time.Time) place.Request {
	r := place.Request{
		Prompt: x.reqHeader.Prompt, Output: x.expectedOutput(), Target: x.remainingTarget(now), Gap: x.route.Gap, IsRetry: x.isRetry(),
		TimeLeft: x.deadline.Sub(now), DataCentre: x.server.DataCentre, Tried: x.excluded(), Full: x.unreservedEngines,
	}
	r.Favour = x.favour(r, now)
	return r
}

// serviceState describes the endpoints that accept requests for a placement.
func (x *exchange) serviceState(accepting []*topol.Endpoint, now time.Time) place.ServiceState {
	s := x.server
	resting := s.availability.restingForOthers(accepting, now)
	outdated := s.staleAmong(accepting)
	st := place.ServiceState{
		Now: now, Endpoints: accepting, Engine: x.service.Engine,
		InFlight: s.InFlight.All(), UnknownLoad: s.isLoadUnknown(now),
		Avoid: func(n ident.EndpointName) bool {
			return resting.Has(n) || outdated.Has(n) || s.endpointHealth.isAvoided(n, now)
		},
		Suspect: func(n ident.EndpointName) bool {
			return x.limited.all.Has(n) || outdated.Has(n) || s.endpointHealth.isSuspect(n, now)
		},
		Random: random,
	}
	x.boundSlow(&st)
	if unsent := s.unsent.All(); len(unsent) > 0 {
		st.InFlight = append(st.InFlight, unsent...)
		slices.SortStableFunc(st.InFlight, func(a, b works.Request) int { return a.Since.Compare(b.Since) })
	}
	return st
}

// retryAfter returns the time after which the caller of a request that could not be
// placed should retry.
func (x *exchange) retryAfter(err error, c place.Choice, r place.Request) time.Duration {
	switch {
	case errors.Is(err, errStopping):
		return retryElsewhere
	case errors.Is(err, errEvacuated):
		return retryEvacuated
	case errors.Is(err, errResting):
		es := x.server.outsideEvacuated(x.homeEndpoints())
		return max(retrySoon, x.server.restForAllNodes(es, time.Now()))
	case errors.Is(err, errNoHome):
		return retryHome
	}
	return place.RetryAfter(c, r)
}

// excluded returns the endpoints that the request may not be sent to now.
func (x *exchange) excluded() ident.Set[ident.EndpointName] {
	if len(x.limited.atLimit) == 0 && x.current == nil && len(x.others) == 0 {
		return x.tried
	}
	all := maps.Clone(x.tried)
	maps.Copy(all, x.limited.atLimit)
	x.eachRunning(func(c place.Choice) { all.Add(c.Primary.Name) })
	return all
}

// isRetry reports whether the request has already been sent, or was probably
// rejected by a node before: its caller has waited for longer than
// minEarlierWait.
func (x *exchange) isRetry() bool { return x.waitedBefore() > minEarlierWait || x.sends > 0 }

// waitedBefore estimates how long the caller waited before this request
// arrived: the route's timeout minus the time left that the caller stated, or
// zero if it stated none. For a caller whose own limit is shorter than the timeout,
// that is too long.
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
