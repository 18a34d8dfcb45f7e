// Package fleet runs one of the example fleets in a single process: stand-ins
// for the platform, engines and plain services, and real nodes. They communicate
// over loopback TCP.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrUnknownFleet means that there is no example fleet with the given name.
const ErrUnknownFleet = errors.ConstError("unknown fleet; the known fleets are duct and grozs")

// Plan describes an example fleet, scaled down to run in one process.
type Plan struct {
	Name        string
	DataCentres []ident.DataCentre
	// Model is the model of all engines and the prefix of their names.
	Model ident.ModelName
	// Service is the prefix of the services' names.
	Service string
	// Host is the host of the routes for bookings and status checks.
	Host       string
	Workspaces []Workspace
	// Engines, Services and Nodes are how many of each the fleet has.
	Engines  int
	Services int
	Nodes    int
}

// Workspace is a workspace of an example fleet.
type Workspace struct {
	Name ident.WorkspaceName
	// Weight is the workspace's weight in the configuration.
	Weight int
	// Share is the percentage of the load that the workspace sends.
	Share int
}

// Key returns the workspace's API key.
func (w Workspace) Key() string { return "key-of-" + string(w.Name) + "-7f3a" }

// Digest returns the SHA-256 digest of the key in hexadecimal, as the
// configuration stores it.
func (w Workspace) Digest() string {
	sum := sha256.Sum256([]byte(w.Key()))
	return hex.EncodeToString(sum[:])
}

// Numbers of engines, services and nodes in each example fleet.
const (
	engineCount  = 8
	serviceCount = 3
	nodeCount    = 3
)

// PlanOf returns the plan of the example fleet with this name, or
// ErrUnknownFleet.
func PlanOf(name string) (Plan, error) {
	switch name {
	case "duct":
		return Plan{
			Name:        name,
			DataCentres: []ident.DataCentre{"poa-a", "poa-b", "canoas-c"},
			Model:       "assistente-dutos",
			Service:     "portal-locacao",
			Host:        "portal.dutos.example",
			Workspaces: []Workspace{
				{"telesul", 4, 30}, {"fibra-norte", 4, 25}, {"vale-net", 2, 15}, {"serra-link", 1, 10},
				{"litoral", 1, 5}, {"pampa", 1, 5}, {"planejamento", 1, 5}, {"obras", 1, 5},
			},
			Engines: engineCount, Services: serviceCount, Nodes: nodeCount,
		}, nil
	case "grozs":
		return Plan{
			Name:        name,
			DataCentres: []ident.DataCentre{"riga-a", "riga-b", "riga-c"},
			Model:       "grozs-llm",
			Service:     "grozs-app",
			Host:        "app.grozs.example",
			Workspaces: []Workspace{
				{"office-chat", 4, 35}, {"buyers", 4, 20}, {"planning", 2, 15}, {"drivers", 1, 10},
				{"bank", 1, 5}, {"port", 1, 5}, {"school", 1, 5}, {"museum", 1, 5},
			},
			Engines: engineCount, Services: serviceCount, Nodes: nodeCount,
		}, nil
	}
	return Plan{}, ErrUnknownFleet
}

// EngineName returns the name of the i-th engine.
func (p Plan) EngineName(i int) ident.EndpointName {
	return ident.EndpointName(fmt.Sprintf("%s-%02d", p.Model, i+1))
}

// ServiceName returns the name of the i-th service.
func (p Plan) ServiceName(i int) ident.EndpointName {
	return ident.EndpointName(fmt.Sprintf("%s-%d", p.Service, i+1))
}

// DataCentre returns the data centre of the i-th engine, service or node. They
// are placed in the data centres in turn.
func (p Plan) DataCentre(i int) ident.DataCentre { return p.DataCentres[i%len(p.DataCentres)] }

// Document returns the configuration of the fleet, with engines and services at
// the given addresses. Each engine has KV memory for memoryTokens tokens.
func (p Plan) Document(engines, services []string, memoryTokens ident.Tokens) confg.Document {
	doc := confg.Document{
		Workspaces: map[ident.WorkspaceName]confg.Workspace{},
		Endpoints:  map[ident.EndpointName]confg.Endpoint{},
		Routes:     map[ident.RouteName]confg.Route{},
		Limits: confg.Limits{
			KeyAge:         confg.Duration(10 * time.Minute),
			SilenceTimeout: confg.Duration(time.Second),
		},
	}
	for _, w := range p.Workspaces {
		doc.Workspaces[w.Name] = confg.Workspace{Keys: []string{w.Digest()}, Weight: w.Weight}
	}
	for i, a := range engines {
		doc.Endpoints[p.EngineName(i)] = confg.Endpoint{
			Address: a, DataCentre: p.DataCentre(i), Kind: confg.Engine,
			Models: []ident.ModelName{p.Model}, MemoryTokens: memoryTokens, PrefillRate: 200_000,
			ChecksOrders: i%2 == 0,
		}
	}
	var names []ident.EndpointName
	for i, a := range services {
		name := p.ServiceName(i)
		names = append(names, name)
		doc.Endpoints[name] = confg.Endpoint{Address: a, DataCentre: p.DataCentre(i), Kind: confg.Service}
	}
	doc.Routes["prompts"] = confg.Route{PathPrefix: "/v1/", Class: confg.Prompt, Models: []ident.ModelName{p.Model}, TimeLimit: confg.Duration(30 * time.Second)}
	doc.Routes["bookings"] = confg.Route{Host: p.Host, PathPrefix: "/bookings", Methods: []string{"POST", "DELETE"}, Class: confg.Plain, Endpoints: names, TimeLimit: confg.Duration(5 * time.Second)}
	doc.Routes["status"] = confg.Route{Host: p.Host, PathPrefix: "/bookings", Methods: []string{"GET", "HEAD"}, Class: confg.Plain, Endpoints: names, Idempotent: true, TimeLimit: confg.Duration(2 * time.Second)}
	return doc
}
