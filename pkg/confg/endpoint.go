package confg

import (
	"net"
	"strconv"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Kind distinguishes model engines from plain HTTP services.
type Kind string

// Kinds of endpoints.
const (
	// Engine is a model engine.
	Engine Kind = "Engine"
	// Service is a plain HTTP service.
	Service Kind = "Service"
)

// Endpoint is a model engine or a plain HTTP service that serves requests.
type Endpoint struct {
	// Address is the host and port to connect to.
	Address string
	// DataCentre is the data centre of the endpoint's VM.
	DataCentre ident.DataCentre
	// Kind is Engine or Service.
	Kind Kind
	// Models lists the models that an engine serves. It is empty for a service.
	Models []ident.ModelName `json:",omitempty"`
	// MemoryTokens is the size of an engine's KV memory in tokens.
	MemoryTokens ident.Tokens `json:",omitempty"`
	// PrefillRate is the number of prompt tokens that an engine prefills in a
	// second. It is used until the engine's first load report arrives.
	PrefillRate ident.Tokens `json:",omitempty"`
	// ChecksOrders is set if an engine refuses orders with an outdated fencing
	// number.
	ChecksOrders bool `json:",omitempty"`
}

func (e *Endpoint) fillDefaults() {
	if e.Kind == Engine && e.PrefillRate == 0 {
		e.PrefillRate = 50_000
	}
}

func (e Endpoint) validate(path string) Problems {
	var ps Problems
	if !isAddress(e.Address) {
		ps = append(ps, Problem{path + ".Address", "must be an address like 10.0.0.7:8000"})
	}
	if e.DataCentre == "" {
		ps = append(ps, Problem{path + ".DataCentre", "must not be empty"})
	}
	switch e.Kind {
	case Engine:
		ps = append(ps, e.validateEngine(path)...)
	case Service:
		if len(e.Models) > 0 {
			ps = append(ps, Problem{path + ".Models", "must be empty for a Service"})
		}
	default:
		ps = append(ps, Problem{path + ".Kind", "must be Engine or Service"})
	}
	return ps
}

func (e Endpoint) validateEngine(path string) Problems {
	var ps Problems
	if len(e.Models) == 0 {
		ps = append(ps, Problem{path + ".Models", "must name at least one model"})
	}
	if e.MemoryTokens < 1 {
		ps = append(ps, Problem{path + ".MemoryTokens", "must be at least 1"})
	}
	if e.PrefillRate < 1 {
		ps = append(ps, Problem{path + ".PrefillRate", "must be at least 1"})
	}
	return ps
}

// isAddress reports whether a is a host with a port number.
func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n < 65536
}
