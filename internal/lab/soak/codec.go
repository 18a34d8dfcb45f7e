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
	// Prompt is the number of prompt tokens, or zero for requests that are no
	// prompts.
	Prompt ident.Tokens
	// MaxEvents is the maximum number of events in the answer.
	MaxEvents int
}

// Signature holds the header fields of an answer that name its origin.
type Signature struct {
	// ID is the request's id.
	ID string
	// IsSigned is set if an endpoint ran the request.
	IsSigned bool
}

// EndpointRequest holds the header fields of a node's request to an endpoint.
type EndpointRequest struct {
	ID        string
	Endpoint  ident.EndpointName
	Workspace ident.WorkspaceName
	// Key is the caller's key. Nodes must not forward it.
	Key string
	// LastEvent is the number of the last event that the node has; a resumed
	// stream continues after it.
	LastEvent int
	TimeLeft  time.Duration
}

// Codec reads and writes the header fields of a platform.
type Codec interface {
	// SetCallerRequest sets the fields of a caller's request.
	SetCallerRequest(h http.Header, r CallerRequest)
	// ParseAnswer reads the fields of an answer to a caller.
	ParseAnswer(h http.Header) Signature
	// ParseEndpointRequest reads the fields of a request to an endpoint.
	ParseEndpointRequest(h http.Header) EndpointRequest
	// SetSignature marks the answer of an endpoint that ran the request.
	SetSignature(h http.Header, id string, e ident.EndpointName)
	// SetNotRun marks the answer of an endpoint that did not run the request.
	SetNotRun(h http.Header, id string)
}

// Store is the store of a platform.
type Store interface {
	http.Handler
	// Put writes the record of a key. An empty value removes the key.
	Put(st feeds.Stream, key string, value []byte)
	// Trim deletes all records but the newest of each key.
	Trim(st feeds.Stream)
}

// NodeConfig describes a node of the deployment.
type NodeConfig struct {
	Name       ident.NodeName
	DataCentre ident.DataCentre
	IP         string
	// Port is the first of the portsPerNode ports that the node may use.
	Port int
	// Seeds are the IP addresses of the nodes that a new node contacts.
	Seeds []string
	// StoreAddress is the address of the store, or of a proxy to it.
	StoreAddress string
	// Bootstrap is set for the first start of a node.
	Bootstrap bool
	Bounds
	// GracePeriod is how long a planned stop of the node may take.
	GracePeriod time.Duration
}

// Deployment encodes settings, records and header fields in the formats of a
// platform.
type Deployment interface {
	Codec
	// NewStore returns an empty store.
	NewStore() Store
	// EncodeSettings returns the content of a node's settings file.
	EncodeSettings(c NodeConfig) ([]byte, error)
	// SettingsVariable returns the name of the environment variable that holds
	// the path of the settings file.
	SettingsVariable() string
	// ReadyPath returns the path of the readiness check. It is served at the port
	// after that for callers.
	ReadyPath() string
	// ConfigKey returns the key of the configuration in the store.
	ConfigKey() string
	// EncodeCatalog returns the record of a configuration.
	EncodeCatalog(c *topol.Catalog) ([]byte, error)
	// EncodeEndpoint returns the record of an endpoint.
	EncodeEndpoint(e topol.Endpoint) ([]byte, error)
}
