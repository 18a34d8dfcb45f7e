package messg

import (
	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/state/fold"
	"laburnumstack.org/laburnum/internal/state/tally"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Beat is a heartbeat between nodes; the answer is one too.
type Beat struct {
	From  membr.Member
	Stamp trace.Stamp
	// Uses are the sender's requests in flight by workspace.
	Uses map[ident.WorkspaceName]tally.InFlight
	// Strikes are those of the last moments.
	Strikes []strik.Strike
	// Suspects counts the sender's suspect requests by endpoint.
	Suspects map[ident.EndpointName]int64
	// Known lists other nodes that the sender knows.
	Known []membr.Member
}

// ConfigArgs asks a peer for its configuration.
type ConfigArgs struct {
	From ident.NodeName
}

// ConfigReply is a peer's configuration.
type ConfigReply struct {
	// Based tells that the peer knows the version in force.
	Based    bool
	Snapshot fold.Snapshot
}

// StrikeArgs tells peers of new strikes at once.
type StrikeArgs struct {
	Stamp   trace.Stamp
	Strikes []strik.Strike
}

// Empty is an answer without content.
type Empty struct{}
