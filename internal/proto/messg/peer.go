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
	// Parts lists what the sender knows of parts of prompts that may crash endpoints.
	Parts []strik.PartState
	// Suspects counts, by endpoint, the sender's suspect requests in flight. A
	// request is suspect if an endpoint died earlier with it in flight.
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
	// Based is set if Snapshot is complete: the peer has read the whole
	// configuration stream, or a snapshot and what follows it.
	Based    bool
	Snapshot fold.Snapshot
}

// StrikeArgs announces new strikes, proofs that clear parts of prompts, and trials of barred parts
// to peers without waiting for the next heartbeat.
type StrikeArgs struct {
	Stamp   trace.Stamp
	Strikes []strik.Strike
	Proofs  []strik.Proof
	Trials  []strik.Trial
}

// Empty is an answer without fields.
type Empty struct{}
