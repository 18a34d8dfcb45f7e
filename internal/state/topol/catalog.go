// Package topol holds what a deployment says of itself: one version of its
// configuration, with routes, services and keys, and the endpoints in it.
package topol

import (
	"strings"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Kind tells how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// Once is a request that runs at most once.
	Once Kind = iota
	// Idempotent is a request that may run again.
	Idempotent
	// Stream is a prompt that is answered by a stream of events.
	Stream
)

// String names a kind for logs.
func (k Kind) String() string {
	return [...]string{"once", "idempotent", "stream"}[k]
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version  ident.Version
	Routes   []Route
	Services map[ident.ServiceName]*Service
	Limits   Limits
	// Keys maps each caller's key to its workspace. It is nil if callers need
	// no keys.
	Keys map[string]*Workspace
	// Raw is the document that the catalog was decoded from.
	Raw []byte

	hosts map[string][]*Route
}

// Route binds a host and a path prefix to services.
type Route struct {
	Name   ident.RouteName
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time to the end of the answer.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream,
	// that callers expect.
	Target time.Duration
	// Gap is the pause between events that callers accept.
	Gap time.Duration
	// Priority ranks routes; zero is the most urgent.
	Priority int
	// Attempts is the number of endpoints that may run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another endpoint.
	Resumable bool
	Services  []WeightedService
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// WeightedService is the part of a route's requests that a service gets.
type WeightedService struct {
	Service ident.ServiceName
	Weight  int
}

// Service is a group of endpoints.
type Service struct {
	Name ident.ServiceName
	// Engine is set if the endpoints are model engines.
	Engine *Engine
}

// Engine gives the speeds of the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// Memory is the KV memory of one engine.
	Memory ident.Tokens
	// DecodeSteps is the number of token steps in a pass that writes.
	DecodeSteps int
	// PrefillChunk is the most prompt tokens read in one pass.
	PrefillChunk ident.Tokens
	// StepTime is the time of a token step, PerSequence what each writer adds and
	// PerThousandContext what each thousand tokens of a writer's context add.
	StepTime, PerSequence, PerThousandContext time.Duration
	// PrefillRate is the number of prompt tokens read in a second.
	PrefillRate float64
	// PerMillionPairs is the time for a million pairs of a token and an earlier one.
	PerMillionPairs time.Duration
	// HopDelay is what each step of a request over several engines adds.
	HopDelay time.Duration
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Workspace is the owner of keys.
type Workspace struct {
	Name ident.WorkspaceName
	// Priority goes before the route's if it is set.
	Priority    int
	HasPriority bool
}

// Index prepares a catalog for Match. It is called once after decoding.
func (c *Catalog) Index() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		h := strings.ToLower(r.Host)
		c.hosts[h] = append(c.hosts[h], r)
	}
}

// Match returns the route of a host and path with the longest prefix, or nil.
func (c *Catalog) Match(host, path string) *Route {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	var best *Route
	for _, r := range c.hosts[strings.ToLower(host)] {
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// PickService returns the service of a route for a number that is uniform in [0,1).
func (r *Route) PickService(u float64) ident.ServiceName {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	at := int(u * float64(total))
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[0].Service
}

// Endpoint is one server that requests may be sent to.
type Endpoint struct {
	Name       ident.EndpointName
	Service    ident.ServiceName
	Address    string
	DataCentre ident.DataCentre
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Leaving endpoints get no new requests.
	Leaving bool
	// Born is the Unix time of the endpoint's start in milliseconds. It tells
	// two starts under one name apart.
	Born int64
}
