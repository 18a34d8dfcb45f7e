// Package edge assembles a node that forwards requests on a platform which
// holds the configuration and the list of endpoints.
package edge

import (
	"time"

	"laburnumstack.org/laburnum/internal/trans/gate"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Settings of a node. They come from the platform.
type Settings struct {
	Name       ident.NodeName
	DataCentre ident.DataCentre
	// Callers, Ready and Peers are the addresses that the node listens on.
	Callers, Ready, Peers string
	// First tells that no node has run before.
	First bool
	// Metrics is the address that serves the metrics; none if it is empty.
	Metrics string
	// Seeds are addresses at which other nodes may listen for peers.
	Seeds []string
	// Grace is the time between the order to stop and the end.
	Grace time.Duration
	// Cores is the part of a processor that the node has; zero if unknown.
	Cores    float64
	MemoryMB int
	// Strict refuses keys while the configuration is older than Revoke.
	Strict bool
	Revoke time.Duration
	Budget Budget
}

// Budget bounds the sends beyond the first of each request.
type Budget = gate.Budget
