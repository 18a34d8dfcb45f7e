package relay

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Member is a node as others reach it.
type Member struct {
	Name       ident.NodeName
	Address    string
	DataCentre ident.DataCentre
	// Cores is the part of a processor that the node has.
	Cores float64
}

// WorkNote tells of a work that was sent to an endpoint. Its age stands in
// place of its time, since the clocks of nodes differ.
type WorkNote struct {
	Work works.Request
	Age  time.Duration
}

// StrikeNote tells of a strike, with its age in place of its time.
type StrikeNote struct {
	Strike strik.Strike
	Age    time.Duration
}

// Update is what a node tells its peers as it happens.
type Update struct {
	From Member
	// Reset tells that Began holds all works of the node.
	Reset bool
	Began []WorkNote
	Wrote []works.ID
	Done  []works.ID
	// Failed are endpoints that the node could not reach.
	Failed []ident.EndpointName
	// Struck are requests at whose endpoints the connection broke.
	Struck []StrikeNote
	// Reach tells to whom the peer is to pass the update on, and Forwarded are
	// updates of other nodes that were passed on.
	Reach     Reach
	Forwarded []Update
}

// Reach tells how far an update is passed on.
type Reach int

// Reaches of an update.
const (
	// ReachPeer is the peer alone.
	ReachPeer Reach = iota
	// ReachCentre is all nodes of the peer's data centre.
	ReachCentre
	// ReachAll is all nodes.
	ReachAll
)

// Empty reports whether an update tells nothing but that its node is alive.
func (u *Update) Empty() bool {
	return !u.Reset && len(u.Began)+len(u.Wrote)+len(u.Done)+len(u.Failed)+len(u.Struck) == 0
}

// UpdateReply answers an update.
type UpdateReply struct {
	// Members are the nodes that the peer knows; it is set after a reset.
	Members []Member
}

// StateArgs asks a peer for what it knows of the deployment.
type StateArgs struct {
	From    Member
	Version ident.Version
	// List identifies the list of endpoints that the node has.
	List uint64
}

// State is what a peer knows of the deployment. Ages count from the moment at
// which the peer answered.
type State struct {
	Version ident.Version
	// Raw is the configuration, if it is newer than the one asked with.
	Raw []byte
	// Proven tells that the configuration was the newest ProvenAge ago.
	Proven    bool
	ProvenAge time.Duration
	// Listed tells that List was the list of endpoints ListedAge ago. Endpoints
	// are left out if the node that asked has it.
	Listed    bool
	ListedAge time.Duration
	List      uint64
	Endpoints []topol.Endpoint
}
