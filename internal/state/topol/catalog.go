// Package topol describes a deployment: a version of its configuration, with
// routes, services and keys, and its endpoints. Package trans/gate uses it;
// package table is its counterpart for trans/serve.
package topol

import (
	"strings"
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Kind says whether the requests on a route may run more than once, and whether
// they are prompts.
type Kind int

// Kinds of routes.
const (
	// Once requests must run at most once.
	Once Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are prompts that are answered by a stream of events.
	Stream
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	return [...]string{"once", "idempotent", "stream"}[k]
}

// Catalog is one version of the configuration. It is immutable once it is in use.
type Catalog struct {
	Version ident.Version
	// Routes holds the routes; Add adds one.
	Routes   map[RouteKey]*Route
	Services map[ident.ServiceName]*Service
	Limits   Limits
	// Keys maps the keys of callers to their workspaces. It is nil if callers
	// need no keys.
	Keys map[string]*Workspace
	// Raw is the document that the catalog was decoded from. It is nil if the
	// catalog was made by Apply.
	Raw []byte

	digestOnce sync.Once
	digest     uint64
}

// RouteKey identifies a route in a catalog.
type RouteKey struct {
	// Host is in lower case.
	Host   string
	Prefix string
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name ident.RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the answer is complete.
	Timeout time.Duration
	// Target is the time within which callers expect the answer, or the first
	// event of a stream.
	Target time.Duration
	// Gap is the longest pause between events that callers accept.
	Gap time.Duration
	// Priority is the urgency of requests; zero is the most urgent.
	Priority int
	// Attempts is the maximum number of endpoints that may run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another endpoint.
	Resumable bool
	// Homes are the regions whose endpoints may serve the requests.
	Homes Homes
	// Services are the services that the route's requests are distributed to.
	Services []WeightedService
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// WeightedService is a service and its relative weight in the distribution of a
// route's requests.
type WeightedService struct {
	Service ident.ServiceName
	Weight  int
}

// Service is a group of endpoints.
type Service struct {
	Name ident.ServiceName
	// Engine is set if the endpoints are model engines.
	Engine *Engine
	// ColdStart is the time for which an endpoint is cold after a start; if it is zero, the
	// endpoints are never cold. ColdRate is the number of requests per second that a cold
	// endpoint tolerates from all nodes together; zero means no bound.
	ColdStart time.Duration
	ColdRate  float64
}

// Engine describes the capacity and speed of the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// Memory is the size of the KV memory of one engine.
	Memory ident.Tokens
	// DecodeSteps is the number of steps in an iteration of the engine that
	// decodes. Each step generates one token for each decoding sequence.
	DecodeSteps int
	// PrefillChunk is the maximum number of prompt tokens prefilled per step.
	PrefillChunk ident.Tokens
	// StepTime is the base time of a step. Each decoding sequence adds
	// PerSequence, and every thousand tokens of its context add
	// PerThousandContext.
	StepTime, PerSequence, PerThousandContext time.Duration
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate float64
	// PerMillionPairs is the time that attention adds to a prefill for each
	// million pairs of a token and an earlier one.
	PerMillionPairs time.Duration
	// HopDelay is added to each step of a request that is split over several
	// engines.
	HopDelay time.Duration
}

// Limits bound what callers may send: the size of the header and the body of a
// request, the time to send the header, and the idle time between requests.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Workspace is a customer, to whom the keys of one or more callers belong.
type Workspace struct {
	Name ident.WorkspaceName
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Homes are the regions whose endpoints may serve the workspace's requests.
	Homes Homes
}

// Key returns the key of the route.
func (r *Route) Key() RouteKey { return RouteKey{Host: strings.ToLower(r.Host), Prefix: r.Prefix} }

// Add adds routes. Of several routes with the same key, it keeps the first.
func (c *Catalog) Add(rs ...*Route) {
	if c.Routes == nil {
		c.Routes = make(map[RouteKey]*Route, len(rs))
	}
	for _, r := range rs {
		k := r.Key()
		if _, ok := c.Routes[k]; !ok {
			c.Routes[k] = r
		}
	}
}

// Match returns the route of the host with the longest prefix that matches the
// path, or nil if there is none. The time does not grow with the number of routes.
func (c *Catalog) Match(host, path string) *Route {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	host = strings.ToLower(host)
	for i := strings.LastIndexByte(path, '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if r := c.Routes[RouteKey{Host: host, Prefix: path[:i+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// PickService picks one of the route's services by weight. u is a uniformly
// distributed random number in [0,1).
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

// Endpoint is a server that requests are sent to.
type Endpoint struct {
	Name       ident.EndpointName
	Service    ident.ServiceName
	Address    string
	DataCentre ident.DataCentre
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Leaving endpoints get no new requests.
	Leaving bool
	// Born is the Unix time of the endpoint's start in milliseconds. It
	// distinguishes starts under the same name.
	Born int64
	// Cold is the time for which the endpoint remains cold, as its record states; it
	// counts from the moment at which the record is read. StatesCold is set if the record
	// states a time, which may be zero.
	Cold       time.Duration
	StatesCold bool
	// ColdSequence is the number of the record if Cold is above zero. It distinguishes
	// records that state the same time. Numbers of other records are left out, since each
	// would be a change of the list.
	ColdSequence float64
}
