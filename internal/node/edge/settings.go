// Package edge assembles a gateway node. It forwards requests to the endpoints
// of a platform whose store holds the configuration and the list of endpoints.
package edge

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/homes"
	"laburnumstack.org/laburnum/internal/trans/gate"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Settings configures a node. Except for MetricsAddress, the values come from
// the platform's settings file.
type Settings struct {
	Name       ident.NodeName
	DataCentre ident.DataCentre
	// Regions holds the regions of this node and of the data centres.
	Regions homes.Regions
	// CallerAddress, ReadyAddress and PeerAddress are the addresses on which the
	// node listens for callers, for readiness checks and for other nodes.
	CallerAddress, ReadyAddress, PeerAddress string
	// Bootstrap is set if no node has run in the deployment before, so that no
	// requests can be left over from earlier nodes.
	Bootstrap bool
	// MetricsAddress is the address that serves the metrics; if it is empty, they
	// are not served.
	MetricsAddress string
	// Seeds are peer addresses of other nodes that may be running.
	Seeds []string
	// GracePeriod is the time from the stop signal to the end of the process.
	GracePeriod time.Duration
	// Cores is the CPU capacity of the node in standard cores, possibly
	// fractional; zero if unknown.
	Cores float64
	// MemoryMB is the memory that the process may use, in MiB; zero if unknown.
	MemoryMB int
	// StrictRevocation makes the node reject all keys while its configuration is
	// older than MaxConfigAge, so that a revoked key works no longer than that.
	StrictRevocation bool
	MaxConfigAge     time.Duration
	// MaxUnusedMemory is how long memory may stay reserved at an engine before a prompt
	// uses it; zero means no bound.
	MaxUnusedMemory time.Duration
	// ColdOverage and ColdSlack give the bound on the requests to a cold endpoint in any
	// second: the rate that it tolerates times ColdOverage, plus ColdSlack.
	ColdOverage, ColdSlack float64
	Budget                 Budget
}

// Budget limits the retries of requests; see gate.Budget.
type Budget = gate.Budget
