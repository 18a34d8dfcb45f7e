package messg

import (
	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/state/fold"
	"laburnumstack.org/laburnum/internal/state/tally"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Heartbeat is sent between nodes periodically; the answer is a heartbeat too.
type Heartbeat struct {
	From  membr.Member
	Stamp trace.Stamp
	// Uses counts the sender's requests in flight and their tokens by
	// workspace.
	Uses map[ident.WorkspaceName]tally.InFlight
	// Strikes lists the sender's recent strikes.
	Strikes []strik.Strike
	// Suspects counts the sender's suspect requests by endpoint.
	Suspects map[ident.EndpointName]int64
	// Known lists other nodes known to the sender.
	Known []membr.Member
}

// ConfigArgs requests a peer's configuration.
type ConfigArgs struct {
	From ident.NodeName
}

// ConfigReply is a peer's configuration.
type ConfigReply struct {
	// Based is set if the peer knows the version in force.
	Based    bool
	Snapshot fold.Snapshot
}

// StrikeArgs announces new strikes to peers without waiting for the next
// heartbeat.
type StrikeArgs struct {
	Stamp   trace.Stamp
	Strikes []strik.Strike
}

// Empty is an answer without fields.
type Empty struct{}
