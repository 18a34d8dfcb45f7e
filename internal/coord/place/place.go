// Package place chooses the endpoint that a request is sent to and the engines
// that help to prefill its prompt. The choice is based on the requests in
// flight that the nodes have announced to each other, and on the configured
// speeds of the engines. Package trans/gate uses it; package route has the
// policies of trans/serve.
package place

import (
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Errors of Choose.
const (
	// ErrNoEndpoint means that no endpoint may get the request.
	ErrNoEndpoint = errors.ConstError("no endpoint")
	// ErrFull means that the slots or the memory of the engines are full.
	ErrFull = errors.ConstError("all endpoints are full")
	// ErrLate means that the request is not expected to be answered in time.
	ErrLate = errors.ConstError("the wait is too long")
	// ErrDeferred means that the caller should retry later, when less prefill is
	// queued at the engines.
	ErrDeferred = errors.ConstError("too much prefill is queued")
	// ErrTooLarge means that the engines can't store the prompt even if they are
	// idle.
	ErrTooLarge = errors.ConstError("prompt is too large")
)

// Request describes a request to be placed.
type Request struct {
	// Prompt is the size of the prompt and Output the expected size of the
	// answer. Both are zero for requests without a prompt.
	Prompt, Output ident.Tokens
	// Target is the time from now within which the caller expects the first
	// event.
	Target time.Duration
	// Gap is the longest pause between events that the caller accepts.
	Gap time.Duration
	// IsRetry is true if the request was sent before, or if its caller has waited
	// before, for example because another node rejected it.
	IsRetry bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// DataCentre is the data centre whose plain endpoints are preferred.
	DataCentre ident.DataCentre
	// Tried are the endpoints at which the request failed.
	Tried ident.Set[ident.EndpointName]
	// Favour is a factor on the value that others may lose by the request. It is above
	// one if requests with prompts of its size got less than their part of what their kind
	// was served, and below one if they got more while others wait. Zero means one.
	Favour float64
	// Full are the endpoints that had too little memory for a reservation.
	Full ident.Set[ident.EndpointName]

	// value is the value of an answer to the prompt, see answerValue.
	value float64
}

// Choice names the endpoints that a request is sent to.
type Choice struct {
	Primary *topol.Endpoint
	Helpers []*topol.Endpoint
	// Reservations[i] is the memory to reserve at Helpers[i]. Helpers beyond its
	// length reserve none.
	Reservations []ident.Tokens
	// Estimate is the expected time to the first event; zero if unknown.
	Estimate time.Duration
	// Waits is set if all slots of Primary are taken. The request waits there for the next
	// one, less urgent than others.
	Waits bool
	// Load tells why a prompt was rejected.
	Load Load
}

// Load describes the load of the engines when a prompt was placed or rejected.
type Load struct {
	// Backlog is the mean time until the prefill queues of the engines outside
	// the interactive pool are empty. It is set only if the prompt is rejected.
	Backlog time.Duration
	// SlotWait is the time until most engines are expected to have a free slot. It is set
	// only with ErrFull.
	SlotWait time.Duration
	// LossOfOthers is the value that other requests lose by the choice, and
	// MaxLossOfOthers the most that they may lose, in the unit of the costs of
	// plans. Both are zero if no engines were found or if the prompt is of a kind
	// that is never deferred.
	LossOfOthers, MaxLossOfOthers float64
	// InteractiveLoss is the part of LossOfOthers that interactive callers lose, and
	// MaxInteractiveLoss the most that they may lose. Favour above one does not raise it,
	// Favour below one lowers it.
	InteractiveLoss, MaxInteractiveLoss float64
	// Favour is the factor that MaxLossOfOthers contains, see Request.Favour.
	Favour float64
}

// ServiceState holds the endpoints of a service and the requests in flight, as
// this node knows them.
type ServiceState struct {
	Now       time.Time
	Endpoints []*topol.Endpoint
	// Engine is nil for a service of plain endpoints.
	Engine *topol.Engine
	// InFlight are the requests in flight at all endpoints, oldest first.
	InFlight []works.Request
	// UnknownLoad is set while this node knows little of the requests of other nodes, as in
	// the moments after a start. Prompts are then spread over all engines: if all nodes start
	// together, each would fill the same first engine.
	UnknownLoad bool
	// Avoid reports whether an endpoint failed recently and should be chosen only
	// if there is no other.
	Avoid func(ident.EndpointName) bool
	// Suspect reports whether an endpoint failed recently and has not answered
	// since, so that it should not help other engines.
	Suspect func(ident.EndpointName) bool
	// MaxInFlight returns the largest number of requests that may run at an endpoint at the
	// same time; zero means no bound but its slots. If it is nil, no endpoint has a bound.
	MaxInFlight func(ident.EndpointName) int
	// IsForOthers reports whether the room that MaxInFlight leaves is for requests of other
	// nodes. It is set with MaxInFlight.
	IsForOthers func(ident.EndpointName) bool
	// IsSlow reports whether an endpoint is in slow start, where no request waits for a slot.
	// If it is nil, none is.
	IsSlow func(ident.EndpointName) bool
	// Random returns a number uniform in [0,1).
	Random func() float64
}

// isBounded reports whether MaxInFlight keeps this node from sending a request to an endpoint
// where the given number of requests runs.
func (s ServiceState) isBounded(n ident.EndpointName, requests int) bool {
	if s.MaxInFlight == nil {
		return false
	}
	most := s.MaxInFlight(n)
	return most > 0 && (requests >= most || s.IsForOthers(n))
}

// Choose returns the endpoints for a request. With ErrDeferred and ErrLate it
// also returns the choice that it rejects, which RetryAfter needs.
func Choose(s ServiceState, r Request) (Choice, error) {
	if s.Engine == nil || r.Prompt == 0 {
		return choosePlain(s, r)
	}
	return choosePrompt(s, r)
}

// choosePlain chooses the endpoint with the fewest requests in proportion to
// its slots. It prefers endpoints of the caller's data centre, and even more
// those that need not be avoided, and chooses at random between endpoints with
// nearly equal load.
func choosePlain(s ServiceState, r Request) (Choice, error) {
	count := map[ident.EndpointName]int{}
	for _, w := range s.InFlight {
		count[w.First]++
	}
	var best *topol.Endpoint
	var bestCost float64
	for _, e := range s.Endpoints {
		if e.Leaving || r.Tried.Has(e.Name) || s.isBounded(e.Name, count[e.Name]) {
			continue
		}
		cost := float64(count[e.Name])/float64(max(1, e.Slots)) + 0.01*s.Random()
		if e.DataCentre != r.DataCentre {
			cost += 0.2
		}
		if s.Avoid(e.Name) {
			cost += 10
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return Choice{}, ErrNoEndpoint
	}
	return Choice{Primary: best}, nil
}
