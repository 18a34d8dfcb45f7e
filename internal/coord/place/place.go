// Package place decides which endpoint gets a request and which engines help to
// read its prompt. It works on what the nodes have told each other of the
// requests under way, and on the speeds that the configuration gives.
package place

import (
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Errors of a placement.
const (
	// ErrNone means that no endpoint may get the request.
	ErrNone = errors.ConstError("no endpoint")
	// ErrFull means that all endpoints are full.
	ErrFull = errors.ConstError("all endpoints are full")
	// ErrLate means that the request would not be answered in its time.
	ErrLate = errors.ConstError("the wait is too long")
	// ErrDeferred means that the caller would wait longer than expected, and
	// better comes back.
	ErrDeferred = errors.ConstError("too much waits to be read")
	// ErrCostly means that a prompt would take more time of the engines than
	// is left at their load.
	ErrCostly = errors.ConstError("prompt is too large for the load")
	// ErrTooLarge means that the engines together can't hold the prompt.
	ErrTooLarge = errors.ConstError("prompt is too large")
)

// Request is what is to be placed.
type Request struct {
	// Prompt and Output are the tokens read and probably written; both are
	// zero for requests that are no prompts.
	Prompt, Output ident.Tokens
	// Target is the time to the first event that the caller expects.
	Target time.Duration
	// Gap is the pause between events that the caller accepts.
	Gap time.Duration
	// Returned tells that the caller was refused before.
	Returned bool
	// Left is the time until the request is given up.
	Left       time.Duration
	DataCentre ident.DataCentre
	// Tried are the endpoints that failed it before.
	Tried ident.Set[ident.EndpointName]
	// Full are the endpoints that had no memory to reserve.
	Full ident.Set[ident.EndpointName]

	// worth weighs the prompt by its size.
	worth float64
}

// Choice is where a request goes.
type Choice struct {
	First   *topol.Endpoint
	Helpers []*topol.Endpoint
	// Held is the memory to be reserved at the first helpers, in their order.
	Held []ident.Tokens
	// Estimate is the time to the first event, as far as is known.
	Estimate time.Duration
}

// Scene is what a placement is decided on.
type Scene struct {
	Now       time.Time
	Endpoints []*topol.Endpoint
	// Engine is nil for a service of plain endpoints.
	Engine *topol.Engine
	// Works are the requests under way at all endpoints, oldest first.
	Works []works.Request
	// Avoid reports endpoints that fail at present.
	Avoid func(ident.EndpointName) bool
	// Suspect reports endpoints that failed and have not answered since.
	Suspect func(ident.EndpointName) bool
	// Random is uniform in [0,1).
	Random func() float64
}

// Choose places a request.
func Choose(s Scene, r Request) (Choice, error) {
	if s.Engine == nil || r.Prompt == 0 {
		return choosePlain(s, r)
	}
	return choosePrompt(s, r)
}

// choosePlain takes the endpoint with the fewest requests for its slots, and
// one of the caller's data centre among equals.
func choosePlain(s Scene, r Request) (Choice, error) {
	count := map[ident.EndpointName]int{}
	for _, w := range s.Works {
		count[w.First]++
	}
	var best *topol.Endpoint
	var bestCost float64
	for _, e := range s.Endpoints {
		if e.Leaving || r.Tried.Has(e.Name) {
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
		return Choice{}, ErrNone
	}
	return Choice{First: best}, nil
}
