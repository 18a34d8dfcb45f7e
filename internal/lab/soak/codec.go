package soak

import (
	"net/http"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// CallerRequest holds the header fields of a caller's request.
type CallerRequest struct {
	ID, Key string
	// Timeout is the time limit that the caller sets.
	Timeout time.Duration
	// Prompt is the number of prompt tokens, or zero for plain requests.
	Prompt ident.Tokens
	// Parts are the IDs of the parts of the prompt, of which the last is its own.
	Parts []string
	// Events is the number of events that the endpoint streams, or zero for plain
	// requests.
	Events int
}

// CallerResponse holds the header fields of a response to a caller.
type CallerResponse struct {
	// ID is the request ID, or empty if the response has none.
	ID string
	// IsSigned is set if the response carries the signature of an endpoint, that is
	// if it comes from an endpoint that started to run the request.
	IsSigned bool
}

// EndpointRequest holds the header fields of a node's request to an endpoint.
type EndpointRequest struct {
	ID        string
	Endpoint  ident.EndpointName
	Workspace ident.WorkspaceName
	// Key is the caller's key. Nodes must not forward it.
	Key string
	// LastEvent is the number of the last event that the node has received; a
	// resumed stream continues after it. It is zero for a request from the start.
	LastEvent int
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Parts are those of CallerRequest.
	Parts []string
}

// Codec reads and writes the header fields of requests and responses in a
// platform's format.
type Codec interface {
	// SetCallerRequest sets the fields of a caller's request.
	SetCallerRequest(h http.Header, r CallerRequest)
	// ParseResponse reads the fields of a response to a caller.
	ParseResponse(h http.Header) CallerResponse
	// ParseEndpointRequest reads the fields of a request to an endpoint.
	ParseEndpointRequest(h http.Header) EndpointRequest
	// SetSignature sets the fields of a response of an endpoint that runs the
	// request.
	SetSignature(h http.Header, id string, e ident.EndpointName)
	// SetNotRun sets the fields of a response of an endpoint that does not run the
	// request.
	SetNotRun(h http.Header, id string)
	// SetLimit sets the field of a response in which an endpoint names the number of
	// requests per second that it accepts from all nodes together.
	SetLimit(h http.Header, rate float64)
	// SetLeaving sets the field of a response in which an endpoint says that it is
	// leaving.
	SetLeaving(h http.Header)
	// SetRest sets the field of a refusal in which an endpoint names the time for which
	// it wants no requests.
	SetRest(h http.Header, d time.Duration)
}

// Store simulates a platform's store of configuration and endpoint records. As an
// HTTP handler, it serves the nodes.
type Store interface {
	http.Handler
	// Put writes the record of a key. An empty value removes the key.
	Put(st feeds.Stream, key string, value []byte)
	// Trim deletes all records but the newest of each key.
	Trim(st feeds.Stream)
	// Lose removes the last n records of each stream, as if they had never been
	// written. Their offsets are given out again.
	Lose(n int)
}

// NodeConfig describes a node of the deployment.
type NodeConfig struct {
	Name       ident.NodeName
	DataCentre ident.DataCentre
	IP         string
	// Port is the first of the portsPerNode ports that the node may use, and the
	// port for callers.
	Port int
	// Seeds are the IP addresses of the nodes that a starting node contacts.
	Seeds []string
	// StoreAddress is the address of the store, or of a proxy to it.
	StoreAddress string
	// Bootstrap is set at the first start of a node, when no requests can be left
	// over from earlier nodes.
	Bootstrap bool
	// Of the bounds, only DrainDelay, RevocationDelay, EvacuateDelay, ColdOverage and
	// ColdSlack are settings of the node.
	Bounds
	// GracePeriod is how long a graceful shutdown of the node may take.
	GracePeriod time.Duration
}

// Deployment provides what depends on the platform: the formats of settings,
// records and header fields, the paths and the store.
type Deployment interface {
	Codec
	// NewStore returns an empty store.
	NewStore() Store
	// EncodeSettings returns the content of a node's settings file.
	EncodeSettings(c NodeConfig) ([]byte, error)
	// SettingsVariable returns the name of the environment variable that holds
	// the path of the settings file.
	SettingsVariable() string
	// ReadyPath returns the path of the readiness check. A node serves it on the
	// port after the one for callers, that is on NodeConfig.Port+1.
	ReadyPath() string
	// ConfigKey returns the key of the configuration in the store.
	ConfigKey() string
	// EvacuationKey returns the key of the evacuation of a data centre, in the stream of
	// the configuration.
	EvacuationKey(n ident.DataCentre) string
	// EncodeCatalog returns the store's record of a configuration.
	EncodeCatalog(c *topol.Catalog) ([]byte, error)
	// EncodeEndpoint returns the store's record of an endpoint.
	EncodeEndpoint(e topol.Endpoint) ([]byte, error)
	// OddEndpoints returns records that stand among those of the endpoints and name none,
	// such as records with fields of wrong types.
	OddEndpoints() [][]byte
}
